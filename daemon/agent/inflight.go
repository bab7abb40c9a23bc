package agent

import "sync"

// inFlight counts requests in progress and tells when there are none.
//
// A request is counted before the gate is asked, and the gate is closed before
// idleness is asked for. So a request that slips in while the gate closes is
// either refused or waited for; without that order an engine could be ordered
// to load under a running answer.
type inFlight struct {
	mu      sync.Mutex
	n       int64
	waiting []func()
}

func newInFlight() *inFlight { return &inFlight{} }

func (f *inFlight) enter() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.n++
	return f.n
}

func (f *inFlight) exit() {
	f.mu.Lock()
	f.n--
	var idle []func()
	if f.n == 0 {
		idle, f.waiting = f.waiting, nil
	}
	f.mu.Unlock()
	for _, tell := range idle {
		tell()
	}
}

// whenIdle calls tell once, as soon as no request is in progress.
func (f *inFlight) whenIdle(tell func()) {
	f.mu.Lock()
	if f.n > 0 {
		f.waiting = append(f.waiting, tell)
		f.mu.Unlock()
		return
	}
	f.mu.Unlock()
	tell()
}

func (f *inFlight) count() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.n
}
