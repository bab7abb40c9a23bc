package admission_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"chivespindle.example/core/admission"
)

// request is one request of the queue model.
type request struct {
	priority    int
	arrives     time.Time
	deadline    time.Time
	serviceTime time.Duration
	started     time.Time
}

// endHeap is a heap of running requests ordered by their end.
type endHeap []*request

func (e endHeap) Len() int           { return len(e) }
func (e endHeap) Less(i, j int) bool { return e[i].end().Before(e[j].end()) }
func (e endHeap) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *endHeap) Push(x any)        { *e = append(*e, x.(*request)) }
func (e *endHeap) Pop() any {
	last := len(*e) - 1
	r := (*e)[last]
	*e = (*e)[:last]
	return r
}

func (r *request) end() time.Time { return r.started.Add(r.serviceTime) }

// counts are the outcomes of the requests of one priority.
type counts struct{ offered, inTime, late, refused, shed int }

// model is a discrete-event simulation of a server with slots behind a Queue.
type model struct {
	queue      *admission.Queue[*request]
	running    endHeap
	byPriority [8]counts
	busy       time.Duration // total run time of the requests that ended in time
	last       time.Time     // end of the last request
}

// run offers the requests as they arrive and simulates until all have ended.
func (m *model) run(requests []*request) {
	for i, r := range requests {
		m.runUntil(r.arrives)
		m.byPriority[r.priority].offered++
		offered := m.queue.Offer(r.arrives, admission.Urgency{Priority: r.priority, Deadline: r.deadline}, uint64(i), r)
		switch offered.Decision {
		case admission.Started:
			m.start(r.arrives, r)
		case admission.Refused:
			m.byPriority[r.priority].refused++
		}
		m.apply(r.arrives, offered.Changes)
	}
	m.runUntil(requests[len(requests)-1].arrives.Add(time.Hour))
}

func (m *model) runUntil(until time.Time) {
	for len(m.running) > 0 && !m.running[0].end().After(until) {
		r := heap.Pop(&m.running).(*request)
		m.last = r.end()
		if r.end().After(r.deadline) {
			m.byPriority[r.priority].late++
		} else {
			m.byPriority[r.priority].inTime++
			m.busy += r.serviceTime
		}
		m.apply(r.end(), m.queue.Done(r.end(), r.serviceTime))
	}
}

func (m *model) start(now time.Time, r *request) {
	r.started = now
	heap.Push(&m.running, r)
}

func (m *model) apply(now time.Time, changes admission.Changes[*request]) {
	for _, r := range changes.Started {
		m.start(now, r)
	}
	for _, s := range changes.Shed {
		m.byPriority[s.Handle.priority].shed++
		Expect(s.RetryAfter).To(BeNumerically(">=", time.Second))
	}
}

// arrivals returns requests at a rate of load times the capacity of the slots. Each
// request runs for 0.5 to 1.5 s; a fraction of highShare is urgent.
func arrivals(rnd *rand.Rand, slots int, load, highShare float64, seconds int) []*request {
	var requests []*request
	rate := load * float64(slots)
	for at := 0.0; at < float64(seconds); at += rnd.ExpFloat64() / rate {
		r := &request{priority: 4, arrives: after(at)}
		if rnd.Float64() < highShare {
			r.priority = 1
		}
		r.deadline = r.arrives.Add(3 * time.Second)
		r.serviceTime = time.Duration((0.5 + rnd.Float64()) * float64(time.Second))
		requests = append(requests, r)
	}
	return requests
}

