package requestlog

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// eventOutcomes is the line in which entries account for calls.
const eventOutcomes = "outcomes"

// onTime is the fate of a call that was served as its route wants.
const onTime = "on_time"

// Loss is what became of some calls.
type Loss struct {
	Fate  string `json:"fate"`
	Calls int    `json:"calls"`
	// ExcessMS is by how much the first events came later than predicted, in the
	// mean of these calls.
	ExcessMS int64 `json:"excess_ms"`
}

// Window is the account of a while.
type Window struct {
	From   time.Time `json:"from"`
	Calls  int       `json:"calls"`
	OnTime int       `json:"on_time"`
	// Losses are the other fates, the most frequent first.
	Losses []Loss `json:"losses"`
}

// RouteLosses is the account of a route.
type RouteLosses struct {
	Route  string `json:"route"`
	Calls  int    `json:"calls"`
	OnTime int    `json:"on_time"`
	Losses []Loss `json:"losses"`
}

// Account adds up what became of calls, as entries told it every second.
type Account struct {
	every   time.Duration
	windows map[time.Time]*counts
	routes  map[string]*counts
}

// counts are calls by fate.
type counts struct{ fates map[string]*fateCount }

type fateCount struct {
	calls  int
	excess time.Duration // sum over the calls
}

// NewAccount returns an empty account with windows of a length.
func NewAccount(every time.Duration) *Account {
	return &Account{every: every, windows: make(map[time.Time]*counts), routes: make(map[string]*counts)}
}

// Take adds a line; others than of accounts are passed over. A line tells of
// the while before it, which counts in the window of its middle.
func (a *Account) Take(line Line) {
	if line.Event != eventOutcomes {
		return
	}
	at := line.At.Add(-line.Duration("span") / 2).Truncate(a.every)
	countIn(a.windows, at).add(line)
	countIn(a.routes, line.Text("route")).add(line)
}

func countIn[K comparable](all map[K]*counts, key K) *counts {
	if all[key] == nil {
		all[key] = &counts{fates: make(map[string]*fateCount)}
	}
	return all[key]
}

func (c *counts) add(line Line) {
	fate := line.Text("fate")
	if c.fates[fate] == nil {
		c.fates[fate] = &fateCount{}
	}
	calls := line.Int("calls")
	c.fates[fate].calls += calls
	c.fates[fate].excess += time.Duration(calls) * line.Duration("excess")
}

// sum returns all calls, those on time, and the others by fate.
func (c *counts) sum() (calls, timely int, losses []Loss) {
	for fate, n := range c.fates {
		calls += n.calls
		if fate == onTime {
			timely = n.calls
			continue
		}
		losses = append(losses, Loss{Fate: fate, Calls: n.calls, ExcessMS: (n.excess / time.Duration(max(1, n.calls))).Milliseconds()})
	}
	slices.SortFunc(losses, func(x, y Loss) int {
		return cmp.Or(cmp.Compare(y.Calls, x.Calls), strings.Compare(x.Fate, y.Fate))
	})
	return calls, timely, losses
}

// Windows returns the account by time.
func (a *Account) Windows() []Window {
	var all []Window
	for from, c := range a.windows {
		w := Window{From: from}
		w.Calls, w.OnTime, w.Losses = c.sum()
		all = append(all, w)
	}
	slices.SortFunc(all, func(x, y Window) int { return x.From.Compare(y.From) })
	return all
}

// Routes returns the account by route, the one that lost most first.
func (a *Account) Routes() []RouteLosses {
	var all []RouteLosses
	for route, c := range a.routes {
		r := RouteLosses{Route: route}
		r.Calls, r.OnTime, r.Losses = c.sum()
		all = append(all, r)
	}
	slices.SortFunc(all, func(x, y RouteLosses) int {
		return cmp.Or(cmp.Compare(y.Calls-y.OnTime, x.Calls-x.OnTime), strings.Compare(x.Route, y.Route))
	})
	return all
}
