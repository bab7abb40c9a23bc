package eventstream_test

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/joomcode/errorx"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/adapters/eventstream"
	"chivespindle.example/core/failure"
	"chivespindle.example/core/memlimit"
)

// readAll returns all events and the error that ended the stream.
func readAll(r io.Reader) (raw []string, ids []int64, err error) {
	reader := eventstream.NewReader(r, new(memlimit.Hold))
	for {
		e, err := reader.Next()
		if err != nil {
			return raw, ids, err
		}
		raw = append(raw, string(e.Raw))
		ids = append(ids, e.ID)
	}
}

var _ = Describe("Reader", func() {
	DescribeTable("splits a stream into complete events",
		func(stream string, want []string, ids []int64) {
			for _, r := range []io.Reader{strings.NewReader(stream), iotest.OneByteReader(strings.NewReader(stream))} {
				raw, got, err := readAll(r)
				Expect(err).To(Equal(io.EOF))
				Expect(raw).To(Equal(want))
				Expect(got).To(Equal(ids))
			}
		},
		Entry("empty stream", "", nil, nil),
		Entry("one event", "id: 1\ndata: x\n\n", []string{"id: 1\ndata: x\n\n"}, []int64{1}),
		Entry("two events", "id: 1\ndata: x\n\nid: 2\ndata: y\n\n",
			[]string{"id: 1\ndata: x\n\n", "id: 2\ndata: y\n\n"}, []int64{1, 2}),
		Entry("no space after the colon", "id:7\n\n", []string{"id:7\n\n"}, []int64{7}),
		Entry("an extra first line", "weight: 2\nid: 3\ndata: z\n\n", []string{"weight: 2\nid: 3\ndata: z\n\n"}, []int64{3}),
		Entry("CRLF line endings", "id: 1\r\ndata: x\r\n\r\n", []string{"id: 1\r\ndata: x\r\n\r\n"}, []int64{1}),
		Entry("no ID", "data: x\n\n", []string{"data: x\n\n"}, []int64{-1}),
		Entry("an ID that is not a number", "id: a\n\n", []string{"id: a\n\n"}, []int64{-1}),
		Entry("CR line endings", "id: 1\rdata: x\r\rid: 2\r\r",
			[]string{"id: 1\rdata: x\r\r", "id: 2\r\r"}, []int64{1, 2}),
		Entry("mixed line endings", "id: 1\ndata: x\n\r\nid: 2\r\n\nid: 3\r\r\nid: 4\n\r",
			[]string{"id: 1\ndata: x\n\r\n", "id: 2\r\n\n", "id: 3\r\r\n", "id: 4\n\r"}, []int64{1, 2, 3, 4}),
		Entry("empty lines between events and at the end", "\nid: 1\n\n\r\nid: 2\n\n\n",
			[]string{"\nid: 1\n\n", "\r\nid: 2\n\n", "\n"}, []int64{1, 2, -1}),
		Entry("a byte order mark", "\ufeffid: 1\n\nid: 2\n\n", []string{"\ufeffid: 1\n\n", "id: 2\n\n"}, []int64{1, 2}),
		Entry("a comment", ": id: 1\n\n", []string{": id: 1\n\n"}, []int64{-1}),
		Entry("several IDs, of which the last one applies", "id: 1\ndata: x\nid: 2\n\n",
			[]string{"id: 1\ndata: x\nid: 2\n\n"}, []int64{2}),
		Entry("an ID that is reset", "id: 1\nid\n\nid: 2\nid:\n\n", []string{"id: 1\nid\n\n", "id: 2\nid:\n\n"}, []int64{-1, -1}),
		Entry("an ID with a NUL, which is ignored", "id: 1\nid: 2\x00\n\n", []string{"id: 1\nid: 2\x00\n\n"}, []int64{1}),
		Entry("an ID with a sign", "id: -7\n\nid: +7\n\n", []string{"id: -7\n\n", "id: +7\n\n"}, []int64{-1, -1}),
		Entry("IDs that decrease and repeat, unchanged", "id: 2\n\nid: 1\n\nid: 1\n\n",
			[]string{"id: 2\n\n", "id: 1\n\n", "id: 1\n\n"}, []int64{2, 1, 1}),
	)

	// Guards against a stream that is resumed after an event that cannot be
	// repeated.
	DescribeTable("distinguishes events with and without data", func(raw string, want bool) {
		Expect(eventstream.Event{Raw: []byte(raw)}.HasData()).To(Equal(want))
	},
		Entry("data", "id: 1\r\ndata: x\r\n\r\n", true),
		Entry("data after a carriage return", ": x\rdata: y\n\n", true),
		Entry("an empty line of data", "data\n\n", true),
		Entry("a comment", ": data: x\n\n", false),
		Entry("only an ID", "id: 1\n\n", false),
		Entry("empty stream", "\n", false),
	)

	// Guards against a truncated stream that is taken for a complete one.
	It("treats no stream as complete that was truncated inside an event, after any byte", func() {
		const stream = "id: 1\ndata: x\n\nid: 2\r\ndata: y\r\n\r\n: z\n\n"
		complete, _, err := readAll(strings.NewReader(stream))
		Expect(err).To(Equal(io.EOF))
		ends := map[int]bool{0: true}
		length := 0
		for _, raw := range complete {
			length += len(raw)
			ends[length] = true
		}
		for n := range len(stream) {
			raw, _, err := readAll(iotest.OneByteReader(strings.NewReader(stream[:n])))
			if ends[n] || ends[n+1] && stream[n-1:n+1] == "\r\n" {
				Expect(err).To(Equal(io.EOF), "after %d bytes", n)
				continue
			}
			Expect(errorx.IsOfType(err, failure.Corrupt)).To(BeTrue(), "after %d bytes: %v", n, err)
			Expect(stream).To(HavePrefix(strings.Join(raw, "")))
		}
	})

	// A server stops in the middle of an event. If the partial event were forwarded
	// to the caller, the stream could not be resumed after it.
	It("does not return a truncated event", func() {
		raw, _, err := readAll(strings.NewReader("id: 1\ndata: x\n\nid: 2\nda"))
		Expect(raw).To(HaveLen(1))
		Expect(errorx.IsOfType(err, failure.Corrupt)).To(BeTrue())
	})

	It("returns the error of the underlying reader", func() {
		broken := errors.New("reset")
		_, _, err := readAll(io.MultiReader(strings.NewReader("id: 1\n\nid"), iotest.ErrReader(broken)))
		Expect(err).To(MatchError(broken))
	})

	It("rejects an event that exceeds the maximum size", func() {
		_, _, err := readAll(strings.NewReader(strings.Repeat("data: x\n", 1<<20)))
		Expect(err).To(HaveOccurred())
		Expect(err).NotTo(Equal(io.EOF))
	})
})

