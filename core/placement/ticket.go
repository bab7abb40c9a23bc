package placement

import (
	"time"

	"chivespindle.example/core/enginemodel"
)

// Assignment is a request at a server. Its methods may be called by one goroutine.
type Assignment struct {
	// Server is where the request goes.
	Server Server
	// Predicted is the time to the first event, or to the answer of a plain
	// service, as it was predicted when the request was placed.
	Predicted time.Duration
	// ServerTimeout is the time in which the server is to end its work, since the weights
	// that it holds may not answer after that; 0 if nothing but the request's own
	// time bounds it.
	ServerTimeout time.Duration

	board          *Balancer
	state          *state
	prompt, answer int
	suspect        bool
	written        int // tokens
	begun          bool
	ended          bool
	placed         time.Time
}

// Result is how a request at a server ended.
type Result uint8

const (
	// Succeeded: a whole answer came.
	Succeeded Result = iota
	// Failed: the server answered with an error of its own.
	Failed
	// Broken: the connection failed or the answer was cut or spoilt.
	Broken
	// TimedOut: nothing came in the time in which something was due.
	TimedOut
	// Declined: the server said that it did not run the request.
	Declined
	// Abandoned: the caller left; it tells nothing of the server.
	Abandoned
)

// AddTokens tells that the stream went on by so many tokens. The first call ends
// the reading of the prompt.
func (t *Assignment) AddTokens(tokens int) {
	t.board.mu.Lock()
	defer t.board.mu.Unlock()
	t.written += tokens
	if !t.begun {
		t.begun = true
		t.board.touch(t.state)
	}
}

// IsServerReloading reports whether the request stands in the way of its server: that
// is about to load weights and waits for what it runs.
func (t *Assignment) IsServerReloading() bool {
	t.board.mu.Lock()
	defer t.board.mu.Unlock()
	return t.state.Reloading
}

// Work returns what is known to be at the request's server.
func (t *Assignment) Work() enginemodel.Work {
	t.board.mu.Lock()
	defer t.board.mu.Unlock()
	return t.board.work(t.placed, t.state)
}

// Elapsed returns for how long the request has been at its server, and whether
// nothing of its stream has come yet.
func (t *Assignment) Elapsed(now time.Time) (time.Duration, bool) {
	t.board.mu.Lock()
	defer t.board.mu.Unlock()
	return now.Sub(t.placed), !t.begun
}

// ReceivedTokens returns how many tokens of the stream have come.
func (t *Assignment) ReceivedTokens() int {
	t.board.mu.Lock()
	defer t.board.mu.Unlock()
	return t.written
}

// End takes the request off the server. Only the first call counts.
func (t *Assignment) End(now time.Time, result Result) {
	t.board.mu.Lock()
	defer t.board.mu.Unlock()
	if t.ended {
		return
	}
	t.ended = true
	delete(t.state.own, t)
	if t.suspect {
		t.state.suspects--
	}
	t.board.touch(t.state)
	g := t.state.group
	if result == Succeeded {
		g.duration += (now.Sub(t.placed) - g.duration) / durationWeight
	}
	t.state.health.note(now, g, result, t.board.rand, !t.board.off.Ejection)
}

// durationWeight is the weight of the mean of durations against a new one.
const durationWeight = 20
