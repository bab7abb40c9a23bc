// Package memlimit decides whether a process may hold more bytes of its clients' requests
// and of servers' responses, and which bodies that are still being received are evicted if not.
package memlimit

import (
	"container/list"
	"sync"
	"time"

	"chivespindle.example/core/failure"
)

// Share is the share of a process's memory limit that it may hold for request bodies and
// buffered responses. The Go runtime starts to collect more often at 0.6 of the limit; the
// rest below that is for connections, the catalog and buffers that are not yet collected.
const Share = 0.35

const (
	// SmallBytes is the size up to which a body may use the whole budget.
	SmallBytes = 32 << 10
	// smallDivisor is the part of the budget that larger bodies may not use, so that small
	// requests are served while large ones hold the rest.
	smallDivisor = 8
	// ReceiptTime is how long a body may be received before it may be evicted. The
	// largest one takes half of it over a link of 24 Mbit/s.
	ReceiptTime = 3 * time.Second
)

// Exceeded is the type of the error of a read that would hold more than the budget allows.
var Exceeded = failure.Namespace.NewType("memory_exceeded")

// Budget is a number of bytes that may be held at a time. A nil Budget has no limit. It is
// safe for concurrent use.
type Budget struct {
	limit int64

	mu   sync.Mutex
	held int64
	// receipts holds those in progress, the oldest first.
	receipts list.List
}

// New returns the budget of a process with a memory limit, nil if it has none.
func New(processBytes int64) *Budget { return NewShare(processBytes, Share) }

// NewShare returns a budget of a share of a process's memory limit, nil if it has none.
func NewShare(processBytes int64, share float64) *Budget {
	if processBytes <= 0 {
		return nil
	}
	return &Budget{limit: int64(share * float64(processBytes))}
}

// Limit returns the number of bytes that may be held, 0 for a nil Budget.
func (b *Budget) Limit() int64 {
	if b == nil {
		return 0
	}
	return b.limit
}

// Held returns the number of bytes that are held, 0 for a nil Budget.
func (b *Budget) Held() int64 {
	if b == nil {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held
}

// limitOf returns the number of bytes that may be held together with a body of the given size.
func (b *Budget) limitOf(size int64) int64 {
	if size <= SmallBytes {
		return b.limit
	}
	return b.limit - b.limit/smallDivisor
}

// shortage returns the number of bytes that must be released before n more may be held for a
// body of the given size, at most 0 if there are enough. It returns false if n can never fit.
func (b *Budget) shortage(n, size int64) (int64, bool) {
	limit := b.limitOf(size)
	if n < 0 || n > limit {
		return 0, false
	}
	return b.held + n - limit, true
}

// victims returns the receipts that are evicted so that a number of bytes is released for h: the
// oldest, provided that they are older than ReceiptTime and than that of h. It returns false if
// they do not hold enough.
func (b *Budget) victims(now time.Time, h *Hold, shortage int64) ([]*receipt, bool) {
	var victims []*receipt
	for e := b.receipts.Front(); shortage > 0; e = e.Next() {
		if e == nil {
			return nil, false
		}
		r := e.Value.(*receipt)
		if r.hold == h || now.Sub(r.beganAt) < ReceiptTime {
			return nil, false
		}
		if r.hold.bytes > 0 {
			victims = append(victims, r)
			shortage -= r.hold.bytes
		}
	}
	return victims, true
}

// receipt is the receipt of a request's body.
type receipt struct {
	hold    *Hold
	beganAt time.Time
	// size is the length of the body, negative if unknown.
	size int64
	// interrupt ends the read of the body.
	interrupt func()
	place     *list.Element
	// interrupted is closed when interrupt has returned; nil unless the body was evicted.
	interrupted chan struct{}
}

// Hold is the part of a budget that one request holds. The zero value has no limit. Its methods
// must not be called concurrently, and it must not be copied once it is used.
type Hold struct {
	budget *Budget
	// The following are guarded by the budget, since a receipt is evicted at any time.
	bytes   int64
	receipt *receipt // nil unless a body is being received
}

// NewHold returns a Hold of no bytes.
func (b *Budget) NewHold() Hold { return Hold{budget: b} }

// IsLimited reports whether the Hold is part of a budget.
func (h *Hold) IsLimited() bool { return h.budget != nil }

// BeginReceipt begins the receipt of a body, whose bytes are to be added as they arrive. size is
// its length, negative if unknown. It returns false if the body would not fit now, even if others
// were evicted.
//
// If the budget is used up and the receipt is the oldest, interrupt is called by another
// goroutine, once at most and never after EndReceipt has returned. It must end the read, and
// return soon. From then on Grow fails.
func (h *Hold) BeginReceipt(now time.Time, size int64, interrupt func()) bool {
	b := h.budget
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	shortage, canFit := b.shortage(max(0, size), size)
	if canFit {
		_, canFit = b.victims(now, h, shortage)
	}
	if !canFit {
		return false
	}
	h.receipt = &receipt{hold: h, beganAt: now, size: size, interrupt: interrupt}
	h.receipt.place = b.receipts.PushBack(h.receipt)
	return true
}

// EndReceipt ends the receipt of a body, after which it is not evicted. It returns false if it
// has: the body must be dropped.
func (h *Hold) EndReceipt() bool {
	if h.budget == nil {
		return true
	}
	h.budget.mu.Lock()
	r := h.receipt
	h.receipt = nil
	if r == nil || r.interrupted == nil {
		if r != nil {
			h.budget.receipts.Remove(r.place)
		}
		h.budget.mu.Unlock()
		return true
	}
	h.budget.mu.Unlock()
	<-r.interrupted
	return false
}

// Grow adds n bytes and reports whether the budget allows them, after receipts that are evicted. If
// not, the Hold remains as it is.
func (h *Hold) Grow(now time.Time, n int64) bool {
	if h.budget == nil {
		return true
	}
	h.budget.mu.Lock()
	victims, ok := h.grow(now, n)
	h.budget.mu.Unlock()
	for _, v := range victims {
		v.interrupt()
		close(v.interrupted)
	}
	return ok
}

func (h *Hold) grow(now time.Time, n int64) ([]*receipt, bool) {
	b := h.budget
	size := h.bytes + n
	if h.receipt != nil {
		if h.receipt.interrupted != nil {
			return nil, false
		}
		size = max(size, h.receipt.size)
	}
	shortage, canFit := b.shortage(n, size)
	if !canFit {
		return nil, false
	}
	victims, ok := b.victims(now, h, shortage)
	if !ok {
		return nil, false
	}
	for _, v := range victims {
		// The reader of the body drops it at once, so that its bytes are free.
		b.release(v.hold, v.hold.bytes)
		b.receipts.Remove(v.place)
		v.interrupted = make(chan struct{})
	}
	h.bytes += n
	b.held += n
	return victims, true
}

func (b *Budget) release(h *Hold, n int64) {
	n = min(n, h.bytes) // a body that was evicted holds nothing
	h.bytes -= n
	b.held -= n
}

// Shrink returns n bytes of the Hold to the budget.
func (h *Hold) Shrink(n int64) {
	if h.budget != nil {
		h.budget.mu.Lock()
		defer h.budget.mu.Unlock()
		h.budget.release(h, n)
	}
}

// Release returns all bytes of the Hold to the budget. It ends a receipt.
func (h *Hold) Release() {
	if h.budget != nil {
		h.EndReceipt()
		h.budget.mu.Lock()
		defer h.budget.mu.Unlock()
		h.budget.release(h, h.bytes)
	}
}
