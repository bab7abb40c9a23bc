// Package memlimit decides whether a process may hold more bytes of its clients' requests
// and of servers' responses.
package memlimit

import (
	"sync/atomic"

	"chivespindle.example/core/failure"
)

// Share is the share of a process's memory limit that it may hold for request bodies and
// buffered responses. The Go runtime starts to collect more often at 0.6 of the limit; the
// rest below that is for connections, the catalog and buffers that are not yet collected.
const Share = 0.35

// Exceeded is the type of the error of a read that would hold more than the budget allows.
var Exceeded = failure.Namespace.NewType("memory_exceeded")

// Budget is a number of bytes that may be held at a time. A nil Budget has no limit. It is
// safe for concurrent use.
type Budget struct {
	limit int64
	held  atomic.Int64
}

// New returns the budget of a process with a memory limit, nil if it has none.
func New(processBytes int64) *Budget {
	if processBytes <= 0 {
		return nil
	}
	return &Budget{limit: int64(Share * float64(processBytes))}
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
	return b.held.Load()
}

func (b *Budget) acquire(n int64) bool {
	for {
		held := b.held.Load()
		if n < 0 || n > b.limit-held {
			return false
		}
		if b.held.CompareAndSwap(held, held+n) {
			return true
		}
	}
}

// Hold is the part of a budget that one request holds. The zero value has no limit. It is
// not safe for concurrent use.
type Hold struct {
	budget *Budget
	bytes  int64
}

// NewHold returns a Hold of no bytes.
func (b *Budget) NewHold() Hold { return Hold{budget: b} }

// IsLimited reports whether the Hold is part of a budget.
func (h *Hold) IsLimited() bool { return h.budget != nil }

// Grow adds n bytes and reports whether the budget allows them. If not, the Hold remains
// as it is.
func (h *Hold) Grow(n int64) bool {
	if h.budget == nil {
		return true
	}
	if !h.budget.acquire(n) {
		return false
	}
	h.bytes += n
	return true
}

// Fits reports whether Grow would add n bytes now. It adds none.
func (h *Hold) Fits(n int64) bool {
	return h.budget == nil || n <= h.budget.limit-h.budget.held.Load()
}

// Shrink returns n bytes of the Hold to the budget.
func (h *Hold) Shrink(n int64) {
	if h.budget != nil {
		h.budget.held.Add(-n)
		h.bytes -= n
	}
}

// Release returns all bytes of the Hold to the budget.
func (h *Hold) Release() {
	if h.budget != nil {
		h.budget.held.Add(-h.bytes)
		h.bytes = 0
	}
}
