package enginemodel_test

import (
	"math"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/core/enginemodel"
)

// profile returns the figures of a model with 32 billion parameters on two
// accelerators, as an operator publishes them.
func profile() *enginemodel.Profile {
	return &enginemodel.Profile{
		Slots: 16, StepTime: 9270 * time.Microsecond, StepTimePerSequence: 23 * time.Microsecond,
		StepTimePer1000Context: 32 * time.Microsecond, PrefillTokensPerSecond: 20700, PrefillTimePerMillionPairs: 1180 * time.Microsecond,
		StepsPerPass: 5, MeanPromptTokens: 979, MeanOutputTokens: 92, MemoryTokens: 317000,
	}
}

const ms = time.Millisecond

var _ = Describe("Profile", func() {
	It("computes the prefill time from the published speed and the token pairs", func() {
		// 4,140 tokens at 20,700 per second take 200 ms; 8.57 million pairs take
		// 10.1 ms.
		Expect(profile().PrefillTime(4140)).To(BeNumerically("~", 210*ms, ms))
		Expect(profile().PrefillTime(0)).To(BeZero())
	})

	It("computes the pass time from the steps of one event", func() {
		// Five steps of 9.27 ms take 46 ms. 16 sequences add 0.37 ms to a step, and
		// 16,000 tokens of context 0.51 ms.
		Expect(profile().PassTime(enginemodel.Work{})).To(BeNumerically("~", 46*ms, ms))
		Expect(profile().PassTime(enginemodel.Work{Running: 16, Context: 16000})).To(BeNumerically("~", 51*ms, ms))
	})

	It("counts no more decoding requests than there are slots", func() {
		full := profile().PassTime(enginemodel.Work{Running: 16})
		Expect(profile().PassTime(enginemodel.Work{Running: 40})).To(Equal(full))
	})

	// Guards against a prediction that overflows for a token count that no model has: an engine
	// with such a request looked idle.
	It("predicts no negative times for huge token counts", func() {
		const huge = math.MaxInt64
		p := profile()
		Expect(p.PrefillTime(huge)).To(BeNumerically(">=", time.Hour))
		Expect(p.DecodeTime(enginemodel.Work{}, huge)).To(BeNumerically(">=", time.Hour))
		Expect(p.TimeToFirstEvent(enginemodel.Work{}, huge)).To(BeNumerically(">=", time.Hour))
		Expect(p.TimeToFirstEvent(enginemodel.Work{Running: 1000, PendingPrefill: huge, Context: huge}, huge)).To(BeNumerically(">=", time.Hour))
	})

	It("predicts the first event of an idle engine: half a pass, the prefill, one pass", func() {
		Expect(profile().TimeToFirstEvent(enginemodel.Work{}, 979)).To(BeNumerically("~", 117*ms, 2*ms))
	})

	It("adds the pending prefills ahead of the request", func() {
		idle := profile().TimeToFirstEvent(enginemodel.Work{}, 979)
		queued := profile().TimeToFirstEvent(enginemodel.Work{Running: 1, PendingPrefill: 4140}, 979)
		Expect(queued - idle).To(BeNumerically("~", 210*ms, 3*ms))
	})

	It("adds the time until a slot is free for each queued request ahead of it", func() {
		full := profile().TimeToFirstEvent(enginemodel.Work{Running: 16}, 979)
		one := profile().TimeToFirstEvent(enginemodel.Work{Running: 15}, 979)
		two := profile().TimeToFirstEvent(enginemodel.Work{Running: 17}, 979)
		Expect(full - one).To(BeNumerically("~", 101*ms, 5*ms))
		Expect(two - full).To(BeNumerically("~", full-one, ms))
	})

	It("never predicts less for more work", func() {
		last := time.Duration(0)
		for running := range 60 {
			now := profile().TimeToFirstEvent(enginemodel.Work{Running: running, Context: running * 1000}, 500)
			Expect(now).To(BeNumerically(">=", last))
			last = now
		}
	})

	It("predicts the decode time of an output: one pass for each event after the first", func() {
		// 100 tokens are 20 events, each of which takes a pass of 46 ms on an idle
		// engine.
		Expect(profile().DecodeTime(enginemodel.Work{}, 100)).To(BeNumerically("~", 19*46*ms, 10*ms))
		Expect(profile().DecodeTime(enginemodel.Work{}, 5)).To(BeZero())
		Expect(profile().DecodeTime(enginemodel.Work{}, 0)).To(BeZero())
		// Next to 15 other requests, a pass takes 50 ms plus 48 ms of prefill.
		Expect(profile().DecodeTime(enginemodel.Work{Running: 15}, 100)).To(BeNumerically(">", 19*80*ms))
	})

	It("accepts a profile without published figures", func() {
		Expect((&enginemodel.Profile{}).TimeToFirstEvent(enginemodel.Work{Running: 3, PendingPrefill: 10}, 10)).To(BeNumerically(">=", 0))
	})
})
