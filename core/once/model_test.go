package once_test

import (
	"fmt"
	"math/bits"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/once"
)

// world is a fleet of homes and everything that is on its way to them. Asks
// are delivered late, twice, in any order and to any home, which covers what
// entries, links and callers can do wrong; homes crash and come back empty.
type world struct {
	t     *rapid.T
	now   time.Time
	names []fleet.InstanceID
	homes map[fleet.InstanceID]*home
	lives map[fleet.InstanceID]once.Incarnation
	// lists is the platform's list after each change, the latest last.
	lists []listing

	keys []once.Key
	asks []*ask
	ran  map[string]int    // executions of each key's text
	done map[ask]bool      // key and body that ran
	told map[ask]time.Time // when a caller of key and body was told "not run" last
}

type listing struct {
	at      time.Time
	members []fleet.InstanceID
}

type home struct {
	register *once.Register
	skew     time.Duration // of its clock
	life     once.Incarnation
	working  []*ask // let run, not ended
	cut      bool   // off from the platform
}

// ask is one request of a caller as an entry sends it.
type ask struct {
	key     once.Key
	body    string
	arrived time.Time // at the entry
	passed  bool
	runs    bool // what the backend server will do with it
}

// same names the key and body of an ask.
func (a ask) same() ask { return ask{key: a.key, body: a.body} }

func newWorld(t *rapid.T) *world {
	w := &world{
		t: t, now: start,
		names: []fleet.InstanceID{"s0", "s1", "s2"},
		homes: map[fleet.InstanceID]*home{}, lives: map[fleet.InstanceID]once.Incarnation{},
		ran: map[string]int{}, done: map[ask]bool{}, told: map[ask]time.Time{},
	}
	w.lists = []listing{{at: start.Add(-time.Hour), members: slices.Clone(w.names)}}
	for _, name := range w.names {
		w.boot(name)
	}
	return w
}

func (w *world) intn(label string, n int) int { return evenly(n).Draw(w.t, label) }

// evenly draws from [0, n). rapid's own numbers prefer small ones, so that
// most steps of a run would be the first few in the list.
func evenly(n int) *rapid.Generator[int] {
	return rapid.Custom(func(t *rapid.T) int {
		drawn := 0
		for range bits.Len(uint(n-1)) + 2 {
			drawn *= 2
			if rapid.Bool().Draw(t, "bit") {
				drawn++
			}
		}
		return drawn % n
	})
}

func (w *world) name() fleet.InstanceID { return w.names[w.intn("server", len(w.names))] }

func (w *world) boot(name fleet.InstanceID) {
	w.lives[name]++
	skew := time.Duration(w.intn("skew", 3)-1) * clockSkew / 2
	w.homes[name] = &home{
		register: once.New(optionsOf(name, w.lives[name])),
		skew:     skew,
		life:     w.lives[name],
	}
}

func (w *world) home() (*home, bool) {
	h := w.homes[w.name()]
	return h, h != nil
}

// step is something that may happen, and how often relative to the others.
type step struct {
	often int
	do    func()
}

// run takes many steps drawn from the shared ones and from own, and checks
// the promises after each.
func (w *world) run(own ...step) {
	steps := slices.Concat(own, []step{
		{8, w.ask},
		{8, w.deliver},
		{8, w.pass},
		{4, w.finish},
		{2, w.abandon},
		{1, func() { delete(w.homes, w.name()) }},
		{2, func() {
			if name := w.name(); w.homes[name] == nil {
				w.boot(name)
			}
		}},
	})
	var drawn []int
	for i, s := range steps {
		drawn = append(drawn, slices.Repeat([]int{i}, s.often)...)
	}
	for range w.intn("steps", 120) {
		steps[drawn[w.intn("step", len(drawn))]].do()
		w.check()
	}
}

// wait lets time go on, by little or by about one of the time limits.
func (w *world) wait() {
	limits := []time.Duration{time.Second, 3 * time.Second, settle, keep + settle}
	limit := limits[w.intn("scale", len(limits))]
	w.now = w.now.Add(time.Duration(w.intn("ms", int(limit.Milliseconds()))) * time.Millisecond)
}

func (w *world) ask() {
	if len(w.keys) == 0 {
		return
	}
	w.asks = append(w.asks, &ask{key: w.recentKey(), body: bodies[w.intn("body", len(bodies))], arrived: w.now})
	w.deliver()
}

// recentKey returns one of the six newest keys; older ones are delivered
// again from their asks.
func (w *world) recentKey() once.Key {
	return w.keys[len(w.keys)-1-w.intn("key", min(6, len(w.keys)))]
}

// deliver hands any ask, also one delivered before, to any live home.
func (w *world) deliver() {
	h, ok := w.home()
	if !ok || len(w.asks) == 0 {
		return
	}
	sent := w.asks[len(w.asks)-1-w.intn("ask", len(w.asks))]
	slack := time.Duration(w.intn("slack", 3)) * time.Second
	facts := once.Facts{Asked: sent.arrived.Add(h.skew - slack)}
	verdict := h.register.Begin(w.now.Add(h.skew), sent.key, bodyOf(sent.body), facts)
	switch verdict.Action {
	case once.Run:
		delivered := *sent
		h.working = append(h.working, &delivered)
	case once.Refuse:
		w.tell(*sent, verdict.Outcome)
	}
}

// bodies are mostly the same one: the caller asks again.
var bodies = []string{"order", "order", "order", "another order"}

