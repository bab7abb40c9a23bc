package entry_test

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/daemon/internal/daemontest"
	"chivespindle.example/daemon/wire"
)

// Steps of an agent's answer, one letter each. The agent closes the stream after them.
const (
	begin, piece, end, notRun, wrongEnd = "b", "p", "e", "n", "w"
	steps                               = begin + piece + end + notRun + wrongEnd
)

// take is an agent that takes the steps of a script.
func take(script string) func(*daemontest.Exchange) {
	return func(x *daemontest.Exchange) {
		x.Read()
		for _, step := range strings.Split(script, "") {
			part := wire.ResponsePart{End: &wire.ResponseEnd{Outcome: wire.OutcomeRan, ID: x.Request.ID}}
			switch step {
			case begin:
				part = wire.ResponsePart{Header: &wire.ResponseHeader{Status: 200}}
			case piece:
				part = wire.ResponsePart{Piece: []byte(piece)}
			case notRun:
				part.End.Outcome = wire.OutcomeNotRun
			case wrongEnd:
				part.End.ID = "request-0"
			}
			_ = x.Stream.Send(part)
		}
	}
}

// Guards against an answer that looks complete and is not, and against parts of two
// answers, whatever the first agent sends until its answer has ended.
var _ = Describe("An answer is complete only after all of its steps in order", func() {
	check := func(script string) {
		r := newRig(2)
		r.script(take(script), (*daemontest.Exchange).Echo)
		got := r.send(r.request(work))
		rest, begun := strings.CutPrefix(script, begin)
		body := strings.Repeat(piece, len(rest)-len(strings.TrimLeft(rest, piece)))
		switch {
		case begun && strings.HasPrefix(rest[len(body):], end):
			Expect(got).To(SatisfyAll(HaveField("Err", Succeed()), HaveField("Begins", 1), HaveField("Body", body)))
		case begun:
			Expect(got).To(SatisfyAll(HaveField("Err", HaveOccurred()), HaveField("Begins", 1), HaveField("Body", body)))
		default:
			Expect(got).To(SatisfyAll(HaveField("Err", Succeed()), HaveField("Begins", 1), HaveField("Body", work)))
		}
	}
	It("of none", func() { check("") })
	for _, before := range []string{"", begin, begin + piece, piece} {
		for _, step := range strings.Split(steps, "") {
			It("of "+before+step, func() { check(before + step) })
		}
	}
})
