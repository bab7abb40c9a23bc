package burst

import (
	"fmt"
	"net/netip"
	"time"

	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
	"chivespindle.example/standin/engine"
	"chivespindle.example/standin/platform"
)

// Fault is a failure injected during a burst.
type Fault string

// The faults.
const (
	FaultNone       Fault = "none"
	FaultKill       Fault = "kill"       // one in sixteen agents is killed
	FaultCorrupt    Fault = "corrupt"    // the origin and some instances send corrupt chunks
	FaultStall      Fault = "stall"      // links of one in sixteen, and origin transfers, stall without closing
	FaultPartition  Fault = "partition"  // half of the fleet cannot reach the other half
	FaultNewVersion Fault = "newversion" // a newer version is published half way through
)

// Case is the configuration of one burst.
type Case struct {
	Policy string // time or origin
	Fault  Fault
}

// Result holds the measurements of one burst.
type Result struct {
	Case
	Instances        int
	OriginCopies     float64
	TimeOverBound    float64
	Serving          int
	Running          int
	WeightMismatches int
	ControlBytes     float64 // per instance and second
}

// String returns the line that bench prints.
func (r Result) String() string {
	return fmt.Sprintf("bench=burst policy=%s fault=%s instances=%d origin_copies=%.2f time_over_bound=%.2f serving=%d living=%d mixed=%d control_bytes_per_instance_s=%.0f",
		r.Policy, r.Fault, r.Instances, r.OriginCopies, r.TimeOverBound, r.Serving, r.Running, r.WeightMismatches, r.ControlBytes)
}

const (
	// maxBounds is how many times the Bound a burst may take before it fails.
	maxBounds = 30
	// faultStride selects one in sixteen instances for a fault.
	faultStride = 16
)

// Run publishes a new version and waits until all running agents serve it.
func (f *Fleet) Run(c Case) (Result, error) {
	bound := Bound(len(f.members))
	version, err := f.newVersion()
	if err != nil {
		return Result{}, err
	}
	controlBefore, mismatchesBefore := f.controlBytes(), f.weightMismatches()
	started := time.Now()
	f.publish(version, c.Policy)
	undo, next, err := f.inject(c, bound)
	if err != nil {
		return Result{}, err
	}
	if !next.IsZero() {
		version, started = next, time.Now()
	}
	took, waitErr := f.waitServing(version, started, maxBounds*bound)
	r := Result{
		Case:             c,
		Instances:        len(f.members),
		OriginCopies:     modelCopies(f.Origin.ManifestBytesSent(version.Manifest)),
		TimeOverBound:    took.Seconds() / bound.Seconds(),
		WeightMismatches: f.weightMismatches() - mismatchesBefore,
		ControlBytes:     float64(f.controlBytes()-controlBefore) / float64(len(f.members)) / took.Seconds(),
	}
	r.Serving, r.Running = f.serving(version)
	if undo != nil {
		undo()
	}
	if err := f.restartStopped(); err != nil {
		return r, err
	}
	return r, waitErr
}

// inject causes the case's fault. undo, if not nil, ends it; next, if not
// zero, is the newer version to measure instead of the first.
func (f *Fleet) inject(c Case, bound time.Duration) (undo func(), next fleet.Version, err error) {
	switch c.Fault {
	case FaultKill:
		time.Sleep(bound / 3)
		for _, m := range f.faultTargets() {
			m.kill()
		}
	case FaultCorrupt:
		undo = f.corrupt()
	case FaultStall:
		undo = f.stall(bound)
	case FaultPartition:
		undo = f.partition()
	case FaultNewVersion:
		time.Sleep(bound / 2)
		next, err = f.newVersion()
		if err == nil {
			f.publish(next, c.Policy)
		}
	case FaultNone:
	default:
		return nil, next, failure.Invalid.New("unknown fault %q", c.Fault)
	}
	return undo, next, err
}

// faultTargets returns the members that a fault affects, distributed over the
// zones.
func (f *Fleet) faultTargets() []*member {
	var chosen []*member
	for i := faultStride / 2; i < len(f.members); i += faultStride {
		chosen = append(chosen, f.members[i])
	}
	return chosen
}

func (f *Fleet) corrupt() (undo func()) {
	const badChunks = 6
	f.Origin.FailNext(platform.FaultCorrupt, badChunks)
	targets := f.faultTargets()
	for _, m := range targets {
		m.engine.SetFaults(engine.Faults{CorruptStage: true})
	}
	return func() {
		f.Origin.ClearFaults()
		for _, m := range targets {
			m.engine.SetFaults(engine.Faults{})
		}
	}
}

func (f *Fleet) stall(bound time.Duration) (undo func()) {
	const stalledTransfers = 4
	f.Origin.FailNext(platform.FaultStall, stalledTransfers)
	time.Sleep(bound / 3)
	var release []func()
	for _, m := range f.faultTargets() {
		release = append(release, m.link.Stall())
	}
	// Restore the links before the transport times out its connections.
	timer := time.AfterFunc(bound, func() {
		for _, r := range release {
			r()
		}
	})
	return func() {
		timer.Stop()
		f.Origin.ClearFaults()
		f.Origin.ReleaseStalled()
	}
}

// partition drops all packets between odd and even members.
func (f *Fleet) partition() (undo func()) {
	side := make(map[netip.AddrPort]int, len(f.members))
	for i, m := range f.members {
		side[m.process.Self().PeerAddr] = i % 2
	}
	for i, m := range f.members {
		m.link.SetLoss(func(to netip.AddrPort) bool { return side[to] != i%2 })
	}
	return func() {
		for _, m := range f.members {
			m.link.SetLoss(nil)
		}
	}
}

// restartStopped restarts the agents that a fault has stopped. Their engines
// kept running and still have their weights.
func (f *Fleet) restartStopped() error {
	for _, m := range f.members {
		if m.stopped {
			if err := f.run(m); err != nil {
				return err
			}
		}
	}
	return nil
}

// WaitReady publishes a first version and waits until the fleet serves it.
func (f *Fleet) WaitReady() error {
	version, err := f.newVersion()
	if err != nil {
		return err
	}
	f.publish(version, "time")
	const timeout = time.Minute
	_, err = f.waitServing(version, time.Now(), timeout)
	return err
}
