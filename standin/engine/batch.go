package engine

import (
	"container/heap"
	"context"
	"sync"

	"chivespindle.example/core/failure"
)

// queueFull means that as many requests wait as may.
var queueFull = failure.Namespace.NewType("queue_full")

// batch lets slots requests run at once; others wait, the most urgent first
// and among equals the first that came.
type batch struct {
	slots      int
	maxWaiting int
	changed    func(running, waiting int) // called with mu held

	mu      sync.Mutex
	running int
	waiting waiterHeap
	arrived uint64
}

type waiter struct {
	urgency int
	arrival uint64
	index   int // place in the heap; -1 once it left the heap
	granted chan struct{}
}

// enter waits for a slot. After a nil error the caller owes one leave.
func (b *batch) enter(ctx context.Context, urgency int) error {
	w, err := b.join(urgency)
	if err != nil {
		return err
	}
	select {
	case <-w.granted:
		return nil
	case <-ctx.Done():
		b.abandon(w)
		return context.Cause(ctx)
	}
}

func (b *batch) join(urgency int) (*waiter, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := &waiter{urgency: urgency, arrival: b.arrived, index: -1, granted: make(chan struct{})}
	b.arrived++
	if b.running < b.slots {
		b.running++
		close(w.granted)
		b.report()
		return w, nil
	}
	if len(b.waiting) >= b.maxWaiting {
		return nil, queueFull.New("%d requests wait", len(b.waiting))
	}
	heap.Push(&b.waiting, w)
	b.report()
	return w, nil
}

// abandon takes w out of the queue, or gives its slot on if it was granted in
// the meantime.
func (b *batch) abandon(w *waiter) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if w.index < 0 {
		b.passOn()
		return
	}
	heap.Remove(&b.waiting, w.index)
	b.report()
}

// leave gives a slot back.
func (b *batch) leave() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.passOn()
}

func (b *batch) passOn() {
	if len(b.waiting) == 0 {
		b.running--
	} else {
		next := heap.Pop(&b.waiting).(*waiter)
		close(next.granted)
	}
	b.report()
}

func (b *batch) report() { b.changed(b.running, len(b.waiting)) }

// waiterHeap implements heap.Interface.
type waiterHeap []*waiter

func (h waiterHeap) Len() int { return len(h) }

func (h waiterHeap) Less(i, j int) bool {
	if h[i].urgency != h[j].urgency {
		return h[i].urgency < h[j].urgency
	}
	return h[i].arrival < h[j].arrival
}

func (h waiterHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push implements heap.Interface.
func (h *waiterHeap) Push(x any) {
	w := x.(*waiter)
	w.index = len(*h)
	*h = append(*h, w)
}

// Pop implements heap.Interface.
func (h *waiterHeap) Pop() any {
	last := len(*h) - 1
	w := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	w.index = -1
	return w
}
