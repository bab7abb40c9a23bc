package slopes

import (
	"fmt"
	"os"
	"sync"
	"time"

	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
)

const (
	// settleTime is how long processes run before they are measured. In its
	// first ten seconds each reads the instance list as often as a watcher.
	settleTime = 14 * time.Second
	// longestSettle bounds the wait for what takes longer, calmTime follows it.
	longestSettle = 40 * time.Second
	calmTime      = 3 * time.Second
	pollEvery     = 100 * time.Millisecond
	// quietTime and burstWindow are how long they are measured.
	quietTime   = 8 * time.Second
	burstWindow = 5 * time.Second
	// burstChanges is how many processes' states a node hears change in a
	// second of a burst: of BurstInstances in burstTime, four states each in
	// its own zone and two elsewhere, rounded up.
	burstChanges = 5
)

// environment gives the programs the settings that the harness shortens for
// tests, as a fleet has them.
var environment = map[string]string{
	"CHIVESPINDLE_PLATFORM_LIST_EVERY": listEvery.String(),
	"CHIVESPINDLE_PLATFORM_WATCH_WAIT": watchWait.String(),
}

func setEnvironment() error {
	for name, value := range environment {
		if err := os.Setenv(name, value); err != nil {
			return failure.Internal.Wrap(err, "set %s", name)
		}
	}
	return nil
}

// crowdSpecs are the processes measured in large made-up fleets. All run at
// the same time.
func crowdSpecs() []crowdSpec {
	var specs []crowdSpec
	for _, n := range fleetSizes {
		specs = append(specs,
			crowdSpec{Role: fleet.RoleEntry, Fleet: n, Services: 1},
			crowdSpec{Role: fleet.RoleAgent, Fleet: n, Services: 1, Subscribers: subscriberCounts[0]})
	}
	for _, services := range serviceCounts[1:] {
		specs = append(specs, crowdSpec{Role: fleet.RoleEntry, Fleet: Processes, Services: services})
	}
	for _, subscribers := range subscriberCounts {
		specs = append(specs, crowdSpec{Role: fleet.RoleAgent, Fleet: Processes, Services: manyServices, Subscribers: subscribers})
	}
	return specs
}

// manyServices is how many there are if each has BurstInstances replicas.
const manyServices = (Servers + BurstInstances - 1) / BurstInstances

var (
	serviceCounts = []int{1, 3, manyServices}
	// subscriberCounts are the entries that follow an agent: of a service of
	// all servers, of one of BurstInstances, of one of a hundred, and of a
	// service so small that every entry follows all of it.
	subscriberCounts = []int{4, 26, 100, Entries}
)

// outcome is what one crowd cost.
type outcome struct {
	spec         crowdSpec
	followed     int
	quiet, burst cost
}

// Programs measures programs: small fleets of them that talk to each other, and
// single ones in made-up fleets up to the target's size. daemon is the path of
// chivespindled.
func Programs(daemon string) ([]Slope, error) {
	if err := setEnvironment(); err != nil {
		return nil, err
	}
	fleets, err := startAll(idleSizes, func(n int) (*idleFleet, error) { return newIdleFleet(daemon, n) })
	defer closeAll(fleets, (*idleFleet).close)
	if err != nil {
		return nil, err
	}
	crowds, err := startAll(crowdSpecs(), func(s crowdSpec) (*crowd, error) { return newCrowd(daemon, s) })
	defer closeAll(crowds, (*crowd).close)
	if err != nil {
		return nil, err
	}
	if err := settle(fleets, crowds); err != nil {
		return nil, err
	}
	return observe(fleets, crowds)
}

// startAll starts one of each spec, all at a time. On a failure it returns
// those that did start.
func startAll[S any, T any](specs []S, start func(S) (*T, error)) ([]*T, error) {
	made := make([]*T, len(specs))
	failures := make([]error, len(specs))
	var started sync.WaitGroup
	for i, spec := range specs {
		started.Go(func() { made[i], failures[i] = start(spec) })
	}
	started.Wait()
	var running []*T
	var failed error
	for i, one := range made {
		if failures[i] != nil {
			failed = failures[i]
			continue
		}
		running = append(running, one)
	}
	return running, failed
}

func closeAll[T any](running []*T, end func(*T)) {
	for _, one := range running {
		end(one)
	}
}

