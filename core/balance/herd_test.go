package balance_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/core/balance"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/serving"
)

// simulation models entries that send requests to servers with a few slots
// each, all based on the same delayed reports. It is a discrete-event
// simulation: the clock advances from event to event.
type simulation struct {
	entries, servers  int
	load              float64       // share of all slots
	meanDuration      time.Duration // mean duration of a request
	slowServers       int           // number of servers that take twice as long
	pickLeastReported bool          // use the policy to compare with

	rnd       *rand.Rand
	now       time.Time
	events    events
	reported  []balance.Server // as last reported
	actual    []simServer
	snapshots []*balance.Snapshot
	trackers  []*balance.Tracker
	totalWait time.Duration
	count     int
	sent      map[fleet.InstanceID]int
}

// simServer is the actual state of a server.
type simServer struct {
	running  int
	queue    []job
	slowdown float64
}

type job struct {
	arrived  time.Time
	duration time.Duration
	release  func(time.Time)
}

type event struct {
	at time.Time
	do func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}

func (t *simulation) schedule(after time.Duration, do func()) {
	heap.Push(&t.events, event{t.now.Add(after), do})
}

func (t *simulation) repeat(period time.Duration, do func()) {
	t.schedule(time.Duration(t.rnd.Float64()*float64(period)), func() {
		do()
		t.repeat(period, do)
	})
}

// run returns the mean time that requests waited for a slot.
func (t *simulation) run(length time.Duration) time.Duration {
	const reportPeriod, reportLag = 2 * time.Second, time.Second
	t.rnd, t.now, t.sent = newRand(5), start, map[fleet.InstanceID]int{}
	t.reported = serversAt(apapa, t.servers, 0)
	t.actual = make([]simServer, t.servers)
	for i := range t.actual {
		t.actual[i].slowdown = 1
		if i < t.slowServers {
			t.actual[i].slowdown = 2
		}
		t.repeat(reportPeriod, func() {
			load := serving.Load{Running: t.actual[i].running, Waiting: len(t.actual[i].queue), Slots: slots}
			t.schedule(reportLag, func() {
				t.reported[i].Report = balance.Report{Load: load, Received: t.now, AgeOnReceipt: reportLag}
			})
		})
	}
	for entry := range t.entries {
		t.trackers = append(t.trackers, balance.NewTracker(start, t.rnd))
		t.snapshots = append(t.snapshots, snapshotOf(t.trackers[entry], t.reported))
		t.repeat(time.Second/2, func() { t.snapshots[entry] = snapshotOf(t.trackers[entry], t.reported) })
	}
	t.arrive()
	for end := start.Add(length); t.events[0].at.Before(end); {
		next := heap.Pop(&t.events).(event)
		t.now = next.at
		next.do()
	}
	return t.totalWait / time.Duration(t.count)
}

func (t *simulation) arrive() {
	rate := t.load * float64(t.servers*slots) / t.meanDuration.Seconds()
	t.schedule(time.Duration(t.rnd.ExpFloat64()/rate*float64(time.Second)), func() {
		t.send(job{arrived: t.now, duration: time.Duration(t.rnd.ExpFloat64() * float64(t.meanDuration))})
		t.arrive()
	})
}

func (t *simulation) send(j job) {
	entry := t.rnd.IntN(t.entries)
	var chosen fleet.InstanceID
	if t.pickLeastReported {
		chosen = t.leastReportedServer()
	} else {
		choice, err := t.snapshots[entry].Pick(t.now, t.rnd, defaultRequest)
		Expect(err).NotTo(HaveOccurred())
		chosen = choice.ID
		j.release = func(at time.Time) { choice.Release(balance.Result{At: at, Kind: balance.Succeeded}) }
	}
	t.sent[chosen]++
	for i := range t.reported {
		if t.reported[i].ID == chosen {
			t.enqueue(i, j)
		}
	}
}

