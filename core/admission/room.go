package admission

import (
	"math"
	"slices"
	"sync"
	"time"

	"chivespindle.example/core/defaults"
)

// Urgency is what a Room needs to know of a request.
type Urgency struct {
	Priority int       // RFC 9218 urgency, 0 (highest) to 7
	Deadline time.Time // when the caller stops waiting; zero: never
}

const (
	priorities = 8
	// safety is by how many mean deviations a request may run longer than the
	// mean and still be in time.
	safety = 2
	// tookWeight is the weight of the newest sample in the mean and in the
	// mean deviation.
	tookWeight = 0.1
	// firstDeviation is the first guess of the deviation, as a share of Took.
	firstDeviation = 0.25
)

// RoomOptions make a Room. Zero fields take the default.
type RoomOptions struct {
	// Rand spreads pauses; required.
	Rand Rand
	// Slots is how many requests run at once; 16.
	Slots int
	// MaxWaiting bounds those that wait; four times Slots.
	MaxWaiting int
	// Took is the first guess of how long a request runs; 1 s.
	Took time.Duration
}

// Room admits requests to a server's slots and keeps those that wait, the
// important ones in front and else in order of arrival.
//
// If an overloaded server ran all requests in turn, each would miss its deadline:
// the server would be fully used and no client served. So a request that cannot be
// done by its deadline is refused at once as not run, and so are waiting ones that
// miss theirs since a more important request was put before them.
//
// T is the caller's handle of a request, such as a channel to wake it by.
type Room[T any] struct {
	rnd        Rand
	maxWaiting int

	mu      sync.Mutex
	slots   int
	running int
	took    float64 // mean, seconds
	varies  float64 // mean deviation, seconds
	waiting [priorities][]waiter[T]
	count   int // of waiting
}

type waiter[T any] struct {
	handle   T
	ticket   uint64
	deadline time.Time
}

// Entrance is the answer to Offer.
type Entrance uint8

const (
	// Refused: the request is not run; see Offered.RetryAfter.
	Refused Entrance = iota
	// Started: the request has a slot; Done frees it.
	Started
	// Waits: the request will be in Changes.Started or Changes.Shed later,
	// unless it leaves with Leave.
	Waits
)

// Shed is a request that waited and is not run.
type Shed[T any] struct {
	Handle     T
	RetryAfter time.Duration
}

// Changes are the waiting requests whose fate an event decided.
type Changes[T any] struct {
	Started []T
	Shed    []Shed[T]
}

// Offered is the answer to a request.
type Offered[T any] struct {
	Entrance   Entrance
	RetryAfter time.Duration // of a refused one
	Changes    Changes[T]
}

// NewRoom returns an empty room.
func NewRoom[T any](o RoomOptions) *Room[T] {
	const (
		defaultSlots       = 16
		defaultTook        = time.Second
		waitingForEachSlot = 4
	)
	defaults.Set(&o.Slots, defaultSlots)
	defaults.Set(&o.MaxWaiting, waitingForEachSlot*o.Slots)
	defaults.Set(&o.Took, defaultTook)
	return &Room[T]{
		rnd:        o.Rand,
		maxWaiting: o.MaxWaiting,
		slots:      o.Slots,
		took:       o.Took.Seconds(),
		varies:     firstDeviation * o.Took.Seconds(),
	}
}

// SetSlots changes the number of slots and starts what then has room.
func (r *Room[T]) SetSlots(now time.Time, slots int) Changes[T] {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.slots = max(1, slots)
	var changes Changes[T]
	r.settle(now, &changes)
	return changes
}

// Load returns the numbers of running and waiting requests.
func (r *Room[T]) Load() (running, waiting int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.running, r.count
}

