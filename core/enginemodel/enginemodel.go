// Package enginemodel predicts when a model engine gives the first event of a
// request and how long the pauses of its stream are, from the engine's
// published figures and the work that is known to be there.
//
// An engine does all waiting work in passes. While streams are written, a pass
// makes Stride tokens of each and reads prompts between them; what is read
// makes the pass longer for all streams. So a prompt costs every neighbour a
// pause, and a place in the batch costs little but is scarce.
package enginemodel

import "time"

// Figures are what the operator publishes of an engine.
type Figures struct {
	// Slots is the number of requests that run at once.
	Slots int
	// Step is the time of one token step, PerSequence what each running request
	// adds to it, and ContextPer1000 what 1,000 tokens of context add.
	Step, PerSequence, ContextPer1000 time.Duration
	// ReadPerSecond is the number of prompt tokens read in a second, and
	// PairsPerMillion the time for a million pairs of a token and an earlier one.
	ReadPerSecond   float64
	PairsPerMillion time.Duration
	// Stride is the number of steps of a pass that has writers, which is also
	// the number of tokens of one event.
	Stride int
	// UsualPrompt and UsualAnswer are mean token counts of requests.
	UsualPrompt, UsualAnswer int
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
	// Unread is the number of prompt tokens of those that have not begun to
	// write.
	Unread int `cbor:"2,keyasint,omitzero"`
	// Context is the number of tokens that running requests hold.
	Context int `cbor:"3,keyasint,omitzero"`
}

// Add returns both works together.
func (w Work) Add(o Work) Work {
	return Work{Running: w.Running + o.Running, Unread: w.Unread + o.Unread, Context: w.Context + o.Context}
}

// Sub returns w without o, which is a part of it.
func (w Work) Sub(o Work) Work { return w.Add(o.Times(-1)) }

// Times returns n times the work.
func (w Work) Times(n int) Work {
	return Work{Running: n * w.Running, Unread: n * w.Unread, Context: n * w.Context}
}

// Over returns the even part of the work that each of n engines has, rounded;
// nothing for none.
func (w Work) Over(n int) Work {
	if n <= 0 {
		return Work{}
	}
	half := n / 2
	return Work{Running: (w.Running + half) / n, Unread: (w.Unread + half) / n, Context: (w.Context + half) / n}
}

// Read returns the time in which an engine reads a prompt of so many tokens.
func (f *Figures) Read(tokens int) time.Duration {
	if f.ReadPerSecond <= 0 {
		return 0
	}
	const million = 1e6
	plain := float64(tokens) / f.ReadPerSecond * float64(time.Second)
	pairs := float64(tokens) * float64(tokens) / 2 / million * float64(f.PairsPerMillion)
	return time.Duration(plain + pairs)
}

// Pass returns the time of one pass over the work, without what it reads.
func (f *Figures) Pass(w Work) time.Duration {
	writers := min(w.Running, f.Slots)
	step := f.Step + time.Duration(writers)*f.PerSequence
	step += time.Duration(float64(w.Context) / 1000 * float64(f.ContextPer1000))
	return time.Duration(max(1, f.Stride)) * step
}

// turn is the mean time of a pass of a full engine with what it then reads:
// one prompt for each place that falls free.
func (f *Figures) turn(w Work) time.Duration {
	pass := f.Pass(w)
	read := time.Duration(float64(min(w.Running, f.Slots)) / f.usualPasses() * float64(f.Read(f.UsualPrompt)))
	return pass + read
}

// Write predicts the time in which an answer of so many tokens is written, from
// its first event to its last, beside the work that is there.
func (f *Figures) Write(w Work, tokens int) time.Duration {
	passes := float64(tokens)/float64(max(1, f.Stride)) - 1
	if passes <= 0 {
		return 0
	}
	return time.Duration(passes * float64(f.turn(w)))
}

// usualPasses is the number of passes in which a usual answer is written.
func (f *Figures) usualPasses() float64 {
	passes := float64(f.UsualAnswer) / float64(max(1, f.Stride))
	return max(1, passes)
}

// FirstEvent predicts the time from now to the first event of a request of so
// many prompt tokens that is sent to an engine with this work.
//
// A free place costs half a pass, since the one that runs must end first, then
// everything unread is read, and the first tokens are one pass. Without a free
// place the request waits for those that leave: Slots of them leave in the
// time of a usual answer.
func (f *Figures) FirstEvent(w Work, prompt int) time.Duration {
	first := f.Pass(w)/2 + f.Read(w.Unread) + f.Read(prompt) + f.Pass(w)
	waiting := w.Running + 1 - f.Slots
	if waiting <= 0 {
		return first
	}
	perPlace := time.Duration(f.usualPasses() / float64(max(1, f.Slots)) * float64(f.turn(w)))
	return first + time.Duration(waiting)*perPlace
}
