package slopes

import (
	"os"
	"time"

	"golang.org/x/sync/errgroup"

	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
)

const (
	// settleTime is how long processes run before the measurement. In its first
	// ten seconds each process reads the instance list as often as a watcher,
	// and in the largest fleet it takes 16 s to send its records to each
	// neighbour.
	settleTime = 22 * time.Second
	// startTimeout limits the wait until a process has its connections.
	startTimeout = 40 * time.Second
	pollInterval = 100 * time.Millisecond
	// maxConcurrentStarts limits how many processes start at the same time: on
	// a busy machine, processes would otherwise consider their neighbours dead
	// before they have connected to them.
	maxConcurrentStarts = 2
	// quietTime and burstWindow are the lengths of the two measurements.
	quietTime   = 8 * time.Second
	burstWindow = 5 * time.Second
	// burstChanges is the number of state changes that a node receives per
	// second of a burst: of BurstInstances within burstTime, four states each
	// in its own zone and two elsewhere, rounded up.
	burstChanges = 5
)

// environment overrides settings that the harness shortens for tests with the
// values of a production fleet.
var environment = map[string]string{
	"CHIVESPINDLE_PLATFORM_LIST_EVERY": listInterval.String(),
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

// simSpecs returns the processes to measure in simulated fleets. All of them
// run at the same time.
func simSpecs() []simSpec {
	var specs []simSpec
	for _, n := range fleetSizes {
		specs = append(specs,
			simSpec{Role: fleet.RoleEntry, Fleet: n, Services: 1},
			simSpec{Role: fleet.RoleAgent, Fleet: n, Services: 1, Subscribers: subscriberCounts[0]})
	}
	for _, entries := range demandCounts[1:] {
		specs = append(specs, simSpec{Role: fleet.RoleEntry, Fleet: Processes, Services: 1, Subscribers: entries})
	}
	for _, services := range serviceCounts[1:] {
		specs = append(specs, simSpec{Role: fleet.RoleEntry, Fleet: Processes, Services: services})
	}
	for _, subscribers := range subscriberCounts {
		specs = append(specs, simSpec{Role: fleet.RoleAgent, Fleet: Processes, Services: manyServices, Subscribers: subscribers})
	}
	return specs
}

// manyServices is the number of services if each has BurstInstances replicas.
const manyServices = (Servers + BurstInstances - 1) / BurstInstances

var (
	serviceCounts = []int{1, 3, manyServices}
	// subscriberCounts are the numbers of entries that subscribe to an agent:
	// for a service of all servers, one of BurstInstances, one of a hundred,
	// and one so small that every entry subscribes to all of its servers.
	subscriberCounts = []int{4, 26, 100, Entries}
	// demandCounts are the numbers of entries that subscribe to the demand of
	// an entry: for most entries, the mean, and for the few that all others
	// subscribe to.
	demandCounts = []int{0, 32, Entries - 1}
)

// Programs measures real processes: small fleets that communicate with each
// other, and single processes in simulated fleets up to the target size.
// daemon is the path of chivespindled.
func Programs(daemon string) ([]Slope, error) {
	if err := setEnvironment(); err != nil {
		return nil, err
	}
	simFleets, err := startAll(simSpecs(), func(s simSpec) (*simFleet, error) { return newSimFleet(daemon, s) })
	defer closeAll(simFleets, (*simFleet).close)
	if err != nil {
		return nil, err
	}
	fleets, err := startAll(idleSizes, func(n int) (*idleFleet, error) { return newIdleFleet(daemon, n) })
	defer closeAll(fleets, (*idleFleet).Close)
	if err != nil {
		return nil, err
	}
	time.Sleep(settleTime)
	for _, f := range fleets {
		if err := f.waitReady(); err != nil {
			return nil, err
		}
	}
	for _, c := range simFleets {
		if err := c.checkReady(); err != nil {
			return nil, err
		}
	}
	return observe(fleets, simFleets)
}

// startAll starts one value for each spec, at most maxConcurrentStarts at a
// time. On failure it also returns those that did start.
func startAll[S any, T any](specs []S, start func(S) (*T, error)) ([]*T, error) {
	made := make([]*T, len(specs))
	failures := make([]error, len(specs))
	var started errgroup.Group
	started.SetLimit(maxConcurrentStarts)
	for i, spec := range specs {
		started.Go(func() error {
			made[i], failures[i] = start(spec)
			return nil
		})
	}
	_ = started.Wait() // errors are collected in failures
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

func closeAll[T any](running []*T, closeOne func(*T)) {
	for _, one := range running {
		closeOne(one)
	}
}

// observe measures a quiet period, then a period with state changes in the
// simulated fleets.
func observe(fleets []*idleFleet, simFleets []*simFleet) ([]Slope, error) {
	fleetsBefore, err := readAll(fleets, (*idleFleet).read)
	if err != nil {
		return nil, err
	}
	begin, err := readAll(simFleets, (*simFleet).read)
	if err != nil {
		return nil, err
	}
	time.Sleep(quietTime)
	quiet, err := readAll(simFleets, (*simFleet).read)
	if err != nil {
		return nil, err
	}
	fleetsAfter, err := readAll(fleets, (*idleFleet).read)
	if err != nil {
		return nil, err
	}
	for _, c := range simFleets {
		c.setChangeRate(burstChanges)
	}
	changing, err := readAll(simFleets, (*simFleet).read)
	if err != nil {
		return nil, err
	}
	time.Sleep(burstWindow)
	end, err := readAll(simFleets, (*simFleet).read)
	if err != nil {
		return nil, err
	}
	var costs []idleCost
	for i, n := range idleSizes {
		costs = append(costs, fleetsAfter[i].since(fleetsBefore[i], n))
	}
	var outcomes []outcome
	for i, c := range simFleets {
		steady := quiet[i].since(begin[i])
		outcomes = append(outcomes, outcome{spec: c.spec, followed: c.followed, quiet: steady,
			burst: end[i].since(changing[i]), join: begin[i].excessBytes(steady, c.started)})
	}
	return append(idleSlopes(costs), simSlopes(outcomes)...), nil
}

// readAll reads the counters of each element.
func readAll[T, R any](all []*T, read func(*T) (R, error)) ([]R, error) {
	var readings []R
	for _, one := range all {
		r, err := read(one)
		if err != nil {
			return nil, err
		}
		readings = append(readings, r)
	}
	return readings, nil
}
