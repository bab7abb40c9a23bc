package backend

import (
	"context"
	"sync"
	"time"
)

// Faults are the faults that a test injects into a stand-in. A number is the
// number of further responses that have the fault; a flag applies until it is
// cleared.
type Faults struct {
	// Stall stops every response halfway and keeps its connection open.
	Stall bool `json:"stall"`
	// Abort is the number of further responses whose connection is closed
	// halfway.
	Abort int `json:"die"`
	// StepDelayMS is added to the time of each step of a response, in
	// milliseconds.
	StepDelayMS int `json:"slow_ms"`
	// WrongID makes the next responses name another request.
	WrongID int `json:"wrong_id"`
	// Swap is the number of further pairs of responses that are swapped between
	// their callers. The first request of a pair waits for the second.
	Swap int `json:"swap"`
}

// Job is what a response is computed from.
type Job struct {
	ID     string
	Prompt string
	Tokens int
	Body   []byte
}

// FaultInjector applies the faults that were set. The zero value has none.
type FaultInjector struct {
	mu          sync.Mutex
	faults      Faults
	changed     chan struct{} // closed at each Set; nil while nobody waits
	waitingSwap *pendingSwap  // the first request of a pair, which waits for the second
}

type pendingSwap struct {
	job   Job
	other chan Job
}

// Set replaces all faults. Stalled responses continue if it clears Stall.
func (i *FaultInjector) Set(faults Faults) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.faults = faults
	if i.changed != nil {
		close(i.changed)
		i.changed = nil
	}
}

// StepDelay returns the delay to add to each step of a response.
func (i *FaultInjector) StepDelay() time.Duration {
	i.mu.Lock()
	defer i.mu.Unlock()
	return time.Duration(i.faults.StepDelayMS) * time.Millisecond
}

// TakeAbort reports whether this response is to be aborted halfway.
func (i *FaultInjector) TakeAbort() bool { return i.take(&i.faults.Abort) }

// TakeWrongID reports whether this response names another request.
func (i *FaultInjector) TakeWrongID() bool { return i.take(&i.faults.WrongID) }

func (i *FaultInjector) take(count *int) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if *count <= 0 {
		return false
	}
	*count--
	return true
}

// WaitStall waits until no stall is set or ctx ends.
func (i *FaultInjector) WaitStall(ctx context.Context) {
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

// Swap returns the job whose response is sent to the caller of mine: mine
// itself, or the other job of a pair to be swapped. The first job of a pair
// waits for the second or until ctx ends.
func (i *FaultInjector) Swap(ctx context.Context, own Job) Job {
	i.mu.Lock()
	if first := i.waitingSwap; first != nil {
		i.waitingSwap = nil
		i.mu.Unlock()
		first.other <- own
		return first.job
	}
	if i.faults.Swap <= 0 {
		i.mu.Unlock()
		return own
	}
	i.faults.Swap--
	first := &pendingSwap{job: own, other: make(chan Job, 1)}
	i.waitingSwap = first
	i.mu.Unlock()
	select {
	case other := <-first.other:
		return other
	case <-ctx.Done():
		i.cancelSwap(first)
		return own
	}
}

func (i *FaultInjector) cancelSwap(first *pendingSwap) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.waitingSwap == first {
		i.waitingSwap = nil
	}
}