func FuzzReader(f *testing.F) {
	f.Add("id: 1\ndata: x\n\nid: 2\n\n")
	f.Add("\n\n\r\n\r\n\n")
	f.Fuzz(func(t *testing.T, stream string) {
		raw, _, err := readAll(strings.NewReader(stream))
		if joined := strings.Join(raw, ""); !strings.HasPrefix(stream, joined) {
			t.Fatalf("events %q are not a prefix of %q", joined, stream)
		}
		if err == io.EOF && strings.Join(raw, "") != stream {
			t.Fatalf("a part of %q is missing at the end", stream)
		}
	})
}

// Guards against a process that ends for want of memory by large events of many streams.
var _ = Describe("A reader of large events", func() {
	const limit = 1 << 20

	// next reads an event of a size and returns what the reader holds then.
	next := func(size int) (held int64, err error) {
		budget := memlimit.NewShare(limit, 1)
		hold := budget.NewHold()
		reader := eventstream.NewReader(strings.NewReader("data: "+strings.Repeat("x", size)+"\n\n"), &hold)
		_, err = reader.Next()
		return budget.Held(), err
	}

	It("counts the buffer of an event", func() {
		for _, size := range []int{0, 1 << 10, 4 << 10, 100 << 10, 400 << 10} {
			held, err := next(size)
			Expect(err).NotTo(HaveOccurred())
			Expect(held).To(BeNumerically(">=", size-2<<10))
			Expect(held).To(BeNumerically("<=", 4*size))
		}
	})

	It("fails before the buffer exceeds the budget", func() {
		held, err := next(1000 << 10)
		Expect(errorx.IsOfType(err, memlimit.Exceeded)).To(BeTrue(), "%v", err)
		Expect(held).To(BeNumerically("<=", limit))
	})
})