func (w *world) tell(a ask, outcome failure.Outcome) {
	if outcome != failure.NotRun {
		return
	}
	if w.done[a.same()] {
		w.t.Fatalf("caller told that %s was not run after it ran", a.key.Text)
	}
	w.told[a.same()] = w.now
}

// work returns a home and one of the asks it was let run.
func (w *world) work(passed bool) (*home, *ask) {
	h, ok := w.home()
	if !ok {
		return nil, nil
	}
	for _, a := range h.working {
		if a.passed == passed {
			return h, a
		}
	}
	return nil, nil
}

func (w *world) pass() {
	h, a := w.work(false)
	if h == nil || !h.register.Passed(a.key) {
		return
	}
	a.passed = true
	a.runs = w.intn("runs", 4) > 0
	if !a.runs {
		return
	}
	w.ran[a.key.Text]++
	w.done[a.same()] = true
	if told, ok := w.told[a.same()]; ok && !a.arrived.After(told) {
		w.t.Fatalf("%s ran for an ask from before the caller was told that it was not run", a.key.Text)
	}
}

func (w *world) abandon() {
	h, a := w.work(false)
	if h == nil {
		return
	}
	h.register.Abandon(w.now.Add(h.skew), a.key)
	h.drop(a)
	w.tell(*a, failure.NotRun)
}

func (w *world) finish() {
	h, a := w.work(true)
	if h == nil {
		return
	}
	result := once.Result{Outcome: failure.NotRun}
	if a.runs {
		result.Outcome = failure.Ran
	}
	if w.intn("seen", 3) == 0 {
		result.Outcome = failure.Unknown
	}
	h.register.Finish(w.now.Add(h.skew), a.key, result)
	h.drop(a)
	w.tell(*a, result.Outcome)
}

func (h *home) drop(a *ask) {
	h.working = slices.DeleteFunc(h.working, func(other *ask) bool { return other == a })
}

func (w *world) check() {
	g := NewWithT(w.t)
	for text, n := range w.ran {
		g.Expect(n).To(BeNumerically("<=", 1), "%s ran %d times", text, n)
	}
	for _, h := range w.homes {
		g.Expect(h.register.Len()).To(BeNumerically("<=", maxKeys))
	}
}

// A workshop pays for two mast chains: its order is asked again, held up,
// delivered twice and to the wrong homes, while homes crash, come back empty,
// and hold whatever lists. A key that the system issued runs at most once all
// the same, and a caller told "not run" is told the truth.
func TestIssuedKeyRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		issue := func() {
			name := w.name()
			if w.homes[name] == nil {
				return
			}
			entrySkew := time.Duration(w.intn("entry skew", 20)-10) * time.Second
			made := w.now.Add(entrySkew)
			w.keys = append(w.keys, once.Issue("workshop-7", name, w.homes[name].life, made, uint64(len(w.keys))))
		}
		readAnyList := func() {
			if h, ok := w.home(); ok {
				h.register.SetMembers(w.now.Add(h.skew), w.names[:w.intn("listed", 4)])
			}
		}
		w.run(step{4, issue}, step{1, readAnyList}, step{4, w.wait})
	})
}

// The same for keys that callers chose, under the weaker promise: every list
// in use is at most ListLag older than its reading, the clocks of homes agree
// within ClockSkew, and a key without a date is not asked again later than
// Keep after it was first asked. The dates of keys may be wrong at will.
func TestChosenKeyRunsAtMostOnceWhileListsAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		w.readAll(start.Add(-2*keep), 0)
		w.readAll(start, 0)
		first := map[string]time.Time{}
		choose := func() {
			key := plainKey(fmt.Sprintf("job-card-%d", len(first)))
			if w.intn("dated", 2) == 1 {
				callerSkew := callerSkews[w.intn("caller skew", len(callerSkews))]
				key = datedKey(w.now.Add(callerSkew), uint8(len(first)))
			}
			w.keys = append(w.keys, key)
			first[key.Text] = w.now
		}
		expired := func(key once.Key) bool {
			return key.Kind == once.Plain && w.now.Sub(first[key.Text]) > keep
		}
		cut := func() {
			if h, ok := w.home(); ok {
				h.cut = !h.cut
			}
		}
		w.run(step{4, choose}, step{2, w.change}, step{1, cut}, step{6, func() {
			w.wait()
			w.readAll(w.now, int(listLag.Seconds()))
			w.asks = slices.DeleteFunc(w.asks, func(a *ask) bool { return expired(a.key) })
			w.keys = slices.DeleteFunc(w.keys, expired)
		}})
	})
}

// callerSkews are how wrong the date of a caller's key may be.
var callerSkews = []time.Duration{0, 0, 0, 0, -settle, clockSkew, settle, 2 * settle}

// change adds or removes one member of the platform's list.
func (w *world) change() {
	members := slices.Clone(w.lists[len(w.lists)-1].members)
	name := w.name()
	if i := slices.Index(members, name); i >= 0 {
		members = slices.Delete(members, i, i+1)
	} else {
		members = append(members, name)
	}
	w.lists = append(w.lists, listing{at: w.now, members: members})
}

// readAll gives every home that is not cut off the list as it was at some time
// within maxLag seconds of now.
func (w *world) readAll(now time.Time, maxLag int) {
	for _, name := range w.names {
		h := w.homes[name]
		if h == nil || h.cut {
			continue
		}
		lag := time.Duration(w.intn("lag", maxLag+1)) * time.Second
		seen := w.lists[0]
		for _, l := range w.lists {
			if !l.at.After(now.Add(-lag)) {
				seen = l
			}
		}
		h.register.SetMembers(now.Add(h.skew), seen.members)
	}
}
