package admission

import (
	"math"
	"slices"
	"sync"
	"time"

	"chivespindle.example/core/defaults"
)

// Urgency holds the properties of a request by which a Queue orders and refuses it.
type Urgency struct {
	Priority int       // RFC 9218 urgency, 0 (highest) to 7
	Deadline time.Time // when the client stops waiting; zero for never
}

const (
	priorities = 8
	// safetyDeviations is by how many mean deviations a request may exceed the mean
	// service time and still finish in time.
	safetyDeviations = 2
	// sampleWeight is the weight of the newest sample in the moving averages of the
	// service time and its deviation.
	sampleWeight = 0.1
	// initialDeviation is the initial estimate of the deviation, as a fraction of
	// ServiceTime.
	initialDeviation = 0.25
)

// QueueOptions configure a Queue. Zero fields take the default.
type QueueOptions struct {
	// Rand is the source of jitter for pauses; required.
	Rand Rand
	// Slots is how many requests run concurrently. The default is 16.
	Slots int
	// MaxWaiting bounds the waiting requests. The default is four times Slots.
	MaxWaiting int
	// ServiceTime is the initial estimate of how long a request runs. The default is
	// 1 s.
	ServiceTime time.Duration
}

// Queue admits requests to a server's slots and holds those that wait, ordered by
// priority and then by arrival.
//
// If an overloaded server ran all requests in order of arrival, each would miss its
// deadline: the server would be fully utilized without serving any client. So a request
// that cannot finish by its deadline is refused immediately as not run. Waiting requests
// that can no longer meet their deadline, because a request of higher priority was put
// before them, are shed.
//
// T is the caller's handle of a request, such as a channel to wake it.
type Queue[T any] struct {
	rnd        Rand
	maxWaiting int

	mu          sync.Mutex
	slots       int
	running     int
	serviceTime float64 // mean service time, seconds
	deviation   float64 // mean deviation of the service time, seconds
	waiting     [priorities][]waiter[T]
	count       int // number of waiting requests
}

type waiter[T any] struct {
	handle   T
	ticket   uint64
	deadline time.Time
}

// Decision is the outcome of Offer.
type Decision uint8

const (
	// Refused: the request is not run; see OfferResult.RetryAfter.
	Refused Decision = iota
	// Started: the request has a slot, which Done releases.
	Started
	// Queued: the request will appear in Changes.Started or Changes.Shed later, unless
	// it is removed with Cancel.
	Queued
)

// Shed is a request that was queued and is not run.
type Shed[T any] struct {
	Handle     T
	RetryAfter time.Duration
}

// Changes are the queued requests that an event started or shed.
type Changes[T any] struct {
	Started []T
	Shed    []Shed[T]
}

// OfferResult is the result of Offer.
type OfferResult[T any] struct {
	Decision   Decision
	RetryAfter time.Duration // for a refused request
	Changes    Changes[T]
}

// NewQueue returns an empty queue.
func NewQueue[T any](o QueueOptions) *Queue[T] {
	const (
		defaultSlots       = 16
		defaultServiceTime = time.Second
		waitingPerSlot     = 4
	)
	defaults.Set(&o.Slots, defaultSlots)
	defaults.Set(&o.MaxWaiting, waitingPerSlot*o.Slots)
	defaults.Set(&o.ServiceTime, defaultServiceTime)
	return &Queue[T]{
		rnd:         o.Rand,
		maxWaiting:  o.MaxWaiting,
		slots:       o.Slots,
		serviceTime: o.ServiceTime.Seconds(),
		deviation:   initialDeviation * o.ServiceTime.Seconds(),
	}
}

// SetSlots changes the number of slots and starts the requests that then have one.
func (q *Queue[T]) SetSlots(now time.Time, slots int) Changes[T] {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.slots = max(1, slots)
	var changes Changes[T]
	q.settle(now, &changes)
	return changes
}

// Load returns the numbers of running and waiting requests.
func (q *Queue[T]) Load() (running, waiting int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.running, q.count
}