// leastReportedServer returns a server with the least reported load, a random
// one of several.
func (t *simulation) leastReportedServer() fleet.InstanceID {
	loadOf := func(i int) int { return t.reported[i].Report.Load.Running + t.reported[i].Report.Load.Waiting }
	best := t.rnd.IntN(t.servers)
	for i, from := 0, best; i < t.servers; i++ {
		if other := (from + i) % t.servers; loadOf(other) < loadOf(best) {
			best = other
		}
	}
	return t.reported[best].ID
}

func (t *simulation) enqueue(i int, j job) {
	n := &t.actual[i]
	if n.running == slots {
		n.queue = append(n.queue, j)
		return
	}
	n.running++
	t.startJob(i, j)
}

func (t *simulation) startJob(i int, j job) {
	n := &t.actual[i]
	t.totalWait += t.now.Sub(j.arrived)
	t.count++
	t.schedule(time.Duration(float64(j.duration)*n.slowdown), func() {
		if j.release != nil {
			j.release(t.now)
		}
		n.running--
		if len(n.queue) > 0 {
			next := n.queue[0]
			n.queue = n.queue[1:]
			n.running++
			t.startJob(i, next)
		}
	})
}

var _ = Describe("stale reports", func() {
	// One server becomes idle while every entry has the same reports, 1 to 3 s
	// old. Entries that pick the least loaded server all send everything there
	// until the next report sends them all to another one. Callers then wait in
	// a queue while most servers have free slots.
	DescribeTable("do not make entries send all requests to the same server",
		func(model simulation) {
			comparison := model
			comparison.pickLeastReported = true
			ours, theirs := model.run(time.Minute), comparison.run(time.Minute)
			AddReportEntry("mean wait", fmt.Sprintf("%v, least reported %v", ours, theirs))
			Expect(ours).To(BeNumerically("<", theirs/10))
		},
		Entry("long requests", simulation{entries: 8, servers: 16, load: 0.8, meanDuration: 5 * time.Second}),
		Entry("short requests", simulation{entries: 8, servers: 16, load: 0.8, meanDuration: time.Second / 2}),
		Entry("many entries", simulation{entries: 40, servers: 50, load: 0.85, meanDuration: 5 * time.Second}),
	)

	// The same at a single instant: no request ends and no report arrives.
	It("do not send all entries' requests to the server that became idle", func() {
		const entries, each, count = 50, 4, 20
		servers := serversAt(apapa, count, 12)
		servers[0].Report.Load.Running = 0
		now := start.Add(2 * time.Second)
		spread := map[fleet.InstanceID]int{}
		for entry := range entries {
			s := snapshotOf(newTracker(), servers)
			rnd := newRand(uint64(entry))
			for range each {
				choice, err := s.Pick(now, rnd, defaultRequest)
				Expect(err).NotTo(HaveOccurred())
				spread[choice.ID]++
			}
		}
		mean := entries * each / count
		AddReportEntry("requests at the idle server", fmt.Sprintf("%d, mean %d", spread[servers[0].ID], mean))
		Expect(spread[servers[0].ID]).To(BeNumerically(">", mean))
		Expect(spread).To(HaveEach(BeNumerically("<=", 3*mean)))
	})

	// Some servers run at half speed. If they received as many requests as the
	// others, their callers would wait twice as long, plus the time for a slot.
	It("do not hide slow servers", func() {
		model := simulation{entries: 8, servers: 16, load: 0.7, meanDuration: 5 * time.Second, slowServers: 2}
		wait := model.run(time.Minute)
		slow := float64(model.sent["apapa-1-s0"]+model.sent["apapa-1-s1"]) / 2
		share := slow * 16 / float64(model.count)
		AddReportEntry("slow servers", fmt.Sprintf("mean wait %v, sent %.2f of an even share", wait, share))
		Expect(share).To(BeNumerically("<", 0.75))
		Expect(wait).To(BeNumerically("<", 200*time.Millisecond))
	})
})
