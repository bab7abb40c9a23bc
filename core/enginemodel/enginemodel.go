// Package enginemodel predicts when a model engine gives the first event of a
// request and how long the pauses of its stream are, from the engine's
// published figures and the work that is known to be there.
//
// An engine does all waiting work in passes. While streams are written, a pass
// makes StepsPerPass tokens of each and reads prompts between them; what is read
// makes the pass longer for all streams. So a prompt costs every neighbour a
// pause, and a place in the batch costs little but is scarce.
package enginemodel

import "time"

// Profile is what the operator publishes of an engine.
type Profile struct {
	// Slots is the number of requests that run at once.
	Slots int
	// StepTime is the time of one token step, StepTimePerSequence what each running request
	// adds to it, and StepTimePer1000Context what 1,000 tokens of context add.
	StepTime, StepTimePerSequence, StepTimePer1000Context time.Duration
	// PrefillTokensPerSecond is the number of prompt tokens read in a second, and
	// PrefillTimePerMillionPairs the time for a million pairs of a token and an earlier one.
	PrefillTokensPerSecond     float64
	PrefillTimePerMillionPairs time.Duration
	// StepsPerPass is the number of steps of a pass that has writers, which is also
	// the number of tokens of one event.
	StepsPerPass int
	// MeanPromptTokens and MeanOutputTokens are mean token counts of requests.
	MeanPromptTokens, MeanOutputTokens int
	// MemoryTokens is the number of tokens that all running requests may hold.
	MemoryTokens int
	// LoadTime is how long the load of a whole version takes once its bytes
	// are there.
	LoadTime time.Duration
	// Layers is the number of layers of a whole model.
	Layers int
}

// Work is what is known to be at an engine.
type Work struct {
	// Running is the number of requests that were sent there and have not ended.
	Running int `cbor:"1,keyasint,omitzero"`
	// PendingPrefill is the number of prompt tokens of those that have not begun to
	// write.
	PendingPrefill int `cbor:"2,keyasint,omitzero"`
	// Context is the number of tokens that running requests hold.
	Context int `cbor:"3,keyasint,omitzero"`
}

// Add returns both works together.
func (w Work) Add(o Work) Work {
	return Work{Running: w.Running + o.Running, PendingPrefill: w.PendingPrefill + o.PendingPrefill, Context: w.Context + o.Context}
}

// Sub returns w without o, which is a part of it.
func (w Work) Sub(o Work) Work { return w.Add(o.Times(-1)) }

// Times returns n times the work.
func (w Work) Times(n int) Work {
	return Work{Running: n * w.Running, PendingPrefill: n * w.PendingPrefill, Context: n * w.Context}
}

// DividedBy returns the even part of the work that each of n engines has, rounded;
// nothing for none.
func (w Work) DividedBy(n int) Work {
	if n <= 0 {
		return Work{}
	}
	half := n / 2
	return Work{Running: (w.Running + half) / n, PendingPrefill: (w.PendingPrefill + half) / n, Context: (w.Context + half) / n}
}

// PrefillTime returns the time in which an engine reads a prompt of so many tokens.
func (f *Profile) PrefillTime(tokens int) time.Duration {
	if f.PrefillTokensPerSecond <= 0 {
		return 0
	}
	const million = 1e6
	plain := float64(tokens) / f.PrefillTokensPerSecond * float64(time.Second)
	pairs := float64(tokens) * float64(tokens) / 2 / million * float64(f.PrefillTimePerMillionPairs)
	return time.Duration(plain + pairs)
}

// PassTime returns the time of one pass over the work, without what it reads.
func (f *Profile) PassTime(w Work) time.Duration {
	writers := min(w.Running, f.Slots)
	step := f.StepTime + time.Duration(writers)*f.StepTimePerSequence
	step += time.Duration(float64(w.Context) / 1000 * float64(f.StepTimePer1000Context))
	return time.Duration(max(1, f.StepsPerPass)) * step
}

// turn is the mean time of a pass of a full engine with what it then reads:
// one prompt for each place that falls free.
func (f *Profile) turn(w Work) time.Duration {
	pass := f.PassTime(w)
	read := time.Duration(float64(min(w.Running, f.Slots)) / f.usualPasses() * float64(f.PrefillTime(f.MeanPromptTokens)))
	return pass + read
}

// DecodeTime predicts the time in which an answer of so many tokens is written, from
// its first event to its last, beside the work that is there.
func (f *Profile) DecodeTime(w Work, tokens int) time.Duration {
	passes := float64(tokens)/float64(max(1, f.StepsPerPass)) - 1
	if passes <= 0 {
		return 0
	}
	return time.Duration(passes * float64(f.turn(w)))
}

// usualPasses is the number of passes in which a usual answer is written.
func (f *Profile) usualPasses() float64 {
	passes := float64(f.MeanOutputTokens) / float64(max(1, f.StepsPerPass))
	return max(1, passes)
}

// TimeToFirstEvent predicts the time from now to the first event of a request of so
// many prompt tokens that is sent to an engine with this work.
//
// A free place costs half a pass, since the one that runs must end first, then
// everything unread is read, and the first tokens are one pass. Without a free
// place the request waits for those that leave: Slots of them leave in the
// time of a usual answer.
func (f *Profile) TimeToFirstEvent(w Work, prompt int) time.Duration {
	first := f.PassTime(w)/2 + f.PrefillTime(w.PendingPrefill) + f.PrefillTime(prompt) + f.PassTime(w)
	waiting := w.Running + 1 - f.Slots
	if waiting <= 0 {
		return first
	}
	perPlace := time.Duration(f.usualPasses() / float64(max(1, f.Slots)) * float64(f.turn(w)))
	return first + time.Duration(waiting)*perPlace
}
