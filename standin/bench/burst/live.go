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
	// liveTime is how long requests are measured without a burst.
	liveTime = 3 * time.Second
)

// LiveResult tells what callers saw without a burst and during one.
type LiveResult struct {
	Instances        int
	Before, During   []time.Duration
	Lost, Wrong      int
	BurstTime, Bound time.Duration
}

// String returns the line that bench prints.
func (r LiveResult) String() string {
	return fmt.Sprintf("bench=live instances=%d requests_without=%d p50_without_ms=%.1f p99_without_ms=%.1f requests_during=%d p50_during_ms=%.1f p99_during_ms=%.1f lost=%d wrong=%d time_over_bound=%.2f",
		r.Instances, len(r.Before), harness.PercentileMS(r.Before, 50), harness.PercentileMS(r.Before, 99),
		len(r.During), harness.PercentileMS(r.During, 50), harness.PercentileMS(r.During, 99), r.Lost, r.Wrong, r.BurstTime.Seconds()/r.Bound.Seconds())
}

// RunLive lets requests flow through an entry, first alone and then while a
// new version spreads and the replicas of each zone change over one by one.
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
	if err := waitAnswer(client, spec); err != nil {
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
	r.BurstTime, err = f.waitServing(version, started, longest*r.Bound)
	r.add(load.Stop(), &r.During)
	return r, err
}

func (r *LiveResult) add(t harness.Tally, latencies *[]time.Duration) {
	*latencies = t.Latencies
	r.Lost += t.Lost
	r.Wrong += t.Incorrect + t.WrongVersion
}

// startEntry starts an entry behind a link of its own.
func (f *Fleet) startEntry() (*process.Entry, *local.Running, error) {
	s, err := f.Settings(fleet.RoleEntry, "entry-1", local.PlaceOf(0, regions, zonesPerRegion))
	if err != nil {
		return nil, nil, err
	}
	// An entry names its own address to callers, so the port must be known
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

// freePort returns a TCP port that was free a moment ago.
func freePort() (netip.AddrPort, error) {
	listener, err := net.Listen("tcp", local.AnyPort.String())
	if err != nil {
		return netip.AddrPort{}, failure.Unavailable.Wrap(err, "find a free port")
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().(*net.TCPAddr).AddrPort(), nil
}

// waitAnswer asks until the entry answers.
func waitAnswer(client *callerclient.Client, spec harness.LoadSpec) error {
	spec.Callers = 1
	load := harness.StartLoad(client, spec)
	defer load.Stop()
	const most = 30 * time.Second
	for started := time.Now(); load.Tally().Correct == 0; {
		if time.Since(started) > most {
			return failure.Timeout.New("no request is answered after %s", most)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return nil
}
