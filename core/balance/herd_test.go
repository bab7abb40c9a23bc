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

// traffic is a model of entries that send to servers of a few slots each, all
// by the same late reports. Its clock jumps from event to event.
type traffic struct {
	entries, servers int
	load             float64       // share of all slots
	took             time.Duration // mean of how long a request runs
	slow             int           // this many servers take twice as long
	leastReported    bool          // the policy to compare with

	rnd    *rand.Rand
	now    time.Time
	events events
	infos  []balance.Server // as last reported
	nodes  []node
	picks  []*balance.Snapshot
	tracks []*balance.Tracker
	waited time.Duration
	count  int
	sent   map[fleet.InstanceID]int
}

// node is a server as it is.
type node struct {
	running int
	queue   []job
	pace    float64
}

type job struct {
	arrived time.Time
	took    time.Duration
	release func(time.Time)
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

func (t *traffic) at(after time.Duration, do func()) {
	heap.Push(&t.events, event{t.now.Add(after), do})
}

func (t *traffic) every(period time.Duration, do func()) {
	t.at(time.Duration(t.rnd.Float64()*float64(period)), func() {
		do()
		t.every(period, do)
	})
}

// run returns the mean time that requests waited for a slot.
func (t *traffic) run(length time.Duration) time.Duration {
	const reportPeriod, reportLag = 2 * time.Second, time.Second
	t.rnd, t.now, t.sent = newRand(5), start, map[fleet.InstanceID]int{}
	t.infos = serversAt(apapa, t.servers, 0)
	t.nodes = make([]node, t.servers)
	for i := range t.nodes {
		t.nodes[i].pace = 1
		if i < t.slow {
			t.nodes[i].pace = 2
		}
		t.every(reportPeriod, func() {
			load := serving.Load{Running: t.nodes[i].running, Waiting: len(t.nodes[i].queue), Slots: slots}
			t.at(reportLag, func() {
				t.infos[i].Report = balance.Report{Load: load, Received: t.now, AgeOnReceipt: reportLag}
			})
		})
	}
	for entry := range t.entries {
		t.tracks = append(t.tracks, balance.NewTracker(start, t.rnd))
		t.picks = append(t.picks, snapshotOf(t.tracks[entry], t.infos))
		t.every(time.Second/2, func() { t.picks[entry] = snapshotOf(t.tracks[entry], t.infos) })
	}
	t.arrive()
	for end := start.Add(length); t.events[0].at.Before(end); {
		next := heap.Pop(&t.events).(event)
		t.now = next.at
		next.do()
	}
	return t.waited / time.Duration(t.count)
}

func (t *traffic) arrive() {
	rate := t.load * float64(t.servers*slots) / t.took.Seconds()
	t.at(time.Duration(t.rnd.ExpFloat64()/rate*float64(time.Second)), func() {
		t.send(job{arrived: t.now, took: time.Duration(t.rnd.ExpFloat64() * float64(t.took))})
		t.arrive()
	})
}

func (t *traffic) send(j job) {
	entry := t.rnd.IntN(t.entries)
	var chosen fleet.InstanceID
	if t.leastReported {
		chosen = t.least()
	} else {
		choice, err := t.picks[entry].Pick(t.now, t.rnd, anyRequest)
		Expect(err).NotTo(HaveOccurred())
		chosen = choice.ID
		j.release = func(at time.Time) { choice.Release(balance.Result{At: at, Kind: balance.Succeeded}) }
	}
	t.sent[chosen]++
	for i := range t.infos {
		if t.infos[i].ID == chosen {
			t.queue(i, j)
		}
	}
}

// least is the server with the least reported load, any of several.
func (t *traffic) least() fleet.InstanceID {
	loadOf := func(i int) int { return t.infos[i].Report.Load.Running + t.infos[i].Report.Load.Waiting }
	best := t.rnd.IntN(t.servers)
	for i, from := 0, best; i < t.servers; i++ {
		if other := (from + i) % t.servers; loadOf(other) < loadOf(best) {
			best = other
		}
	}
	return t.infos[best].ID
}

func (t *traffic) queue(i int, j job) {
	n := &t.nodes[i]
	if n.running == slots {
		n.queue = append(n.queue, j)
		return
	}
	n.running++
	t.begin(i, j)
}

func (t *traffic) begin(i int, j job) {
	n := &t.nodes[i]
	t.waited += t.now.Sub(j.arrived)
	t.count++
	t.at(time.Duration(float64(j.took)*n.pace), func() {
		if j.release != nil {
			j.release(t.now)
		}
		n.running--
		if len(n.queue) > 0 {
			next := n.queue[0]
			n.queue = n.queue[1:]
			n.running++
			t.begin(i, next)
		}
	})
}

var _ = Describe("stale reports", func() {
	// Callers wait behind a queue while most servers have room. A server
	// became idle; every entry holds the same reports, 1 to 3 s old. An entry
	// that takes the least reported one sends everything there, and so do all
	// others, until the next report sends them all elsewhere.
	DescribeTable("do not make entries herd",
		func(model traffic) {
			herd := model
			herd.leastReported = true
			ours, theirs := model.run(time.Minute), herd.run(time.Minute)
			AddReportEntry("mean wait", fmt.Sprintf("%v, least reported %v", ours, theirs))
			Expect(ours).To(BeNumerically("<", theirs/10))
		},
		Entry("long requests", traffic{entries: 8, servers: 16, load: 0.8, took: 5 * time.Second}),
		Entry("short requests", traffic{entries: 8, servers: 16, load: 0.8, took: time.Second / 2}),
		Entry("many entries", traffic{entries: 40, servers: 50, load: 0.85, took: 5 * time.Second}),
	)

	// The same in a single moment: no request ends, no report comes.
	It("do not send every entry to the server that became idle", func() {
		const entries, each, count = 50, 4, 20
		servers := serversAt(apapa, count, 12)
		servers[0].Report.Load.Running = 0
		now := start.Add(2 * time.Second)
		spread := map[fleet.InstanceID]int{}
		for entry := range entries {
			s := snapshotOf(newTracker(), servers)
			rnd := newRand(uint64(entry))
			for range each {
				choice, err := s.Pick(now, rnd, anyRequest)
				Expect(err).NotTo(HaveOccurred())
				spread[choice.ID]++
			}
		}
		mean := entries * each / count
		AddReportEntry("requests at the idle server", fmt.Sprintf("%d, mean %d", spread[servers[0].ID], mean))
		Expect(spread[servers[0].ID]).To(BeNumerically(">", mean))
		Expect(spread).To(HaveEach(BeNumerically("<=", 3*mean)))
	})

	// Some servers run at half their pace. Their callers would wait twice as
	// long, and for a slot on top, were they sent as much as the others.
	It("do not hide slow servers", func() {
		model := traffic{entries: 8, servers: 16, load: 0.7, took: 5 * time.Second, slow: 2}
		wait := model.run(time.Minute)
		slow := float64(model.sent["apapa-1-s0"]+model.sent["apapa-1-s1"]) / 2
		share := slow * 16 / float64(model.count)
		AddReportEntry("slow servers", fmt.Sprintf("mean wait %v, sent %.2f of an even share", wait, share))
		Expect(share).To(BeNumerically("<", 0.75))
		Expect(wait).To(BeNumerically("<", 200*time.Millisecond))
	})
})