// Offer asks for a slot. ticket names the request in Leave.
func (r *Room[T]) Offer(now time.Time, u Urgency, ticket uint64, handle T) Offered[T] {
	r.mu.Lock()
	defer r.mu.Unlock()
	var offered Offered[T]
	priority := min(max(u.Priority, 0), priorities-1)
	ahead := r.ahead(priority)
	if !r.inTime(now, ahead, u.Deadline) || !r.makeSpace(priority, &offered.Changes) {
		offered.RetryAfter = r.pause()
		return offered
	}
	if r.running < r.slots && ahead == 0 {
		r.running++
		offered.Entrance = Started
		return offered
	}
	r.waiting[priority] = append(r.waiting[priority], waiter[T]{handle: handle, ticket: ticket, deadline: u.Deadline})
	r.count++
	offered.Entrance = Waits
	r.settle(now, &offered.Changes)
	return offered
}

// Done frees the slot of a request that ran for took.
func (r *Room[T]) Done(now time.Time, took time.Duration) Changes[T] {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running--
	r.varies += tookWeight * (math.Abs(took.Seconds()-r.took) - r.varies)
	r.took += tookWeight * (took.Seconds() - r.took)
	var changes Changes[T]
	r.settle(now, &changes)
	return changes
}

// Expire sheds the requests that cannot be done in time any more. The caller
// runs it every few tens of milliseconds, so that they are refused also while no
// slot becomes free.
func (r *Room[T]) Expire(now time.Time) Changes[T] {
	r.mu.Lock()
	defer r.mu.Unlock()
	var changes Changes[T]
	r.settle(now, &changes)
	return changes
}

// Leave removes a waiting request whose client disconnected; false if it no longer
// waits.
func (r *Room[T]) Leave(ticket uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for priority, queue := range r.waiting {
		i := slices.IndexFunc(queue, func(w waiter[T]) bool { return w.ticket == ticket })
		if i < 0 {
			continue
		}
		r.waiting[priority] = slices.Delete(queue, i, i+1)
		r.count--
		return true
	}
	return false
}

// ahead counts the waiting requests that go before a new one of priority.
func (r *Room[T]) ahead(priority int) int {
	n := 0
	for _, queue := range r.waiting[:priority+1] {
		n += len(queue)
	}
	return n
}

// inTime reports whether a request with ahead others before it is likely done
// by its deadline.
func (r *Room[T]) inTime(now time.Time, ahead int, deadline time.Time) bool {
	if deadline.IsZero() {
		return true
	}
	need := r.took + safety*r.varies
	if free := r.slots - r.running; ahead >= free {
		need += float64(ahead-free+1) * r.took / float64(r.slots)
	}
	return deadline.Sub(now).Seconds() >= need
}

// makeSpace reports whether one more may wait; if need be the newest of the
// least important is shed.
func (r *Room[T]) makeSpace(priority int, changes *Changes[T]) bool {
	if r.count < r.maxWaiting {
		return true
	}
	for lowest := priorities - 1; lowest > priority; lowest-- {
		queue := r.waiting[lowest]
		if len(queue) == 0 {
			continue
		}
		last := len(queue) - 1
		r.shed(queue[last].handle, changes)
		r.waiting[lowest] = queue[:last]
		return true
	}
	return false
}

// settle starts the waiting requests that have a slot and sheds those that
// will be too late, the most important first.
func (r *Room[T]) settle(now time.Time, changes *Changes[T]) {
	ahead := 0
	for priority, queue := range r.waiting {
		kept := queue[:0]
		for _, w := range queue {
			switch {
			case !r.inTime(now, ahead, w.deadline):
				r.shed(w.handle, changes)
			case r.running < r.slots:
				r.running++
				r.count--
				changes.Started = append(changes.Started, w.handle)
			default:
				kept = append(kept, w)
				ahead++
			}
		}
		clear(queue[len(kept):])
		r.waiting[priority] = kept
	}
}

func (r *Room[T]) shed(handle T, changes *Changes[T]) {
	r.count--
	changes.Shed = append(changes.Shed, Shed[T]{Handle: handle, RetryAfter: r.pause()})
}

// pause is about the time until what waits now has run.
func (r *Room[T]) pause() time.Duration {
	drain := float64(r.count) * r.took / float64(r.slots)
	return spread(time.Duration(drain*float64(time.Second)), r.rnd)
}