// Offer requests a slot. ticket identifies the request in Cancel.
func (q *Queue[T]) Offer(now time.Time, u Urgency, ticket uint64, handle T) OfferResult[T] {
	q.mu.Lock()
	defer q.mu.Unlock()
	var offered OfferResult[T]
	priority := min(max(u.Priority, 0), priorities-1)
	ahead := q.ahead(priority)
	if !q.inTime(now, ahead, u.Deadline) || !q.makeSpace(priority, &offered.Changes) {
		offered.RetryAfter = q.pause()
		return offered
	}
	if q.running < q.slots && ahead == 0 {
		q.running++
		offered.Decision = Started
		return offered
	}
	q.waiting[priority] = append(q.waiting[priority], waiter[T]{handle: handle, ticket: ticket, deadline: u.Deadline})
	q.count++
	offered.Decision = Queued
	q.settle(now, &offered.Changes)
	return offered
}

// Done releases the slot of a request that ran for serviceTime.
func (q *Queue[T]) Done(now time.Time, serviceTime time.Duration) Changes[T] {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.running--
	q.deviation += sampleWeight * (math.Abs(serviceTime.Seconds()-q.serviceTime) - q.deviation)
	q.serviceTime += sampleWeight * (serviceTime.Seconds() - q.serviceTime)
	var changes Changes[T]
	q.settle(now, &changes)
	return changes
}

// Expire sheds the requests that can no longer finish in time. The caller runs it every
// few tens of milliseconds, so that they are refused even while no slot becomes free.
func (q *Queue[T]) Expire(now time.Time) Changes[T] {
	q.mu.Lock()
	defer q.mu.Unlock()
	var changes Changes[T]
	q.settle(now, &changes)
	return changes
}

// Cancel removes a queued request whose client disconnected. It returns false if the
// request is no longer queued.
func (q *Queue[T]) Cancel(ticket uint64) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	for priority, queue := range q.waiting {
		i := slices.IndexFunc(queue, func(w waiter[T]) bool { return w.ticket == ticket })
		if i < 0 {
			continue
		}
		q.waiting[priority] = slices.Delete(queue, i, i+1)
		q.count--
		return true
	}
	return false
}

// ahead returns the number of queued requests that run before a new one of the given
// priority.
func (q *Queue[T]) ahead(priority int) int {
	n := 0
	for _, queue := range q.waiting[:priority+1] {
		n += len(queue)
	}
	return n
}

// inTime reports whether a request with ahead others before it will probably finish by
// its deadline.
func (q *Queue[T]) inTime(now time.Time, ahead int, deadline time.Time) bool {
	if deadline.IsZero() {
		return true
	}
	need := q.serviceTime + safetyDeviations*q.deviation
	if free := q.slots - q.running; ahead >= free {
		need += float64(ahead-free+1) * q.serviceTime / float64(q.slots)
	}
	return deadline.Sub(now).Seconds() >= need
}

// makeSpace reports whether one more request may be queued. If the queue is full, it
// sheds the newest request of the lowest priority below the given one.
func (q *Queue[T]) makeSpace(priority int, changes *Changes[T]) bool {
	if q.count < q.maxWaiting {
		return true
	}
	for lowest := priorities - 1; lowest > priority; lowest-- {
		queue := q.waiting[lowest]
		if len(queue) == 0 {
			continue
		}
		last := len(queue) - 1
		q.shed(queue[last].handle, changes)
		q.waiting[lowest] = queue[:last]
		return true
	}
	return false
}

// settle starts the queued requests for which there is a slot and sheds those that would
// finish too late, in order of priority.
func (q *Queue[T]) settle(now time.Time, changes *Changes[T]) {
	ahead := 0
	for priority, queue := range q.waiting {
		kept := queue[:0]
		for _, w := range queue {
			switch {
			case !q.inTime(now, ahead, w.deadline):
				q.shed(w.handle, changes)
			case q.running < q.slots:
				q.running++
				q.count--
				changes.Started = append(changes.Started, w.handle)
			default:
				kept = append(kept, w)
				ahead++
			}
		}
		clear(queue[len(kept):])
		q.waiting[priority] = kept
	}
}

func (q *Queue[T]) shed(handle T, changes *Changes[T]) {
	q.count--
	changes.Shed = append(changes.Shed, Shed[T]{Handle: handle, RetryAfter: q.pause()})
}

// pause returns a pause of about the time until the queued requests have run, with jitter.
func (q *Queue[T]) pause() time.Duration {
	drain := float64(q.count) * q.serviceTime / float64(q.slots)
	return jitter(time.Duration(drain*float64(time.Second)), q.rnd)
}
