package placement_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/core/fleet"
	"chivespindle.example/core/placement"
	"chivespindle.example/core/policy"
)

// These tests replay a load on engines that follow their published figures, in
// virtual time, with several entries that hear of each other's requests 100 ms
// late. They compare what callers get with ways of placing that know less.

const replayFor = 20 * time.Second

// size is the fleet of a replay. Entries hear of each other every hear.
type size struct {
	engines, entries int
	hear             time.Duration
}

var fleet8 = size{engines: 8, entries: 4, hear: 30 * ms}

// request is one stream of the replayed load.
type request struct {
	at             time.Duration
	prompt, answer int
	entry          int
	ticket         *placement.Assignment
	first, last    time.Duration
	left           int // passes
	// until is when the engine ends its work on the request; 0 for never.
	until time.Duration
}

// trace makes a load of so many requests a second, with the spread of sizes of
// the users' sheets. The first entry gets the share of the requests, the others
// the rest evenly.
func (z size) trace(perSecond, firstShare float64) []*request {
	r := rand.New(rand.NewPCG(3, 4))
	var all []*request
	for at := time.Duration(0); at < replayFor; {
		at += time.Duration(r.ExpFloat64() / perSecond * float64(time.Second))
		all = append(all, &request{
			at:     at,
			prompt: min(3880, 100+int(r.ExpFloat64()*900)),
			answer: min(250, 10+int(r.ExpFloat64()*90)),
			entry:  z.entryFor(r, firstShare),
		})
	}
	return all
}

func (z size) entryFor(r *rand.Rand, firstShare float64) int {
	if r.Float64() < firstShare {
		return 0
	}
	return 1 + r.IntN(z.entries-1)
}

func (r *request) isOver(now time.Duration) bool { return r.until > 0 && now >= r.until }

// engine runs passes as the published figures say.
type engine struct {
	running, queued []*request
	now             time.Duration
}

// pass runs one pass that begins at e.now and returns what it finished.
func (e *engine) pass() []*request {
	f := figures()
	var read time.Duration
	for len(e.running) < f.Slots && len(e.queued) > 0 {
		next := e.queued[0]
		e.queued = e.queued[1:]
		if next.isOver(e.now) {
			continue
		}
		read += f.PrefillTime(next.prompt)
		e.running = append(e.running, next)
	}
	step := f.StepTime + time.Duration(len(e.running))*f.StepTimePerSequence
	e.now += time.Duration(f.StepsPerPass)*step + read
	var done []*request
	kept := e.running[:0]
	for _, r := range e.running {
		if r.isOver(e.now) {
			continue
		}
		if r.first == 0 {
			r.first = e.now
		}
		if r.ticket != nil {
			r.ticket.AddTokens(f.StepsPerPass)
		}
		if r.left--; r.left > 0 {
			kept = append(kept, r)
			continue
		}
		r.last = e.now
		done = append(done, r)
	}
	e.running = kept
	return done
}

