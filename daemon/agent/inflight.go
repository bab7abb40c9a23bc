package agent

import "sync"

// inFlightCounter counts requests in progress and notifies when there are none.
//
// A request is counted before the gate is checked, and the gate is closed before
// idleness is awaited. A request that arrives while the gate closes is therefore
// either refused or waited for; otherwise the engine could be ordered to load while
// it still serves a request.
type inFlightCounter struct {
	mu            sync.Mutex
	n             int64
	idleCallbacks []func()
}

func newInFlightCounter() *inFlightCounter { return &inFlightCounter{} }

func (f *inFlightCounter) enter() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.n++
	return f.n
}

func (f *inFlightCounter) exit() {
	f.mu.Lock()
	f.n--
	var idle []func()
	if f.n == 0 {
		idle, f.idleCallbacks = f.idleCallbacks, nil
	}
	f.mu.Unlock()
	for _, callback := range idle {
		callback()
	}
}

// whenIdle calls callback once, as soon as no request is in progress.
func (f *inFlightCounter) whenIdle(callback func()) {
	f.mu.Lock()
	if f.n > 0 {
		f.idleCallbacks = append(f.idleCallbacks, callback)
		f.mu.Unlock()
		return
	}
	f.mu.Unlock()
	callback()
}

func (f *inFlightCounter) count() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.n
}
