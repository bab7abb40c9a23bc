package entry_test

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/daemon/internal/daemontest"
	"chivespindle.example/daemon/wire"
)

// Steps of an agent's response, one letter each. The agent closes the stream after
// them.
const (
	begin, piece, end, notRunError, wrongEnd = "b", "p", "e", "n", "w"
	steps                                    = begin + piece + end + notRunError + wrongEnd
)

// sendSteps returns an agent's handler that sends the steps of a script.
func sendSteps(script string) func(*daemontest.Exchange) {
	return func(x *daemontest.Exchange) {
		x.Read()
		for _, step := range strings.Split(script, "") {
			part := wire.ResponsePart{End: &wire.ResponseEnd{Outcome: wire.OutcomeRan, ID: x.Request.ID}}
			switch step {
			case begin:
				part = wire.ResponsePart{Header: &wire.ResponseHeader{Status: 200}}
			case piece:
				part = wire.ResponsePart{Piece: []byte(piece)}
			case notRunError:
				part.End.Outcome = wire.OutcomeNotRun
			case wrongEnd:
				part.End.ID = "request-0"
			}
			_ = x.Stream.Send(part)
		}
	}
}

// Guards against a response that looks complete but is not, and against mixed parts
// of two responses, whatever the first agent sends before the end of its response.
var _ = Describe("A response is complete only after all of its steps in order", func() {
	checkScript := func(script string) {
		r := newRig(2)
		r.script(sendSteps(script), (*daemontest.Exchange).Echo)
		got := r.send(r.request(requestBody))
		rest, begun := strings.CutPrefix(script, begin)
		body := strings.Repeat(piece, len(rest)-len(strings.TrimLeft(rest, piece)))
		switch {
		case begun && strings.HasPrefix(rest[len(body):], end):
			Expect(got).To(SatisfyAll(HaveField("Err", Succeed()), HaveField("Begins", 1), HaveField("Body", body)))
		case begun:
			Expect(got).To(SatisfyAll(HaveField("Err", HaveOccurred()), HaveField("Begins", 1), HaveField("Body", body)))
		default:
			Expect(got).To(SatisfyAll(HaveField("Err", Succeed()), HaveField("Begins", 1), HaveField("Body", requestBody)))
		}
	}
	It("of none", func() { checkScript("") })
	for _, before := range []string{"", begin, begin + piece, piece} {
		for _, step := range strings.Split(steps, "") {
			It("of "+before+step, func() { checkScript(before + step) })
		}
	}
})