// event is something that happens at a time.
type event struct {
	at    time.Duration
	apply func()
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

// strategy returns the engine for a request, -1 to refuse it, and is told when
// one ended.
type strategy struct {
	place func(now time.Duration, r *request) int
	ended func(now time.Duration, r *request)
	tick  func(now time.Duration)
}

// outcome is what callers got.
type outcome struct {
	onTime, late, refused float64 // shares
	largeOnTime           float64 // of the largest tenth
}

func (z size) replay(load []*request, p strategy) outcome {
	var todo events
	engines := make([]*engine, z.engines)
	var run func(e *engine)
	run = func(e *engine) {
		for _, r := range e.pass() {
			heap.Push(&todo, event{e.now, func() { p.ended(r.last, r) }})
		}
		heap.Push(&todo, event{e.now, func() {
			if len(e.running)+len(e.queued) > 0 {
				run(e)
			} else {
				e.now = -1
			}
		}})
	}
	for i := range engines {
		engines[i] = &engine{now: -1}
	}
	for _, r := range load {
		heap.Push(&todo, event{r.at, func() {
			r.left = max(1, r.answer/figures().StepsPerPass)
			at := p.place(r.at, r)
			if at < 0 {
				return
			}
			e := engines[at]
			e.queued = append(e.queued, r)
			if e.now < 0 {
				e.now = r.at
				run(e)
			}
		}})
	}
	for t := time.Duration(0); t < replayFor; t += z.hear {
		heap.Push(&todo, event{t, func() { p.tick(t) }})
	}
	for todo.Len() > 0 {
		heap.Pop(&todo).(event).apply()
	}
	return judge(load)
}

func judge(load []*request) outcome {
	var o outcome
	const large = 2200 // prompt tokens, about the largest tenth
	var larges, largesOnTime float64
	for _, r := range load {
		onTime := r.first > 0 && r.first-r.at <= aim
		switch {
		case r.first == 0:
			o.refused++
		case onTime:
			o.onTime++
		default:
			o.late++
		}
		if r.prompt > large {
			larges++
			if onTime {
				largesOnTime++
			}
		}
	}
	n := float64(len(load))
	return outcome{o.onTime / n, o.late / n, o.refused / n, largesOnTime / larges}
}

// byBoards places with one Board an entry.
func (z size) byBoards(off policy.Disabled) strategy {
	boards := make([]*placement.Balancer, z.entries)
	index := map[fleet.InstanceID]int{}
	told := make([]uint64, z.entries)
	for i := range boards {
		boards[i] = placement.New(rand.New(rand.NewPCG(uint64(i), 9)), off)
		boards[i].SetSelf(fleet.InstanceID(fmt.Sprintf("entry-%d", i)), fleet.Place{Zone: "a", Region: "r"})
		boards[i].SetServers(start, servers(z.engines))
	}
	for i := range z.engines {
		index[id(i)] = i
	}
	return strategy{
		place: func(now time.Duration, r *request) int {
			a := ask()
			a.PromptTokens, a.OutputTokens = r.prompt, r.answer
			t, _ := boards[r.entry].Choose(start.Add(now), a)
			if t == nil {
				return -1
			}
			r.ticket = t
			return index[t.Server.ID]
		},
		ended: func(now time.Duration, r *request) { r.ticket.End(start.Add(now), placement.Succeeded) },
		tick: func(now time.Duration) {
			for i, from := range boards {
				var changed []placement.Load
				changed, told[i] = from.LoadsSince(told[i])
				for j, b := range boards {
					if i != j {
						b.UpdateEntryLoads(start.Add(now), fleet.InstanceID(fmt.Sprintf("entry-%d", i)), changed)
					}
				}
			}
		},
	}
}

// byRoundRobin sends the requests of each entry to the engines in turn.
func (z size) byRoundRobin() strategy {
	next := make([]int, z.entries)
	return strategy{
		place: func(_ time.Duration, r *request) int {
			next[r.entry]++
			return (next[r.entry] + 2*r.entry) % z.engines
		},
		ended: func(time.Duration, *request) {},
		tick:  func(time.Duration) {},
	}
}

// byFixedCap sends to the engine with the fewest own requests, at most so many.
func (z size) byFixedCap(most int) strategy {
	own := make([][]int, z.entries)
	for i := range own {
		own[i] = make([]int, z.engines)
	}
	where := map[*request]int{}
	return strategy{
		place: func(_ time.Duration, r *request) int {
			best := 0
			for i := range z.engines {
				if own[r.entry][i] < own[r.entry][best] {
					best = i
				}
			}
			if own[r.entry][best] >= most {
				return -1
			}
			own[r.entry][best]++
			where[r] = best
			return best
		},
		ended: func(_ time.Duration, r *request) { own[r.entry][where[r]]-- },
		tick:  func(time.Duration) {},
	}
}

var _ = Describe("Replayed load", func() {
	// Eight engines serve about 85 requests a second of this mix.
	// slots / entries is 4: the cap that fits a fair share of the places.
	report := func(name string, o outcome) {
		GinkgoWriter.Printf("%-12s on time %.3f late %.3f refused %.3f large on time %.3f\n",
			name, o.onTime, o.late, o.refused, o.largeOnTime)
	}

	const even, uneven = 0.25, 0.6

	It("is served on time below the engines' capacity", func() {
		o := fleet8.replay(fleet8.trace(60, even), fleet8.byBoards(policy.Disabled{}))
		report("boards", o)
		Expect(o.onTime).To(BeNumerically(">", 0.97))
	})

	// A burst beyond capacity lasts. Round robin queues everything, and soon all
	// of it is late. A cap at the fair share of the places is the best that a cap
	// can be here, where all entries get the same.
	It("keeps its capacity on time under overload", func() {
		const overload = 120
		boards := fleet8.replay(fleet8.trace(overload, even), fleet8.byBoards(policy.Disabled{}))
		robin := fleet8.replay(fleet8.trace(overload, even), fleet8.byRoundRobin())
		capped := fleet8.replay(fleet8.trace(overload, even), fleet8.byFixedCap(4))
		report("boards", boards)
		report("round robin", robin)
		report("cap of 4", capped)
		Expect(boards.late).To(BeNumerically("<", 0.1))
		Expect(boards.onTime).To(BeNumerically(">", 5*robin.onTime))
		Expect(boards.onTime).To(BeNumerically(">", 0.95*capped.onTime))
	})

	// Callers choose entries at random, and one gets more than half of them. The
	// cap that was right for even shares then refuses while places are free; a
	// wider one fills the engines as round robin does.
	It("uses all places when one entry gets most of the requests, which no cap does", func() {
		const nearCapacity = 80
		boards := fleet8.replay(fleet8.trace(nearCapacity, uneven), fleet8.byBoards(policy.Disabled{}))
		narrow := fleet8.replay(fleet8.trace(nearCapacity, uneven), fleet8.byFixedCap(4))
		wide := fleet8.replay(fleet8.trace(nearCapacity, uneven), fleet8.byFixedCap(12))
		report("boards", boards)
		report("cap of 4", narrow)
		report("cap of 12", wide)
		Expect(boards.onTime).To(BeNumerically(">", narrow.onTime+0.1))
		Expect(boards.onTime).To(BeNumerically(">", wide.onTime))
		Expect(fleet8.replay(fleet8.trace(120, even), fleet8.byFixedCap(12)).onTime).To(BeNumerically("<", 0.5))
	})

	// Ten entries before 30 engines, at 1.4 times what these can serve. Each place that
	// falls free was taken by several entries, and calls waited behind one another.
	It("fills each place that falls free once, where entries hear of it late", func() {
		region := size{engines: 30, entries: 10, hear: 50 * ms}
		const overload, even = 450, 0.1
		left := region.replay(region.trace(overload, even), region.byBoards(policy.Disabled{}))
		found := region.replay(region.trace(overload, even), region.byBoards(policy.Disabled{LeaveFreed: true}))
		report("left", left)
		report("found", found)
		Expect(left.late).To(BeNumerically("<", 0.1))
		Expect(left.onTime).To(BeNumerically(">", found.onTime+0.15))
	})

	It("does not starve the largest requests under overload", func() {
		o := fleet8.replay(fleet8.trace(120, even), fleet8.byBoards(policy.Disabled{}))
		report("boards", o)
		Expect(o.largeOnTime).To(BeNumerically(">", o.onTime/2))
	})

	// 24 entries before 24 engines that are nearly full. They hear of each other's
	// choices every 150 ms; until then each free place is found by all of them, and
	// what is placed there too many waits for longer than was predicted.
	It("uses engines well that few entries prefer, where many hear each other late", func() {
		many := size{engines: 24, entries: 24, hear: 150 * ms}
		const nearCapacity, even = 210, 1.0 / 24
		own := many.replay(many.trace(nearCapacity, even), many.byBoards(policy.Disabled{}))
		all := many.replay(many.trace(nearCapacity, even), many.byBoards(policy.Disabled{OwnEngines: true}))
		report("own", own)
		report("all", all)
		Expect(own.onTime).To(BeNumerically(">", all.onTime+0.02))
	})
})
