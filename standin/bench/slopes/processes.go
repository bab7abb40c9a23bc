package slopes

import (
	"os"
	"time"

	"golang.org/x/sync/errgroup"

	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
)

const (
	// settleTime is how long processes run before they are measured. In its
	// first ten seconds each reads the instance list as often as a watcher, and
	// in the largest fleet it takes 16 s to send each neighbour what it knows.
	settleTime = 22 * time.Second
	// longestStart bounds the wait until a process has its connections.
	longestStart = 40 * time.Second
	pollEvery    = 100 * time.Millisecond
	// startsAtOnce bounds how many start at the same time: on a busy machine
	// processes would else take their neighbours for dead before they have met.
	startsAtOnce = 2
	// quietTime and burstWindow are how long they are measured.
	quietTime   = 8 * time.Second
	burstWindow = 5 * time.Second
	// burstChanges is how many processes' state changes a node receives in a
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
	for _, entries := range demandCounts[1:] {
		specs = append(specs, crowdSpec{Role: fleet.RoleEntry, Fleet: Processes, Services: 1, Subscribers: entries})
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
	// demandCounts are the entries that follow the demand of an entry: of most,
	// the mean, and of the few that all follow.
	demandCounts = []int{0, 32, Entries - 1}
)

// Programs measures programs: small fleets of them that talk to each other, and
// single ones in made-up fleets up to the target's size. daemon is the path of
// chivespindled.
func Programs(daemon string) ([]Slope, error) {
	if err := setEnvironment(); err != nil {
		return nil, err
	}
	crowds, err := startAll(crowdSpecs(), func(s crowdSpec) (*crowd, error) { return newCrowd(daemon, s) })
	defer closeAll(crowds, (*crowd).close)
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
	for _, c := range crowds {
		if err := c.ready(); err != nil {
			return nil, err
		}
	}
	return observe(fleets, crowds)
}

// startAll starts one of each spec, a few at a time. On a failure it returns
// those that did start.
func startAll[S any, T any](specs []S, start func(S) (*T, error)) ([]*T, error) {
	made := make([]*T, len(specs))
	failures := make([]error, len(specs))
	var started errgroup.Group
	started.SetLimit(startsAtOnce)
	for i, spec := range specs {
		started.Go(func() error {
			made[i], failures[i] = start(spec)
			return nil
		})
	}
	_ = started.Wait() // the failures are in their list
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

// observe measures a quiet time, and one with changes in the made-up fleets.
func observe(fleets []*idleFleet, crowds []*crowd) ([]Slope, error) {
	fleetsBefore, err := readAll(fleets, (*idleFleet).read)
	if err != nil {
		return nil, err
	}
	begin, err := readAll(crowds, (*crowd).read)
	if err != nil {
		return nil, err
	}
	time.Sleep(quietTime)
	quiet, err := readAll(crowds, (*crowd).read)
	if err != nil {
		return nil, err
	}
	fleetsAfter, err := readAll(fleets, (*idleFleet).read)
	if err != nil {
		return nil, err
	}
	for _, c := range crowds {
		c.change(burstChanges)
	}
	changing, err := readAll(crowds, (*crowd).read)
	if err != nil {
		return nil, err
	}
	time.Sleep(burstWindow)
	end, err := readAll(crowds, (*crowd).read)
	if err != nil {
		return nil, err
	}
	var costs []idleCost
	for i, n := range idleSizes {
		costs = append(costs, fleetsAfter[i].since(fleetsBefore[i], n))
	}
	var outcomes []outcome
	for i, c := range crowds {
		steady := quiet[i].since(begin[i])
		outcomes = append(outcomes, outcome{spec: c.spec, followed: c.followed, quiet: steady,
			burst: end[i].since(changing[i]), join: begin[i].beyond(steady, c.started)})
	}
	return append(idleSlopes(costs), crowdSlopes(outcomes)...), nil
}

// readAll reads each one's counters.
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
