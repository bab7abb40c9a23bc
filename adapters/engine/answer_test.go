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

// Lines of answers to request "a" from version v1, or spoiled ones.
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

// readAll returns the lines that were handed over and the failure, nil for a
// whole answer.
func readAll(r io.Reader) ([][]byte, error) {
	reader := newAnswerReader(r, "a")
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

var _ = Describe("answerReader", func() {
	DescribeTable("hands over lines up to the first that breaks a rule",
		func(text string, handed int, kind *errorx.Type, message string) {
			lines, err := readAll(strings.NewReader(text))
			Expect(lines).To(HaveLen(handed))
			if kind == nil {
				Expect(err).NotTo(HaveOccurred())
				return
			}
			Expect(errorx.IsOfType(err, kind)).To(BeTrue(), "%v", err)
			Expect(err).To(MatchError(ContainSubstring(message)))
		},
		Entry("whole", join(first, token0, token1, last(2, first)), 4, nil, ""),
		Entry("no tokens", join(first, last(0, first)), 2, nil, ""),
		Entry("fields of a later protocol", join(first, `{"id":"a","seq":0,"token":"x","logprob":-1}`, last(1, first)), 3, nil, ""),
		Entry("bytes after the last line are left", join(first, last(0, first), "other answer"), 2, nil, ""),
		Entry("nothing", "", 0, failure.Unavailable, "ended before its last line"),
		Entry("ends early", join(first, token0), 2, failure.Unavailable, "ended before its last line"),
		Entry("ends in a line", join(first)+token0[:9], 1, failure.Unavailable, "ended before its last line"),
		Entry("last line without its end", join(first)+last(0, first), 1, failure.Unavailable, "ended before its last line"),
		Entry("not JSON", join(first, "x"), 1, failure.Corrupt, "line 0 of the answer"),
		Entry("two objects on a line", join(first, token0+token1), 1, failure.Corrupt, "line 0 of the answer"),
		Entry("first line without a version", join(`{"id":"a"}`), 0, failure.Corrupt, "does not name a version"),
		Entry("first line without a name or digest", join(`{"id":"a","version":{}}`), 0, failure.Corrupt, "does not name a version"),
		Entry("first line with a bad digest", join(`{"id":"a","version":{"name":"v","manifest":"zz"}}`), 0, failure.Corrupt, "digest must be 64 hex digits"),
		Entry("last line first", join(last(0, first)), 0, failure.Corrupt, "does not name a version"),
		Entry("token first", join(token0), 0, failure.Corrupt, "does not name a version"),
		Entry("first line again", join(first, first), 1, failure.Corrupt, "line 0 of the answer has no token"),
		Entry("other id first", join(strings.Replace(first, `"a"`, `"b"`, 1)), 0, failure.Corrupt, `names request "b", want "a"`),
		Entry("other id later", join(first, token0, strings.Replace(token1, `"a"`, `"b"`, 1)), 2, failure.Corrupt, `names request "b", want "a"`),
		Entry("no id", join(first, `{"seq":0,"token":"x"}`), 1, failure.Corrupt, `names request "", want "a"`),
		Entry("token lost", join(first, token1), 1, failure.Corrupt, "token 1 in place of 0"),
		Entry("token repeated", join(first, token0, token0), 2, failure.Corrupt, "token 0 in place of 1"),
		Entry("last token lost", join(first, token0, last(2, first)), 2, failure.Corrupt, "has 1 tokens and says otherwise"),
		Entry("version changes", join(first, token0, last(1, other)), 2, failure.Corrupt, "does not end with it"),
		Entry("version changes in a token", join(first, strings.Replace(other, "}}", `},"seq":0,"token":"x"}`, 1)), 1, failure.Corrupt, "changes from version v1@"),
		Entry("no version at the end", join(first, `{"id":"a","done":true,"tokens":0}`), 1, failure.Corrupt, "does not end with it"),
		Entry("line too long", join(first, `{"id":"`+strings.Repeat("a", maxLine)), 1, failure.Corrupt, "longer than 1048576 bytes"),
	)
})

func join(lines ...string) string { return strings.Join(lines, "\n") + "\n" }

// A caller must never take a damaged answer for a whole one: whichever lines
// are lost, repeated or exchanged on the way, the last is not handed over
// unless all came in order.
func TestDamagedAnswerIsNeverWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		tokens := rapid.IntRange(0, 6).Draw(t, "tokens")
		sound := []string{first}
		for seq := range tokens {
			sound = append(sound, fmt.Sprintf(`{"id":"a","seq":%d,"token":"t%d"}`, seq, seq))
		}
		sound = append(sound, last(tokens, first))
		from := rapid.SliceOfN(rapid.IntRange(0, len(sound)-1), 0, len(sound)+2).Draw(t, "from")
		var sent []string
		for _, i := range from {
			sent = append(sent, sound[i])
		}
		lines, err := readAll(strings.NewReader(join(sent...)))
		whole := len(sent) >= len(sound) && slices.Equal(sent[:len(sound)], sound)
		g.Expect(err == nil).To(Equal(whole))
		if whole {
			g.Expect(lines).To(HaveLen(len(sound)))
		}
	})
}

// The reader must meet any bytes without a panic, hand over only whole lines
// of the input in order, and decide the same however the bytes are cut.
func FuzzAnswerReader(f *testing.F) {
	f.Add([]byte(join(first, token0, token1, last(2, first))))
	f.Add([]byte(join(first, token1)))
	f.Add([]byte(join(other, last(0, first))))
	f.Add([]byte("{}\n\n\x00"))
	f.Add([]byte(`{"id":"a","version":{"name":"","manifest":null}}` + "\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		g := NewWithT(t)
		lines, err := readAll(bytes.NewReader(data))
		handed := bytes.Join(lines, nil)
		g.Expect(bytes.HasPrefix(data, handed)).To(BeTrue())
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

// BenchmarkAnswerReader is the price of one token's line.
func BenchmarkAnswerReader(b *testing.B) {
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
