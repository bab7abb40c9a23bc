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

// world simulates homes and the requests on their way to them. Requests are delivered
// late, twice, in any order and to any home, which covers the faults of entries, links
// and callers; homes crash and restart without records.
type world struct {
	t            *rapid.T
	now          time.Time
	names        []fleet.InstanceID
	homes        map[fleet.InstanceID]*home
	incarnations map[fleet.InstanceID]once.Incarnation
	// lists holds the platform's list after each change, the latest last.
	lists []listing

	keys       []once.Key
	requests   []*request
	ran        map[string]int        // number of executions by key text
	done       map[request]bool      // keys and bodies that ran
	toldNotRun map[request]time.Time // when a caller of key and body was last told "not run"
}

type listing struct {
	at      time.Time
	members []fleet.InstanceID
}

type home struct {
	register    *once.Register
	skew        time.Duration // offset of its clock
	incarnation once.Incarnation
	running     []*request // Begin returned Run, not ended
	partitioned bool       // cannot read the list from the platform
}

// request is one request of a caller as an entry sends it.
type request struct {
	key       once.Key
	body      string
	arrived   time.Time // at the entry
	forwarded bool
	runs      bool // whether the backend server runs it
}

// identity returns a request with only the key and body of a, for use as a map key.
func (a request) identity() request { return request{key: a.key, body: a.body} }

func newWorld(t *rapid.T) *world {
	w := &world{
		t: t, now: start,
		names: []fleet.InstanceID{"s0", "s1", "s2"},
		homes: map[fleet.InstanceID]*home{}, incarnations: map[fleet.InstanceID]once.Incarnation{},
		ran: map[string]int{}, done: map[request]bool{}, toldNotRun: map[request]time.Time{},
	}
	w.lists = []listing{{at: start.Add(-time.Hour), members: slices.Clone(w.names)}}
	for _, name := range w.names {
		w.startHome(name)
	}
	return w
}

func (w *world) intn(label string, n int) int { return uniform(n).Draw(w.t, label) }

