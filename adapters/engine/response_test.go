package engine

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"testing"
	"testing/iotest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/joomcode/errorx"

	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
)

// Lines of responses to request "a" from version v1, and invalid ones.
var (
	v1     = fleet.Version{Name: "v1", Manifest: fleet.DigestOf([]byte("v1"))}
	first  = fmt.Sprintf(`{"id":"a","version":{"name":"v1","manifest":"%s"}}`, v1.Manifest)
	other  = fmt.Sprintf(`{"id":"a","version":{"name":"v1","manifest":"%s"}}`, fleet.DigestOf(nil))
	token0 = `{"id":"a","seq":0,"token":"x"}`
	token1 = `{"id":"a","seq":1,"token":""}`
)

func last(tokens int, version string) string {
	return strings.Replace(version, `"id":"a"`, fmt.Sprintf(`"id":"a","done":true,"tokens":%d`, tokens), 1)
}

// readAll returns the lines that the reader returned and its error, nil for a
// complete response.
func readAll(r io.Reader) ([][]byte, error) {
	reader := newResponseReader(r, "a")
	var lines [][]byte
	for {
		line, err := reader.next()
		if errors.Is(err, io.EOF) {
			return lines, nil
		}
		if err != nil {
			return lines, err
		}
		lines = append(lines, line)
	}
}

var _ = Describe("responseReader", func() {
	DescribeTable("returns lines up to the first invalid one",
		func(text string, returned int, kind *errorx.Type, message string) {
			lines, err := readAll(strings.NewReader(text))
			Expect(lines).To(HaveLen(returned))
			if kind == nil {
				Expect(err).NotTo(HaveOccurred())
				return
			}
			Expect(errorx.IsOfType(err, kind)).To(BeTrue(), "%v", err)
			Expect(err).To(MatchError(ContainSubstring(message)))
		},
		Entry("complete response", join(first, token0, token1, last(2, first)), 4, nil, ""),
		Entry("response without tokens", join(first, last(0, first)), 2, nil, ""),
		Entry("unknown fields of a newer protocol", join(first, `{"id":"a","seq":0,"token":"x","logprob":-1}`, last(1, first)), 3, nil, ""),
		Entry("bytes after the last line are not read", join(first, last(0, first), "other answer"), 2, nil, ""),
		Entry("empty response", "", 0, failure.Unavailable, "ended before its last line"),
		Entry("response ends before its last line", join(first, token0), 2, failure.Unavailable, "ended before its last line"),
		Entry("response ends inside a line", join(first)+token0[:9], 1, failure.Unavailable, "ended before its last line"),
		Entry("last line without a line ending", join(first)+last(0, first), 1, failure.Unavailable, "ended before its last line"),
		Entry("not JSON", join(first, "x"), 1, failure.Corrupt, "line 0 of the answer"),
		Entry("two objects on one line", join(first, token0+token1), 1, failure.Corrupt, "line 0 of the answer"),
		Entry("first line without a version", join(`{"id":"a"}`), 0, failure.Corrupt, "does not name a version"),
		Entry("first line with an empty version", join(`{"id":"a","version":{}}`), 0, failure.Corrupt, "does not name a version"),
		Entry("first line with an invalid digest", join(`{"id":"a","version":{"name":"v","manifest":"zz"}}`), 0, failure.Corrupt, "digest must be 64 hex digits"),
		Entry("last line comes first", join(last(0, first)), 0, failure.Corrupt, "does not name a version"),
		Entry("token comes first", join(token0), 0, failure.Corrupt, "does not name a version"),
		Entry("first line repeated", join(first, first), 1, failure.Corrupt, "line 0 of the answer has no token"),
		Entry("other request ID in the first line", join(strings.Replace(first, `"a"`, `"b"`, 1)), 0, failure.Corrupt, `names request "b", want "a"`),
		Entry("other request ID in a later line", join(first, token0, strings.Replace(token1, `"a"`, `"b"`, 1)), 2, failure.Corrupt, `names request "b", want "a"`),
		Entry("line without a request ID", join(first, `{"seq":0,"token":"x"}`), 1, failure.Corrupt, `names request "", want "a"`),
		Entry("token missing", join(first, token1), 1, failure.Corrupt, "token 1 in place of 0"),
		Entry("token repeated", join(first, token0, token0), 2, failure.Corrupt, "token 0 in place of 1"),
		Entry("last token missing", join(first, token0, last(2, first)), 2, failure.Corrupt, "has 1 tokens and says otherwise"),
		Entry("version changes in the last line", join(first, token0, last(1, other)), 2, failure.Corrupt, "does not end with it"),
		Entry("version changes in a token line", join(first, strings.Replace(other, "}}", `},"seq":0,"token":"x"}`, 1)), 1, failure.Corrupt, "changes from version v1@"),
		Entry("last line without a version", join(first, `{"id":"a","done":true,"tokens":0}`), 1, failure.Corrupt, "does not end with it"),
		Entry("line too long", join(first, `{"id":"`+strings.Repeat("a", maxLineBytes)), 1, failure.Corrupt, "longer than 1048576 bytes"),
	)
})

