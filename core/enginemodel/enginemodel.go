// Package enginemodel predicts the time to the first event of a request at a model
// engine and the duration of its response, from the engine's published figures and
// the work that is known to be there.
//
// An engine processes all pending work in passes. While there are streams to
// decode, a pass generates StepsPerPass tokens of each, with the prefill of prompts
// in between, which lengthens the pass for all streams. So each prompt causes a
// pause in all other streams, while a slot in the batch costs little time but is
// scarce.
package enginemodel

import "time"

// Profile is the set of performance figures that the operator publishes for an
// engine.
// The tags keep the field names that other processes expect.
type Profile struct {
	// Slots is the number of requests that run concurrently.
	Slots int
	// StepTime is the time of one token step, StepTimePerSequence what each running
	// request adds to it, and StepTimePer1000Context what 1,000 tokens of context
	// add.
	StepTime               time.Duration `cbor:"Step"`
	StepTimePerSequence    time.Duration `cbor:"PerSequence"`
	StepTimePer1000Context time.Duration `cbor:"ContextPer1000"`
	// PrefillTokensPerSecond is the number of prompt tokens prefilled per second,
	// and PrefillTimePerMillionPairs the additional time for a million pairs of a
	// token and an earlier token.
	PrefillTokensPerSecond     float64       `cbor:"ReadPerSecond"`
	PrefillTimePerMillionPairs time.Duration `cbor:"PairsPerMillion"`
	// StepsPerPass is the number of steps of a pass in which output is decoded,
	// and thus the number of tokens of one event.
	StepsPerPass int `cbor:"Stride"`
	// MeanPromptTokens and MeanOutputTokens are the mean token counts of requests.
	MeanPromptTokens int `cbor:"UsualPrompt"`
	MeanOutputTokens int `cbor:"UsualAnswer"`
	// MemoryTokens is the number of tokens that all running requests together may
	// hold in memory.
	MemoryTokens int
	// LoadTime is the time to load a whole version once its bytes are on the
	// machine.
	LoadTime time.Duration
	// Layers is the number of layers of a complete model.
	Layers int
	// Chunks and ChunkBytes are the number and the size of the chunks of a version;
	// 0 if they are not known.
	Chunks     int
	ChunkBytes int
}

// Work is the known work at an engine.
type Work struct {
	// Running is the number of requests that were sent to the engine and have not
	// ended.
	Running int `cbor:"1,keyasint,omitzero"`
	// PendingPrefill is the number of prompt tokens of the requests that have
	// produced no event yet.
	PendingPrefill int `cbor:"2,keyasint,omitzero"`
	// Context is the number of tokens that running requests hold.
	Context int `cbor:"3,keyasint,omitzero"`
}

// Add returns the sum of w and o.
func (w Work) Add(o Work) Work {
	return Work{Running: w.Running + o.Running, PendingPrefill: w.PendingPrefill + o.PendingPrefill, Context: w.Context + o.Context}
}

// Sub returns w minus o, which must be a part of w.
func (w Work) Sub(o Work) Work { return w.Add(o.Times(-1)) }

// Times returns the work multiplied by n.
func (w Work) Times(n int) Work {
	return Work{Running: n * w.Running, PendingPrefill: n * w.PendingPrefill, Context: n * w.Context}
}

// DividedBy returns the work divided evenly among n engines, rounded; zero if n is
// not positive.
func (w Work) DividedBy(n int) Work {
	if n <= 0 {
		return Work{}
	}
	half := n / 2
	return Work{Running: (w.Running + half) / n, PendingPrefill: (w.PendingPrefill + half) / n, Context: (w.Context + half) / n}
}

// maxTime bounds each predicted time. It is beyond all deadlines and so far below the range of
// time.Duration that sums of predictions do not overflow: token counts come from callers, and
// the overflowed prediction of a huge prompt was negative.
const maxTime = 24 * time.Hour

// bounded converts nanoseconds to a time of at most maxTime.
func bounded(nanoseconds float64) time.Duration {
	if nanoseconds < float64(maxTime) {
		return time.Duration(nanoseconds)
	}
	return maxTime
}

// PrefillTime returns the time to prefill a prompt of this many tokens.
func (p *Profile) PrefillTime(tokens int) time.Duration {
	if p.PrefillTokensPerSecond <= 0 {
		return 0
	}
	const million = 1e6
	linear := float64(tokens) / p.PrefillTokensPerSecond * float64(time.Second)
	pairs := float64(tokens) * float64(tokens) / 2 / million * float64(p.PrefillTimePerMillionPairs)
	return bounded(linear + pairs)
}

// PassTime returns the time of one pass over the work, without prefills.
func (p *Profile) PassTime(w Work) time.Duration {
	decoding := min(w.Running, p.Slots)
	step := p.StepTime + time.Duration(decoding)*p.StepTimePerSequence
	step += bounded(float64(w.Context) / 1000 * float64(p.StepTimePer1000Context))
	return time.Duration(max(1, p.StepsPerPass)) * step
}

// meanPassTime is the mean time of a pass of a full engine including prefills: one
// prompt for each slot that becomes free.
func (p *Profile) meanPassTime(w Work) time.Duration {
	pass := p.PassTime(w)
	prefill := time.Duration(float64(min(w.Running, p.Slots)) / p.meanPasses() * float64(p.PrefillTime(p.MeanPromptTokens)))
	return pass + prefill
}

// DecodeTime predicts the time from the first to the last event of a response of
// this many tokens, next to the given work.
func (p *Profile) DecodeTime(w Work, tokens int) time.Duration {
	passes := float64(tokens)/float64(max(1, p.StepsPerPass)) - 1
	if passes <= 0 {
		return 0
	}
	return bounded(passes * float64(p.meanPassTime(w)))
}

// meanPasses is the number of passes that decode a response of mean length.
func (p *Profile) meanPasses() float64 {
	passes := float64(p.MeanOutputTokens) / float64(max(1, p.StepsPerPass))
	return max(1, passes)
}

// TimeToFirstEvent predicts the time from now to the first event of a request with
// this many prompt tokens that is sent to an engine with this work.
//
// With a free slot, the request waits half a pass on average for the current pass
// to end, then for all pending prefills and its own, and one pass for its first
// tokens. Without a free slot it also waits for running requests to end: Slots of
// them end in the time of a response of mean length.
func (p *Profile) TimeToFirstEvent(w Work, prompt int) time.Duration {
	first := p.PassTime(w)/2 + p.PrefillTime(w.PendingPrefill) + p.PrefillTime(prompt) + p.PassTime(w)
	queued := w.Running + 1 - p.Slots
	if queued <= 0 {
		return first
	}
	perSlot := time.Duration(p.meanPasses() / float64(max(1, p.Slots)) * float64(p.meanPassTime(w)))
	return first + time.Duration(queued)*perSlot
}