// settle waits until all fleets are at work, settleTime at least.
func settle(fleets []*idleFleet, crowds []*crowd) error {
	started := time.Now()
	time.Sleep(settleTime)
	for _, f := range fleets {
		if err := f.ready(); err != nil {
			return err
		}
	}
	for _, c := range crowds {
		for !c.ready() {
			if time.Since(started) > longestSettle {
				return failure.Timeout.New("not at work after %s: %+v with %d of %d reports",
					longestSettle, c.spec, c.following.Load(), c.followed+c.spec.Subscribers)
			}
			time.Sleep(pollEvery)
		}
	}
	time.Sleep(calmTime)
	return nil
}

// observe measures a quiet time, and one with changes in the made-up fleets.
func observe(fleets []*idleFleet, crowds []*crowd) ([]Slope, error) {
	before, err := readFleets(fleets)
	if err != nil {
		return nil, err
	}
	quiet, err := window(crowds, quietTime)
	if err != nil {
		return nil, err
	}
	after, err := readFleets(fleets)
	if err != nil {
		return nil, err
	}
	for _, c := range crowds {
		c.change(burstChanges)
	}
	burst, err := window(crowds, burstWindow)
	if err != nil {
		return nil, err
	}
	var costs []idleCost
	for i, n := range idleSizes {
		costs = append(costs, after[i].since(before[i], n))
	}
	var outcomes []outcome
	for i, c := range crowds {
		outcomes = append(outcomes, outcome{spec: c.spec, followed: c.followed, quiet: quiet[i], burst: burst[i]})
	}
	return append(idleSlopes(costs), crowdSlopes(outcomes)...), nil
}

func readFleets(fleets []*idleFleet) ([]idleReading, error) {
	var readings []idleReading
	for _, f := range fleets {
		r, err := f.read()
		if err != nil {
			return nil, err
		}
		readings = append(readings, r)
	}
	return readings, nil
}

func window(crowds []*crowd, length time.Duration) ([]cost, error) {
	before := make([]reading, len(crowds))
	for i, c := range crowds {
		var err error
		if before[i], err = c.read(); err != nil {
			return nil, err
		}
	}
	time.Sleep(length)
	costs := make([]cost, len(crowds))
	for i, c := range crowds {
		after, err := c.read()
		if err != nil {
			return nil, err
		}
		costs[i] = after.since(before[i])
	}
	return costs, nil
}

// series picks the outcomes of one slope and names its sizes. The target of
// servers that an entry follows is what came out for manyServices.
type series struct {
	name, of string
	target   float64
	size     func(outcome) (size int, belongs bool)
}

func allSeries(outcomes []outcome) []series {
	followed := 0
	for _, o := range outcomes {
		followed = max(followed, o.followed)
	}
	return []series{
		{"entry", "fleet_processes", Processes, func(o outcome) (int, bool) {
			return o.spec.Fleet, o.spec.Role == fleet.RoleEntry && o.spec.Services == 1
		}},
		{"entry", "servers_followed", float64(followed), func(o outcome) (int, bool) {
			return o.followed, o.spec.Role == fleet.RoleEntry && o.spec.Fleet == Processes
		}},
		{"agent", "fleet_processes", Processes, func(o outcome) (int, bool) {
			return o.spec.Fleet, o.spec.Role == fleet.RoleAgent && o.spec.Services == 1
		}},
		{"agent", "entries_following", Entries, func(o outcome) (int, bool) {
			return o.spec.Subscribers, o.spec.Role == fleet.RoleAgent && o.spec.Services == manyServices
		}},
	}
}

// crowdSlopes arranges the outcomes.
func crowdSlopes(outcomes []outcome) []Slope {
	parts := []struct {
		name, unit string
		budget     float64
		value      func(outcome) float64
	}{
		{"cpu", "ms/s", CPUBudget, func(o outcome) float64 { return o.quiet.CPU }},
		{"cpu_burst", "ms/s", CPUBudget, func(o outcome) float64 { return o.burst.CPU }},
		{"bytes", "B/s", TrafficBudget, func(o outcome) float64 { return o.quiet.Bytes }},
		{"bytes_burst", "B/s", TrafficBudget, func(o outcome) float64 { return o.burst.Bytes }},
		{"rss", "B", MemoryBudget, func(o outcome) float64 { return o.quiet.RSS }},
	}
	var slopes []Slope
	for _, s := range allSeries(outcomes) {
		for _, part := range parts {
			slope := Slope{Name: fmt.Sprintf("%s_%s", s.name, part.name), Of: s.of, Unit: part.unit, Target: s.target, Budget: part.budget}
			for _, o := range outcomes {
				if size, belongs := s.size(o); belongs {
					slope.Points = append(slope.Points, Point{float64(size), part.value(o)})
				}
			}
			slopes = append(slopes, slope)
		}
	}
	return slopes
}
