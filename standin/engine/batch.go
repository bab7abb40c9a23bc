package engine

import (
	"container/heap"
	"context"
	"sync"

	"chivespindle.example/core/failure"
)

// queueFull means that maxWaiting requests are already waiting.
var queueFull = failure.Namespace.NewType("queue_full")

// batch limits the number of running requests to slots. Further requests wait,
// ordered by urgency and then by arrival.
type batch struct {
	slots      int
	maxWaiting int
	onChange   func(running, waiting int) // called with mu held

	mu          sync.Mutex
	running     int
	waiting     waiterHeap
	nextArrival uint64
}

type waiter struct {
	urgency int
	arrival uint64
	index   int // position in the heap, -1 if not in the heap
	granted chan struct{}
}

// acquire waits for a slot. If it returns nil, the caller must call release.
func (b *batch) acquire(ctx context.Context, urgency int) error {
	w, err := b.enqueue(urgency)
	if err != nil {
		return err
	}
	select {
	case <-w.granted:
		return nil
	case <-ctx.Done():
		b.cancel(w)
		return context.Cause(ctx)
	}
}

func (b *batch) enqueue(urgency int) (*waiter, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := &waiter{urgency: urgency, arrival: b.nextArrival, index: -1, granted: make(chan struct{})}
	b.nextArrival++
	if b.running < b.slots {
		b.running++
		close(w.granted)
		b.notify()
		return w, nil
	}
	if len(b.waiting) >= b.maxWaiting {
		return nil, queueFull.New("%d requests wait", len(b.waiting))
	}
	heap.Push(&b.waiting, w)
	b.notify()
	return w, nil
}

// cancel removes w from the queue, or releases its slot if it was granted in
// the meantime.
func (b *batch) cancel(w *waiter) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if w.index < 0 {
		b.releaseLocked()
		return
	}
	heap.Remove(&b.waiting, w.index)
	b.notify()
}

// release frees a slot and grants it to the next waiting request, if any.
func (b *batch) release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.releaseLocked()
}

func (b *batch) releaseLocked() {
	if len(b.waiting) == 0 {
		b.running--
	} else {
		next := heap.Pop(&b.waiting).(*waiter)
		close(next.granted)
	}
	b.notify()
}

func (b *batch) notify() { b.onChange(b.running, len(b.waiting)) }

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
