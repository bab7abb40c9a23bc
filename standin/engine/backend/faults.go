package backend

import (
	"context"
	"sync"
	"time"
)

// Faults are what a stand-in does wrong on purpose. A number counts the next
// answers that have the fault; a flag lasts until it is cleared.
type Faults struct {
	// Stall stops every answer in its middle without closing it.
	Stall bool `json:"stall"`
	// Die closes the connection of the next answers in their middle.
	Die int `json:"die"`
	// SlowMS is added to each step of an answer, in milliseconds.
	SlowMS int `json:"slow_ms"`
	// WrongID makes the next answers name another request.
	WrongID int `json:"wrong_id"`
	// Swap counts the next pairs of answers that are sent to one another's
	// caller. The first of a pair waits for the second.
	Swap int `json:"swap"`
}

// Job is what an answer is computed from.
type Job struct {
	ID     string
	Prompt string
	Tokens int
	Body   []byte
}

// Injector hands out the faults that were set. Its zero value has none.
type Injector struct {
	mu      sync.Mutex
	faults  Faults
	changed chan struct{} // closed at each Set; nil until someone waits
	partner *swapper      // the first of a pair that waits for its second
}

type swapper struct {
	job  Job
	made chan Job
}

// Set replaces all faults. Answers that stall go on if it clears Stall.
func (i *Injector) Set(faults Faults) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.faults = faults
	if i.changed != nil {
		close(i.changed)
		i.changed = nil
	}
}

// Slow returns the pause to add to each step of an answer.
func (i *Injector) Slow() time.Duration {
	i.mu.Lock()
	defer i.mu.Unlock()
	return time.Duration(i.faults.SlowMS) * time.Millisecond
}

// TakeDie reports whether this answer dies in its middle.
func (i *Injector) TakeDie() bool { return i.take(&i.faults.Die) }

// TakeWrongID reports whether this answer names another request.
func (i *Injector) TakeWrongID() bool { return i.take(&i.faults.WrongID) }

func (i *Injector) take(count *int) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if *count <= 0 {
		return false
	}
	*count--
	return true
}

// WaitStall returns when no stall is set or ctx ends.
func (i *Injector) WaitStall(ctx context.Context) {
	for {
		i.mu.Lock()
		if !i.faults.Stall {
			i.mu.Unlock()
			return
		}
		if i.changed == nil {
			i.changed = make(chan struct{})
		}
		changed := i.changed
		i.mu.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// Swap returns the job whose answer goes to the caller of mine: mine itself,
// or the other's when a pair is to be swapped. The first of a pair waits for
// the second or for ctx.
func (i *Injector) Swap(ctx context.Context, mine Job) Job {
	i.mu.Lock()
	if first := i.partner; first != nil {
		i.partner = nil
		i.mu.Unlock()
		first.made <- mine
		return first.job
	}
	if i.faults.Swap <= 0 {
		i.mu.Unlock()
		return mine
	}
	i.faults.Swap--
	first := &swapper{job: mine, made: make(chan Job, 1)}
	i.partner = first
	i.mu.Unlock()
	select {
	case other := <-first.made:
		return other
	case <-ctx.Done():
		i.leave(first)
		return mine
	}
}

func (i *Injector) leave(first *swapper) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.partner == first {
		i.partner = nil
	}
}
