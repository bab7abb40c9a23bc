package slopes

import (
	"fmt"
	"time"

	"chivespindle.example/core/revision"
)

// The capacity target of the operators, to be met in two years.
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

// Budgets of a node for control tasks, and of the platform for all readers.
const (
	CPUBudget        = 11.0     // ms of processor time per second: 1.1% of a core
	MemoryBudget     = 64e6     // bytes
	TrafficBudget    = 23_000.0 // bytes per second, sent and received
	PlatformBudget   = 2000.0   // calls per second
	ActivationBudget = 4000.0   // ms until a change is active everywhere
)

// Intervals of the daemon. They match daemon/node and the settings.
const (
	listInterval   = 2 * time.Second  // between a watcher's reads of the list
	slowReadFactor = 15               // times listInterval for the others
	watchWait      = 30 * time.Second // length of an idle watch
	secondsADay    = 24 * 60 * 60
)

// Calls is the rate of platform calls of all processes, per second.
type Calls struct {
	List    float64 // reads of the instance list
	Reads   float64 // infrequent reads of the configuration by non-watchers
	Watches float64 // watches that end without a change
	Changes float64 // watches that end with a change and are restarted
}

// Sum returns the rate of all calls.
func (c Calls) Sum() float64 { return c.List + c.Reads + c.Watches + c.Changes }

// CallsOf calculates the calls of a fleet in the given number of availability
// zones with changesPerDay changes of the configuration.
func CallsOf(processes, zones int, changesPerDay float64) Calls {
	watchers := min(processes, zones*revision.DefaultWatchers)
	others := float64(processes - watchers)
	return Calls{
		List:    float64(watchers)/listInterval.Seconds() + others/(slowReadFactor*listInterval.Seconds()),
		Reads:   others / revision.DefaultReadMean.Seconds(),
		Watches: float64(watchers) / watchWait.Seconds(),
		Changes: float64(watchers) * changesPerDay / secondsADay,
	}
}

// ListChangesPerDay returns how often the instance list changes per day: each
// replaced or failed instance is announced, removed and replaced by another.
func ListChangesPerDay(replaced, failed int) float64 {
	const changesEach = 3
	return changesEach * float64(replaced+failed)
}

// ListTraffic returns the bytes per second that a reader of the instance list
// receives: the complete body at each read that finds a change, with evenly
// spaced changes.
func ListTraffic(bodyBytes float64, every time.Duration, changesPerDay float64) float64 {
	readsPerDay := secondsADay / every.Seconds()
	return bodyBytes * min(readsPerDay, changesPerDay) / secondsADay
}

// Shares is the load of one node at the target's peak.
type Shares struct {
	Requests, Tokens float64 // per second
	// Streams is the number of requests in flight: each lasts as long as the
	// generation of its tokens.
	Streams float64
}

// SharesOf divides the peak load among nodes.
func SharesOf(nodes int) Shares {
	tokensEach := float64(TokensPerSecond) / RequestsPerSecond
	lasts := tokensEach * TokenTime.Seconds()
	return Shares{
		Requests: float64(RequestsPerSecond) / float64(nodes),
		Tokens:   float64(TokensPerSecond) / float64(nodes),
		Streams:  RequestsPerSecond * lasts / float64(nodes),
	}
}

// PlatformFigures returns the platform calls and the traffic of the instance
// list at the target. listBody is the size of the list's body in bytes.
func PlatformFigures(listBody float64) []Figure {
	calls := CallsOf(Processes, Zones, ChangesPerDay)
	changes := ListChangesPerDay(ReplacedPerDay, FailuresPerDay)
	return []Figure{
		{Name: "platform_calls", Unit: "calls/s", At: calls.Sum(), Budget: PlatformBudget,
			How: fmt.Sprintf("list:%.1f+reads:%.1f+watches:%.1f+changes:%.1f", calls.List, calls.Reads, calls.Watches, calls.Changes)},
		{Name: "list_traffic", Unit: "B/s", At: ListTraffic(listBody, slowReadFactor*listInterval, changes), Budget: TrafficBudget,
			How: fmt.Sprintf("%.0fB*%.0fchanges/%ds", listBody, changes, secondsADay)},
	}
}
