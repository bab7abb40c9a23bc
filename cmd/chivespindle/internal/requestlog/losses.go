package requestlog

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// eventCallResults is the event in which entries log the results of calls.
const eventCallResults = "call_results"

// resultOnTime is the result of a call that was served as its route requires.
const resultOnTime = "on_time"

// Loss counts the calls with one result other than on time.
type Loss struct {
	Result string `json:"result"`
	Calls  int    `json:"calls"`
	// ExcessMS is by how much the first events were later than predicted, as
	// the mean of these calls.
	ExcessMS int64 `json:"excess_ms"`
}

// Window holds the results in one window of time.
type Window struct {
	From   time.Time `json:"from"`
	Calls  int       `json:"calls"`
	OnTime int       `json:"on_time"`
	// Losses are the other results, most frequent first.
	Losses []Loss `json:"losses"`
}

// RouteLosses holds the results of one route.
type RouteLosses struct {
	Route  string `json:"route"`
	Calls  int    `json:"calls"`
	OnTime int    `json:"on_time"`
	Losses []Loss `json:"losses"`
}

// ResultCounter sums the results of calls, which entries log every second.
type ResultCounter struct {
	window  time.Duration
	windows map[time.Time]*resultCounts
	routes  map[string]*resultCounts
}

// resultCounts counts calls by result.
type resultCounts struct{ results map[string]*resultCount }

type resultCount struct {
	calls       int
	totalExcess time.Duration // sum over the calls
}

// NewResultCounter returns an empty counter for windows of the given length.
func NewResultCounter(window time.Duration) *ResultCounter {
	return &ResultCounter{window: window, windows: make(map[time.Time]*resultCounts), routes: make(map[string]*resultCounts)}
}

// Add counts a line; lines of other events are ignored. A line reports on the
// time span before it, which is counted in the window of its middle.
func (a *ResultCounter) Add(line Line) {
	if line.Event != eventCallResults {
		return
	}
	start := line.At.Add(-line.Duration("span") / 2).Truncate(a.window)
	countsOf(a.windows, start).add(line)
	countsOf(a.routes, line.Value("route")).add(line)
}

func countsOf[K comparable](all map[K]*resultCounts, key K) *resultCounts {
	if all[key] == nil {
		all[key] = &resultCounts{results: make(map[string]*resultCount)}
	}
	return all[key]
}

func (c *resultCounts) add(line Line) {
	result := line.Value("result")
	if c.results[result] == nil {
		c.results[result] = &resultCount{}
	}
	calls := line.Int("calls")
	c.results[result].calls += calls
	c.results[result].totalExcess += time.Duration(calls) * line.Duration("excess")
}

// sum returns the number of all calls and of those on time, and the others by
// result.
func (c *resultCounts) sum() (calls, onTime int, losses []Loss) {
	for result, n := range c.results {
		calls += n.calls
		if result == resultOnTime {
			onTime = n.calls
			continue
		}
		losses = append(losses, Loss{Result: result, Calls: n.calls, ExcessMS: (n.totalExcess / time.Duration(max(1, n.calls))).Milliseconds()})
	}
	slices.SortFunc(losses, func(x, y Loss) int {
		return cmp.Or(cmp.Compare(y.Calls, x.Calls), strings.Compare(x.Result, y.Result))
	})
	return calls, onTime, losses
}

// Windows returns the results by time.
func (a *ResultCounter) Windows() []Window {
	var all []Window
	for from, c := range a.windows {
		w := Window{From: from}
		w.Calls, w.OnTime, w.Losses = c.sum()
		all = append(all, w)
	}
	slices.SortFunc(all, func(x, y Window) int { return x.From.Compare(y.From) })
	return all
}

// Routes returns the results by route, the one with the most losses first.
func (a *ResultCounter) Routes() []RouteLosses {
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
