package enginemodel_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/core/enginemodel"
)

// figures are those of a 32-billion-parameter model on two accelerators, as an
// operator publishes them.
func figures() *enginemodel.Profile {
	return &enginemodel.Profile{
		Slots: 16, StepTime: 9270 * time.Microsecond, StepTimePerSequence: 23 * time.Microsecond,
		StepTimePer1000Context: 32 * time.Microsecond, PrefillTokensPerSecond: 20700, PrefillTimePerMillionPairs: 1180 * time.Microsecond,
		StepsPerPass: 5, MeanPromptTokens: 979, MeanOutputTokens: 92, MemoryTokens: 317000,
	}
}

const ms = time.Millisecond

var _ = Describe("Figures", func() {
	It("reads a prompt at the published speed, and the pairs of its tokens", func() {
		// 4,140 tokens at 20,700 a second are 200 ms; 8.57 million pairs are 10.1 ms.
		Expect(figures().PrefillTime(4140)).To(BeNumerically("~", 210*ms, ms))
		Expect(figures().PrefillTime(0)).To(BeZero())
	})

	It("makes a pass of the steps of one event", func() {
		// Five steps of 9.27 ms, for 16 sequences 0.37 ms more, for 16,000 tokens
		// of context 0.51 ms more.
		Expect(figures().PassTime(enginemodel.Work{})).To(BeNumerically("~", 46*ms, ms))
		Expect(figures().PassTime(enginemodel.Work{Running: 16, Context: 16000})).To(BeNumerically("~", 51*ms, ms))
	})

	It("counts no more writers than there are places", func() {
		full := figures().PassTime(enginemodel.Work{Running: 16})
		Expect(figures().PassTime(enginemodel.Work{Running: 40})).To(Equal(full))
	})

	It("predicts the first event of an idle engine: half a pass, the prompt, a pass", func() {
		Expect(figures().TimeToFirstEvent(enginemodel.Work{}, 979)).To(BeNumerically("~", 117*ms, 2*ms))
	})

	It("adds what is unread before the request", func() {
		idle := figures().TimeToFirstEvent(enginemodel.Work{}, 979)
		behind := figures().TimeToFirstEvent(enginemodel.Work{Running: 1, PendingPrefill: 4140}, 979)
		Expect(behind - idle).To(BeNumerically("~", 210*ms, 3*ms))
	})

	It("adds the time until a place is free for each request that waits before it", func() {
		full := figures().TimeToFirstEvent(enginemodel.Work{Running: 16}, 979)
		one := figures().TimeToFirstEvent(enginemodel.Work{Running: 15}, 979)
		two := figures().TimeToFirstEvent(enginemodel.Work{Running: 17}, 979)
		Expect(full - one).To(BeNumerically("~", 101*ms, 5*ms))
		Expect(two - full).To(BeNumerically("~", full-one, ms))
	})

	It("never predicts less for more work", func() {
		last := time.Duration(0)
		for running := range 60 {
			now := figures().TimeToFirstEvent(enginemodel.Work{Running: running, Context: running * 1000}, 500)
			Expect(now).To(BeNumerically(">=", last))
			last = now
		}
	})

	It("predicts the rest of an answer: a pass for each event after the first", func() {
		// 100 tokens are 20 events, each a pass of 46 ms on an idle engine.
		Expect(figures().DecodeTime(enginemodel.Work{}, 100)).To(BeNumerically("~", 19*46*ms, 10*ms))
		Expect(figures().DecodeTime(enginemodel.Work{}, 5)).To(BeZero())
		Expect(figures().DecodeTime(enginemodel.Work{}, 0)).To(BeZero())
		// Beside 15 others a pass is 50 ms, and reads prompts for 48 ms.
		Expect(figures().DecodeTime(enginemodel.Work{Running: 15}, 100)).To(BeNumerically(">", 19*80*ms))
	})

	It("does with figures that were not published", func() {
		Expect((&enginemodel.Profile{}).TimeToFirstEvent(enginemodel.Work{Running: 3, PendingPrefill: 10}, 10)).To(BeNumerically(">=", 0))
	})
})
