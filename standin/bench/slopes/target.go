package slopes

import (
	"fmt"
	"time"

	"chivespindle.example/core/revision"
)

// The target of the operators: what the system has to carry in two years.
const (
	Entries           = 410
	Servers           = 3500
	Processes         = Entries + Servers
	Zones             = 9
	Regions           = 3
	ZoneProcesses     = Processes / Zones // 434
	RequestsPerSecond = 7800
	TokensPerSecond   = 3_200_000
	ChangesPerDay     = 7700
	BurstInstances    = 390
	FailuresPerDay    = 26
	ReplacedPerDay    = 410
	TokenTime         = 43 * time.Millisecond
)

// Budgets of a node for control, and of the platform for all readers.
const (
	CPUBudget      = 11.0     // ms of a core a second: 1.1%
	MemoryBudget   = 64e6     // bytes
	TrafficBudget  = 23_000.0 // bytes a second, sent and received
	PlatformBudget = 2000.0   // calls a second
	InForceBudget  = 4000.0   // ms until a change is in force everywhere
)

// Intervals of the daemon, as daemon/node and the settings have them.
const (
	listEvery   = 2 * time.Second  // a watcher's reads of the list
	rareFactor  = 15               // times listEvery for the others
	watchWait   = 30 * time.Second // an idle watch
	secondsADay = 24 * 60 * 60
)

// Calls is what the processes ask of the platform in a second.
type Calls struct {
	List    float64 // reads of the instance list
	Reads   float64 // own rare reads of the text
	Watches float64 // watches that end without a change
	Changes float64 // watches that a change ends, each begun again
}

// Sum is what the platform counts.
func (c Calls) Sum() float64 { return c.List + c.Reads + c.Watches + c.Changes }

// CallsOf works out the calls of a fleet of processes in zones availability
// zones with changesPerDay changes of the text.
func CallsOf(processes, zones int, changesPerDay float64) Calls {
	watchers := min(processes, zones*revision.DefaultWatchers)
	others := float64(processes - watchers)
	return Calls{
		List:    float64(watchers)/listEvery.Seconds() + others/(rareFactor*listEvery.Seconds()),
		Reads:   others / revision.DefaultReadMean.Seconds(),
		Watches: float64(watchers) / watchWait.Seconds(),
		Changes: float64(watchers) * changesPerDay / secondsADay,
	}
}

// ListChangesPerDay is how often the instance list changes: each replaced or
// failed instance is announced, removed and followed by another.
func ListChangesPerDay(replaced, failed int) float64 {
	const changesEach = 3
	return changesEach * float64(replaced+failed)
}

// ListTraffic is the bytes a second that a reader of the list draws: the whole
// body at each read that finds a change, and changes evenly spread.
func ListTraffic(bodyBytes float64, every time.Duration, changesPerDay float64) float64 {
	readsPerDay := secondsADay / every.Seconds()
	return bodyBytes * min(readsPerDay, changesPerDay) / secondsADay
}

// Shares of the load that one node carries at the target's peak.
type Shares struct {
	Requests, Tokens float64 // a second
	// Streams is the requests that run at once: each lasts as long as its
	// tokens take.
	Streams float64
}

// SharesOf splits the peak over nodes.
func SharesOf(nodes int) Shares {
	tokensEach := float64(TokensPerSecond) / RequestsPerSecond
	lasts := tokensEach * TokenTime.Seconds()
	return Shares{
		Requests: float64(RequestsPerSecond) / float64(nodes),
		Tokens:   float64(TokensPerSecond) / float64(nodes),
		Streams:  RequestsPerSecond * lasts / float64(nodes),
	}
}

// PlatformFigures are the calls and the list's bytes at the target.
func PlatformFigures(listBody float64) []Figure {
	calls := CallsOf(Processes, Zones, ChangesPerDay)
	changes := ListChangesPerDay(ReplacedPerDay, FailuresPerDay)
	return []Figure{
		{Name: "platform_calls", Unit: "calls/s", At: calls.Sum(), Budget: PlatformBudget,
			How: fmt.Sprintf("list:%.1f+reads:%.1f+watches:%.1f+changes:%.1f", calls.List, calls.Reads, calls.Watches, calls.Changes)},
		{Name: "list_traffic", Unit: "B/s", At: ListTraffic(listBody, rareFactor*listEvery, changes), Budget: TrafficBudget,
			How: fmt.Sprintf("%.0fB*%.0fchanges/%ds", listBody, changes, secondsADay)},
	}
}
