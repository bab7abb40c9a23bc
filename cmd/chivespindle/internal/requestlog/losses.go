package requestlog

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// eventCallResults is the line in which entries account for calls.
const eventCallResults = "call_results"

// onTime is the result of a call that was served as its route wants.
const onTime = "on_time"

// Loss is what became of some calls.
type Loss struct {
	Result string `json:"result"`
	Calls  int    `json:"calls"`
	// ExcessMS is by how much the first events came later than predicted, in the
	// mean of these calls.
	ExcessMS int64 `json:"excess_ms"`
}

// Window is the account of a while.
type Window struct {
	From   time.Time `json:"from"`
	Calls  int       `json:"calls"`
	OnTime int       `json:"on_time"`
	// Losses are the other results, the most frequent first.
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

// counts are calls by result.
type counts struct{ results map[string]*resultCount }

type resultCount struct {
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
	if line.Event != eventCallResults {
		return
	}
	at := line.At.Add(-line.Duration("span") / 2).Truncate(a.every)
	countIn(a.windows, at).add(line)
	countIn(a.routes, line.Text("route")).add(line)
}

func countIn[K comparable](all map[K]*counts, key K) *counts {
	if all[key] == nil {
		all[key] = &counts{results: make(map[string]*resultCount)}
	}
	return all[key]
}

func (c *counts) add(line Line) {
	result := line.Text("result")
	if c.results[result] == nil {
		c.results[result] = &resultCount{}
	}
	calls := line.Int("calls")
	c.results[result].calls += calls
	c.results[result].excess += time.Duration(calls) * line.Duration("excess")
}

// sum returns all calls, those on time, and the others by result.
func (c *counts) sum() (calls, timely int, losses []Loss) {
	for result, n := range c.results {
		calls += n.calls
		if result == onTime {
			timely = n.calls
			continue
		}
		losses = append(losses, Loss{Result: result, Calls: n.calls, ExcessMS: (n.excess / time.Duration(max(1, n.calls))).Milliseconds()})
	}
	slices.SortFunc(losses, func(x, y Loss) int {
		return cmp.Or(cmp.Compare(y.Calls, x.Calls), strings.Compare(x.Result, y.Result))
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
