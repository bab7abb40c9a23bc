package burst

import (
	"fmt"
	"net"
	"net/netip"
	"time"

	"chivespindle.example/adapters/callerclient"
	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
	"chivespindle.example/daemon/process"
	"chivespindle.example/standin/bench/local"
	"chivespindle.example/standin/harness"
)

const (
	liveCallers = 8
	liveTokens  = 16
	// liveTime is how long requests are measured without a rollout.
	liveTime = 3 * time.Second
)

// LiveResult holds what callers observed before and during the rollout of a
// new version.
type LiveResult struct {
	Instances        int
	Before, During   []time.Duration
	Lost, Incorrect  int
	BurstTime, Bound time.Duration
}

// String returns the line that bench prints.
func (r LiveResult) String() string {
	return fmt.Sprintf("bench=live instances=%d requests_without=%d p50_without_ms=%.1f p99_without_ms=%.1f requests_during=%d p50_during_ms=%.1f p99_during_ms=%.1f lost=%d wrong=%d time_over_bound=%.2f",
		r.Instances, len(r.Before), harness.PercentileMS(r.Before, 50), harness.PercentileMS(r.Before, 99),
		len(r.During), harness.PercentileMS(r.During, 50), harness.PercentileMS(r.During, 99), r.Lost, r.Incorrect, r.BurstTime.Seconds()/r.Bound.Seconds())
}

// RunLive sends requests through an entry, first without a rollout and then
// while a new version is distributed and the replicas of each zone switch to
// it one by one.
func (f *Fleet) RunLive() (LiveResult, error) {
	r := LiveResult{Instances: len(f.members), Bound: Bound(len(f.members))}
	entry, running, err := f.startEntry()
	if err != nil {
		return r, err
	}
	defer func() { running.Stop(); entry.Close() }()
	client := callerclient.New(callerclient.Options{Seeds: []netip.AddrPort{entry.Self().CallerAddr}})
	spec := harness.LoadSpec{
		ModelServices: []fleet.ServiceName{service}, Callers: liveCallers, MaxTokens: liveTokens, Deadline: 5 * time.Second,
		IsPublished: func(string) bool { return true },
	}
	if err := waitResponse(client, spec); err != nil {
		return r, err
	}
	load := harness.StartLoad(client, spec)
	time.Sleep(liveTime)
	r.add(load.Stop(), &r.Before)
	version, err := f.newVersion()
	if err != nil {
		return r, err
	}
	load = harness.StartLoad(client, spec)
	started := time.Now()
	f.publishOneByOne(version)
	r.BurstTime, err = f.waitServing(version, started, maxBounds*r.Bound)
	r.add(load.Stop(), &r.During)
	return r, err
}

func (r *LiveResult) add(t harness.Tally, latencies *[]time.Duration) {
	*latencies = t.Latencies
	r.Lost += t.Lost
	r.Incorrect += t.Incorrect + t.WrongVersion
}

// startEntry starts an entry with its own simulated network link.
func (f *Fleet) startEntry() (*process.Entry, *local.Running, error) {
	s, err := f.Settings(fleet.RoleEntry, "entry-1", local.PlaceOf(0, regions, zonesPerRegion))
	if err != nil {
		return nil, nil, err
	}
	// An entry advertises its own address to callers, so the port must be known
	// before it starts.
	if s.Listen.Callers, err = freePort(); err != nil {
		return nil, nil, err
	}
	link := NewLink(MachineRate)
	entry, err := process.NewEntry(s, f.logger, process.Options{Socket: link.Socket})
	if err != nil {
		return nil, nil, err
	}
	f.Instances.Set(entry.Self())
	return entry, local.Run(entry.Actors()), nil
}

// freePort returns a loopback address with a TCP port that was free when it
// was checked.
func freePort() (netip.AddrPort, error) {
	listener, err := net.Listen("tcp", local.AnyPort.String())
	if err != nil {
		return netip.AddrPort{}, failure.Unavailable.Wrap(err, "listen on a free port")
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().(*net.TCPAddr).AddrPort(), nil
}

// waitResponse sends requests until one is answered correctly.
func waitResponse(client *callerclient.Client, spec harness.LoadSpec) error {
	spec.Callers = 1
	load := harness.StartLoad(client, spec)
	defer load.Stop()
	const timeout = 30 * time.Second
	for started := time.Now(); load.Tally().Correct == 0; {
		if time.Since(started) > timeout {
			return failure.Timeout.New("no request was answered within %s", timeout)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return nil
}