var _ = Describe("Queue", func() {
	const slots, seconds = 16, 120
	newQueue := func() *admission.Queue[*request] {
		return admission.NewQueue[*request](admission.QueueOptions{Rand: newRand(1), Slots: slots})
	}

	// The offered load is at least twice the server's capacity. In a FIFO queue every
	// request waits for longer than its client does, and no client is served.
	DescribeTable("maintains goodput and serves urgent requests under overload",
		func(load, highShare float64) {
			m := &model{queue: newQueue()}
			m.run(arrivals(newRand(5), slots, load, highShare, seconds))
			high, low := m.byPriority[1], m.byPriority[4]
			goodput := m.busy.Seconds() / (slots * m.last.Sub(start).Seconds())
			served := float64(high.inTime) / float64(high.offered)
			AddReportEntry("overload", fmt.Sprintf("load %.1f: goodput %.3f, urgent served %.4f, late %d of %d, urgent %+v, other %+v",
				load, goodput, served, high.late+low.late, high.offered+low.offered, high, low))
			Expect(goodput).To(BeNumerically(">", 0.9))
			Expect(served).To(BeNumerically(">", 0.99))
			Expect(high.late + low.late).To(BeNumerically("<=", (high.offered+low.offered)/100))
		},
		Entry("twice, a fifth urgent", 2.0, 0.2),
		Entry("twice, two fifths urgent", 2.0, 0.4),
		Entry("five times, a tenth urgent", 5.0, 0.1),
	)

	It("refuses almost no requests below capacity", func() {
		m := &model{queue: newQueue()}
		m.run(arrivals(newRand(5), slots, 0.8, 0.2, seconds))
		refused := m.byPriority[1].refused + m.byPriority[4].refused + m.byPriority[1].shed + m.byPriority[4].shed
		Expect(refused).To(BeNumerically("<=", (m.byPriority[1].offered+m.byPriority[4].offered)/100))
	})

	fill := func(q *admission.Queue[*request], n int) {
		for range n {
			Expect(q.Offer(start, admission.Urgency{}, 0, nil).Decision).To(Equal(admission.Started))
		}
	}

	// Otherwise the client would wait until its deadline and then be refused, although the
	// outcome was known from the start.
	It("refuses immediately a request that cannot finish in time", func() {
		q := newQueue()
		fill(q, slots)
		offered := q.Offer(start, admission.Urgency{Deadline: after(1)}, 1, nil)
		Expect(offered.Decision).To(Equal(admission.Refused))
		Expect(offered.RetryAfter).To(And(BeNumerically(">=", time.Second), BeNumerically("<", 3*time.Second)))
	})

	// An urgent request delays a queued one beyond its deadline. That one's client would
	// wait in vain.
	It("sheds immediately a request that an urgent one delays too long", func() {
		q := newQueue()
		fill(q, slots)
		low := &request{priority: 7}
		need := 1.5 + 1.0/slots + 0.01
		Expect(q.Offer(start, admission.Urgency{Priority: 7, Deadline: after(need)}, 1, low).Decision).To(Equal(admission.Queued))
		offered := q.Offer(start, admission.Urgency{Priority: 0, Deadline: after(5)}, 2, nil)
		Expect(offered.Decision).To(Equal(admission.Queued))
		Expect(offered.Changes.Shed).To(HaveLen(1))
		Expect(offered.Changes.Shed[0].Handle).To(BeIdenticalTo(low))
	})

	It("sheds the newest request of the lowest priority when it is full", func() {
		q := admission.NewQueue[*request](admission.QueueOptions{Rand: newRand(1), Slots: 1, MaxWaiting: 2})
		fill(q, 1)
		first, second := &request{}, &request{}
		q.Offer(start, admission.Urgency{Priority: 5}, 1, first)
		q.Offer(start, admission.Urgency{Priority: 5}, 2, second)
		Expect(q.Offer(start, admission.Urgency{Priority: 5}, 3, nil).Decision).To(Equal(admission.Refused))
		offered := q.Offer(start, admission.Urgency{Priority: 4}, 4, nil)
		Expect(offered.Decision).To(Equal(admission.Queued))
		Expect(offered.Changes.Shed[0].Handle).To(BeIdenticalTo(second))
	})

	It("sheds queued requests even while no slot becomes free", func() {
		q := newQueue()
		fill(q, slots)
		waiting := &request{}
		Expect(q.Offer(start, admission.Urgency{Deadline: after(3)}, 1, waiting).Decision).To(Equal(admission.Queued))
		Expect(q.Expire(after(1)).Shed).To(BeEmpty())
		Expect(q.Expire(after(2)).Shed).To(HaveLen(1))
		_, left := q.Load()
		Expect(left).To(BeZero())
	})

	It("starts queued requests in order of priority, then of arrival", func() {
		q := newQueue()
		fill(q, slots)
		late, early, urgent := &request{}, &request{}, &request{}
		q.Offer(start, admission.Urgency{Priority: 3}, 1, early)
		q.Offer(start, admission.Urgency{Priority: 3}, 2, late)
		q.Offer(start, admission.Urgency{Priority: 0}, 3, urgent)
		for _, want := range []*request{urgent, early, late} {
			started := q.Done(start, time.Second).Started
			Expect(started).To(HaveLen(1))
			Expect(started[0]).To(BeIdenticalTo(want))
		}
	})

	It("removes a cancelled request", func() {
		q := newQueue()
		fill(q, slots)
		q.Offer(start, admission.Urgency{}, 1, &request{})
		Expect(q.Cancel(1)).To(BeTrue())
		Expect(q.Cancel(1)).To(BeFalse())
		Expect(q.Done(start, time.Second).Started).To(BeEmpty())
	})

	It("starts queued requests when it gets more slots", func() {
		q := newQueue()
		fill(q, slots)
		q.Offer(start, admission.Urgency{}, 1, &request{})
		Expect(q.SetSlots(start, slots+1).Started).To(HaveLen(1))
	})
})

// Every request has exactly one outcome, no more requests run than there are slots, and
// no slot is idle while a request is queued.
func TestQueueLosesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		slots := rapid.IntRange(1, 4).Draw(t, "slots")
		q := admission.NewQueue[int](admission.QueueOptions{Rand: newRand(1), Slots: slots, MaxWaiting: 5})
		now := start
		running := 0
		waits := map[int]bool{}
		apply := func(c admission.Changes[int]) {
			for _, id := range c.Started {
				g.Expect(waits[id]).To(BeTrue())
				delete(waits, id)
				running++
			}
			for _, s := range c.Shed {
				g.Expect(waits[s.Handle]).To(BeTrue())
				delete(waits, s.Handle)
			}
		}
		for id := range rapid.IntRange(0, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				u := admission.Urgency{Priority: rapid.IntRange(-1, 9).Draw(t, "priority")}
				u.Deadline = now.Add(time.Duration(rapid.IntRange(0, 6000).Draw(t, "left")) * time.Millisecond)
				offered := q.Offer(now, u, uint64(id), id)
				switch offered.Decision {
				case admission.Started:
					running++
				case admission.Queued:
					waits[id] = true
				}
				apply(offered.Changes)
			case 2:
				if running > 0 {
					running--
					apply(q.Done(now, time.Duration(rapid.IntRange(0, 2000).Draw(t, "took"))*time.Millisecond))
				}
			case 3:
				apply(q.Expire(now))
			default:
				left := q.Cancel(uint64(id / 2))
				g.Expect(left).To(Equal(waits[id/2]))
				delete(waits, id/2)
			}
			nowRunning, nowWaiting := q.Load()
			g.Expect(nowRunning).To(Equal(running))
			g.Expect(nowWaiting).To(Equal(len(waits)))
			g.Expect(running).To(BeNumerically("<=", slots))
			g.Expect(running == slots || len(waits) == 0).To(BeTrue())
		}
	})
}