// uniform draws uniformly from [0, n). rapid's integers favour small values, so most
// steps of a run would be the first few of the list.
func uniform(n int) *rapid.Generator[int] {
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

func (w *world) startHome(name fleet.InstanceID) {
	w.incarnations[name]++
	skew := time.Duration(w.intn("skew", 3)-1) * clockSkew / 2
	w.homes[name] = &home{
		register:    once.New(optionsOf(name, w.incarnations[name])),
		skew:        skew,
		incarnation: w.incarnations[name],
	}
}

func (w *world) home() (*home, bool) {
	h := w.homes[w.name()]
	return h, h != nil
}

// step is a possible event and its relative frequency.
type step struct {
	often int
	do    func()
}

// run executes many steps drawn from the common ones and from own, and checks the
// guarantees after each.
func (w *world) run(own ...step) {
	steps := slices.Concat(own, []step{
		{8, w.sendRequest},
		{8, w.deliver},
		{8, w.forward},
		{4, w.finish},
		{2, w.abandon},
		{1, func() { delete(w.homes, w.name()) }},
		{2, func() {
			if name := w.name(); w.homes[name] == nil {
				w.startHome(name)
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

// wait advances the clock, by a little or by about one of the time limits.
func (w *world) wait() {
	limits := []time.Duration{time.Second, 3 * time.Second, settle, keep + settle}
	limit := limits[w.intn("scale", len(limits))]
	w.now = w.now.Add(time.Duration(w.intn("ms", int(limit.Milliseconds()))) * time.Millisecond)
}

func (w *world) sendRequest() {
	if len(w.keys) == 0 {
		return
	}
	w.requests = append(w.requests, &request{key: w.recentKey(), body: bodies[w.intn("body", len(bodies))], arrived: w.now})
	w.deliver()
}

// recentKey returns one of the six newest keys. Older keys recur only through repeated
// delivery of their requests.
func (w *world) recentKey() once.Key {
	return w.keys[len(w.keys)-1-w.intn("key", min(6, len(w.keys)))]
}

// deliver delivers any request, even one delivered before, to any live home.
func (w *world) deliver() {
	h, ok := w.home()
	if !ok || len(w.requests) == 0 {
		return
	}
	sent := w.requests[len(w.requests)-1-w.intn("ask", len(w.requests))]
	slack := time.Duration(w.intn("slack", 3)) * time.Second
	info := once.RequestInfo{ReceivedAt: sent.arrived.Add(h.skew - slack)}
	verdict := h.register.Begin(w.now.Add(h.skew), sent.key, bodyOf(sent.body), info)
	switch verdict.Action {
	case once.Run:
		delivered := *sent
		h.running = append(h.running, &delivered)
	case once.Refuse:
		w.recordResponse(*sent, verdict.Outcome)
	}
}

// bodies contains mostly the same body, since most requests are retries.
var bodies = []string{"order", "order", "order", "another order"}

func (w *world) recordResponse(a request, outcome failure.Outcome) {
	if outcome != failure.NotRun {
		return
	}
	if w.done[a.identity()] {
		w.t.Fatalf("caller told that %s was not run after it ran", a.key.Text)
	}
	w.toldNotRun[a.identity()] = w.now
}

// pickRequest returns a home and one of its requests that may run, either forwarded or
// not.
func (w *world) pickRequest(forwarded bool) (*home, *request) {
	h, ok := w.home()
	if !ok {
		return nil, nil
	}
	for _, a := range h.running {
		if a.forwarded == forwarded {
			return h, a
		}
	}
	return nil, nil
}

func (w *world) forward() {
	h, a := w.pickRequest(false)
	if h == nil || !h.register.MarkForwarded(a.key) {
		return
	}
	a.forwarded = true
	a.runs = w.intn("runs", 4) > 0
	if !a.runs {
		return
	}
	w.ran[a.key.Text]++
	w.done[a.identity()] = true
	if told, ok := w.toldNotRun[a.identity()]; ok && !a.arrived.After(told) {
		w.t.Fatalf("%s ran for a request received before the caller was told that it was not run", a.key.Text)
	}
}

func (w *world) abandon() {
	h, a := w.pickRequest(false)
	if h == nil {
		return
	}
	h.register.Abandon(w.now.Add(h.skew), a.key)
	h.drop(a)
	w.recordResponse(*a, failure.NotRun)
}

func (w *world) finish() {
	h, a := w.pickRequest(true)
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
	w.recordResponse(*a, result.Outcome)
}

func (h *home) drop(a *request) {
	h.running = slices.DeleteFunc(h.running, func(other *request) bool { return other == a })
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

// Guards against a request with an issued key that runs twice, and against a caller
// that is wrongly told "not run". The request is retried, delayed, delivered twice and
// to the wrong homes, while homes crash, restart without records and hold arbitrary
// lists.
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
			w.keys = append(w.keys, once.Issue("workshop-7", name, w.homes[name].incarnation, made, uint64(len(w.keys))))
		}
		readAnyList := func() {
			if h, ok := w.home(); ok {
				h.register.SetMembers(w.now.Add(h.skew), w.names[:w.intn("listed", 4)])
			}
		}
		w.run(step{4, issue}, step{1, readAnyList}, step{4, w.wait})
	})
}

// The same for keys chosen by callers, under a weaker guarantee: every list in use is
// at most ListLag older than its reading, the clocks of homes agree within ClockSkew,
// and a key without a date is not retried later than Keep after its first request. The
// dates of keys may be arbitrarily wrong.
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
				h.partitioned = !h.partitioned
			}
		}
		w.run(step{4, choose}, step{2, w.change}, step{1, cut}, step{6, func() {
			w.wait()
			w.readAll(w.now, int(listLag.Seconds()))
			w.requests = slices.DeleteFunc(w.requests, func(a *request) bool { return expired(a.key) })
			w.keys = slices.DeleteFunc(w.keys, expired)
		}})
	})
}

// callerSkews are the possible errors of the date of a caller's key.
var callerSkews = []time.Duration{0, 0, 0, 0, -settle, clockSkew, settle, 2 * settle}

// change adds one member to the platform's list or removes one.
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

// readAll gives every home that can read the platform the list as it was at a random
// time within maxLag seconds before now.
func (w *world) readAll(now time.Time, maxLag int) {
	for _, name := range w.names {
		h := w.homes[name]
		if h == nil || h.partitioned {
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