func join(lines ...string) string { return strings.Join(lines, "\n") + "\n" }

// A damaged response must never look complete: whichever lines are lost, repeated
// or reordered, the last line is returned only if all lines arrived in order.
func TestDamagedResponseIsNeverComplete(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		tokens := rapid.IntRange(0, 6).Draw(t, "tokens")
		intact := []string{first}
		for seq := range tokens {
			intact = append(intact, fmt.Sprintf(`{"id":"a","seq":%d,"token":"t%d"}`, seq, seq))
		}
		intact = append(intact, last(tokens, first))
		from := rapid.SliceOfN(rapid.IntRange(0, len(intact)-1), 0, len(intact)+2).Draw(t, "from")
		var sent []string
		for _, i := range from {
			sent = append(sent, intact[i])
		}
		lines, err := readAll(strings.NewReader(join(sent...)))
		complete := len(sent) >= len(intact) && slices.Equal(sent[:len(intact)], intact)
		g.Expect(err == nil).To(Equal(complete))
		if complete {
			g.Expect(lines).To(HaveLen(len(intact)))
		}
	})
}

// The reader must not panic on any input, must return only complete lines of the
// input in order, and must decide the same however the input is split into reads.
func FuzzAnswerReader(f *testing.F) {
	f.Add([]byte(join(first, token0, token1, last(2, first))))
	f.Add([]byte(join(first, token1)))
	f.Add([]byte(join(other, last(0, first))))
	f.Add([]byte("{}\n\n\x00"))
	f.Add([]byte(`{"id":"a","version":{"name":"","manifest":null}}` + "\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		g := NewWithT(t)
		lines, err := readAll(bytes.NewReader(data))
		returned := bytes.Join(lines, nil)
		g.Expect(bytes.HasPrefix(data, returned)).To(BeTrue())
		for _, line := range lines {
			g.Expect(bytes.Count(line, []byte("\n"))).To(Equal(1))
		}
		if err == nil {
			g.Expect(len(lines)).To(BeNumerically(">=", 2))
		} else {
			g.Expect(errorx.IsOfType(err, failure.Corrupt) || errorx.IsOfType(err, failure.Unavailable)).To(BeTrue())
		}
		byByte, errByByte := readAll(iotest.OneByteReader(bytes.NewReader(data)))
		g.Expect(byByte).To(Equal(lines))
		g.Expect(errByByte == nil).To(Equal(err == nil))
	})
}

// BenchmarkResponseReader measures the time per token line.
func BenchmarkResponseReader(b *testing.B) {
	const tokens = 1000
	lines := []string{first}
	for seq := range tokens {
		lines = append(lines, fmt.Sprintf(`{"id":"a","seq":%d,"token":"word"}`, seq))
	}
	text := join(append(lines, last(tokens, first))...)
	for b.Loop() {
		if _, err := readAll(strings.NewReader(text)); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/tokens, "ns/token")
}
