package placement_test

import (
	"math"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/core/placement"
)

// Guards against token counts whose sum overflows and seems to fit, and against a request
// that waits for room which no engine ever has.
var _ = DescribeTable("A request that needs more memory than an idle engine has is refused as too large",
	func(prompt, output int) {
		b := newBalancer(2)
		r := newRequest()
		r.PromptTokens, r.OutputTokens = prompt, output
		a, refusal := b.Choose(start, r)
		Expect(a).To(BeNil())
		Expect(refusal.Reason).To(Equal(placement.TooLarge))
		Expect(refusal.RetryAfter).To(Equal(r.TimeLeft / 3))
		Expect(b.Loads()).To(BeEmpty())
	},
	Entry("for its prompt", 317001, 0),
	Entry("for its output", 10, 316991),
	Entry("for a prompt that no model has", math.MaxInt64, 1),
	Entry("for an output that no model has", 1, math.MaxInt64),
	Entry("for both", math.MaxInt64, math.MaxInt64),
)

var _ = Describe("A request that needs all memory of an engine", func() {
	It("is placed at an idle one", func() {
		r := newRequest()
		r.PromptTokens, r.OutputTokens = 1000, 316000
		a, _ := newBalancer(1).Choose(start, r)
		Expect(a).NotTo(BeNil())
	})
})
