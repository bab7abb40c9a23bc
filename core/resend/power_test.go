package resend_test

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/core/resend"
)

// The modelled fleet starts within startSpread and its seeds seedsLate after; a
// third are entries, which dial all seeds, the others agents, which want two links.
// A handshake costs a seed handshakeCost of its one core, a copy copyCost.
const (
	startSpread      = 200 * time.Millisecond
	seedsLate        = 200 * time.Millisecond
	handshakeCost    = 3 * time.Millisecond
	copyCost         = 30 * time.Microsecond
	handshakeTimeout = 900 * time.Millisecond
	unfinishedMost   = 256
	dialPause        = 150 * time.Millisecond
	seeds, wanted    = 3, 2
	modelledFor      = 8 * time.Second
	// byTransport is the pause after which the transport sends first packets again.
	byTransport = 200 * time.Millisecond
)

// way is how processes go on while nobody answers: they send first packets again
// and, if anew is set, in new handshakes beside the unanswered ones.
type way struct {
	schedule resend.Schedule
	anew     bool
}

type event struct {
	at time.Duration
	do func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// power is a fleet after the return of power.
type power struct {
	way    way
	rand   *rand.Rand
	oneWay time.Duration
	now    time.Duration
	events events
	seeds  [seeds]seedModel
	// sent counts first flights, worked the handshakes of the seeds, and first is
	// how long after its start each agent had its first link.
	sent, worked int
	first        []time.Duration
}

type seedModel struct {
	start, busyUntil time.Duration
	unfinished       int
}

// dial is one run for a connection; it ends linked or not.
type dial struct {
	seed  *seedModel
	begun time.Duration
	ended bool
	end   func(linked bool)
}

func (m *power) after(d time.Duration, do func()) { heap.Push(&m.events, event{m.now + d, do}) }

func (m *power) run(count int) {
	for i := range m.seeds {
		m.seeds[i].start = seedsLate + time.Duration(m.rand.Int64N(int64(startSpread)))
	}
	for i := range count - seeds {
		start := time.Duration(m.rand.Int64N(int64(startSpread)))
		order := m.rand.Perm(seeds)
		if i >= count/3 {
			at := len(m.first)
			m.first = append(m.first, modelledFor)
			linked := func() { m.first[at] = min(m.first[at], m.now-start) }
			order = order[:wanted]
			m.after(start, func() { m.dialAll(start, order, linked) })
			continue
		}
		m.after(start, func() { m.dialAll(start, order, func() {}) })
	}
	for len(m.events) > 0 && m.now < modelledFor {
		e := heap.Pop(&m.events).(event)
		m.now = e.at
		e.do()
	}
	slices.Sort(m.first)
}

func (m *power) dialAll(start time.Duration, order []int, linked func()) {
	for _, i := range order {
		m.dial(start, &m.seeds[i], 0, linked)
	}
}

// dial dials a seed until there is a link, with pauses that double.
func (m *power) dial(start time.Duration, seed *seedModel, failed int, linked func()) {
	d := &dial{seed: seed, begun: m.now}
	d.end = func(ok bool) {
		if d.ended {
			return
		}
		d.ended = true
		if ok {
			linked()
			return
		}
		m.after(dialPause<<min(failed, 3), func() { m.dial(start, seed, failed+1, linked) })
	}
	m.after(handshakeTimeout, func() { d.end(false) })
	reached := new(bool)
	m.handshake(d, reached)
	m.again(start, d, reached, 0)
}

// handshake sends first packets, as the transport does again and again.
func (m *power) handshake(d *dial, reached *bool) {
	m.send(d, reached)
	for wait := byTransport; wait < handshakeTimeout; wait = 2*wait + byTransport {
		m.after(wait, func() { m.send(d, reached) })
	}
}

// again goes on by the way while nobody answers.
func (m *power) again(start time.Duration, d *dial, reached *bool, times int) {
	pause, more := m.way.schedule.Next(m.now-start, times)
	if !more {
		return
	}
	m.after(pause, func() {
		switch {
		case d.ended:
			return
		case m.way.anew:
			m.handshake(d, new(bool))
		default:
			m.send(d, reached)
		}
		m.again(start, d, reached, times+1)
	})
}

func (m *power) send(d *dial, reached *bool) {
	if d.ended {
		return
	}
	m.sent++
	m.after(m.oneWay, func() { m.arrive(d, reached) })
}

// arrive has a seed work on a handshake, or put a copy aside, once its core is free.
func (m *power) arrive(d *dial, reached *bool) {
	s := d.seed
	if m.now < s.start {
		return
	}
	if *reached {
		s.busyUntil = max(s.busyUntil, m.now) + copyCost
		return
	}
	if s.unfinished >= unfinishedMost {
		m.after(m.oneWay, func() { d.end(false) })
		return
	}
	*reached = true
	s.unfinished++
	m.worked++
	s.busyUntil = max(s.busyUntil, m.now) + handshakeCost
	m.after(s.busyUntil-m.now, func() {
		s.unfinished--
		m.after(m.oneWay, func() { d.end(true) })
	})
}

// outcome is the mean of several modelled returns of power.
type outcome struct {
	median, p90      time.Duration
	sent, handshakes float64 // first flights and handshakes of a process
}

func outcomeOf(count int, oneWay time.Duration, w way) outcome {
	const runs = 20
	var o outcome
	for seed := range uint64(runs) {
		m := &power{way: w, rand: rand.New(rand.NewPCG(seed, 1)), oneWay: oneWay}
		m.run(count)
		o.median += m.first[len(m.first)/2] / runs
		o.p90 += m.first[len(m.first)*9/10] / runs
		o.sent += float64(m.sent) / float64(count) / runs
		o.handshakes += float64(m.worked) / float64(count) / runs
	}
	return o
}

// A fleet starts within a moment, the seeds last; everyone dials them at once.
var _ = Describe("The return of power", func() {
	const near, far = 2 * time.Millisecond, 80 * time.Millisecond
	waiting, again := way{}, way{schedule: resend.Default()}
	anew := way{schedule: resend.Default(), anew: true}

	DescribeTable("has processes find each other sooner, without more work for the seeds", func(count int) {
		before, now := outcomeOf(count, near, waiting), outcomeOf(count, near, again)
		GinkgoWriter.Println(before, now)
		Expect(now.median).To(BeNumerically("<", before.median))
		Expect(now.p90).To(BeNumerically("<", before.p90))
		Expect(now.handshakes).To(BeNumerically("<=", before.handshakes))
	}, Entry("8 processes", 8), Entry("100 processes", 100), Entry("410 processes", 410))

	// Guards against new handshakes in place of copies, with which busy seeds never
	// get through their work.
	DescribeTable("has seeds whose answers take long work on one handshake for a dial", func(count int) {
		before, now, worse := outcomeOf(count, far, waiting), outcomeOf(count, far, again), outcomeOf(count, far, anew)
		GinkgoWriter.Println(before, now, worse)
		Expect(now.median).To(BeNumerically("<", before.median))
		Expect(now.handshakes).To(BeNumerically("<", worse.handshakes/1.5))
	}, Entry("8 processes", 8), Entry("100 processes", 100), Entry("410 processes", 410))

	It("costs a process a bounded number of packets, however many there are", func() {
		most := float64(seeds * len(resend.Default().Pauses))
		for _, count := range []int{8, 100, 410} {
			Expect(outcomeOf(count, near, again).sent - outcomeOf(count, near, waiting).sent).To(BeNumerically("<=", most))
		}
	})
})
