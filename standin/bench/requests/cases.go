package requests

import (
	"fmt"
	"time"

	"chivespindle.example/core/failure"
	"chivespindle.example/standin/engine"
	"chivespindle.example/standin/engine/backend"
	"chivespindle.example/standin/harness"
)

// Fault is a failure of one server under load.
type Fault string

// The faults.
const (
	FaultNone   Fault = "none"
	FaultSlow   Fault = "slow"   // one engine is five times as slow
	FaultKill   Fault = "kill"   // an agent is killed
	FaultFreeze Fault = "freeze" // an agent is suspended for two seconds
	FaultStall  Fault = "stall"  // an engine stops sending without closing, for two seconds
	FaultDrain  Fault = "drain"  // an agent is asked to stop
)

// Faults lists the faults in the order in which they are run.
func Faults() []Fault {
	return []Fault{FaultNone, FaultSlow, FaultKill, FaultFreeze, FaultStall, FaultDrain}
}

const (
	callers = 16
	// leadTime and flowTime are how long requests are sent before and after the
	// fault.
	leadTime = 800 * time.Millisecond
	flowTime = 3 * time.Second
	// faultTime is the duration of a freeze or a stall.
	faultTime = 2 * time.Second
	// slowMS is added to each token of the slow engine.
	slowMS = 20
)

// Result holds the measurements of one run.
type Result struct {
	Fault  Fault
	Policy string
	Tally  harness.Tally
	// Duplicates counts executions beyond the first of a key, NotRunButRan keys
	// that ran although the last response was "not run".
	Duplicates   int
	NotRunButRan int
	// DrainTime is how long a server still started new work after it was told to
	// stop.
	DrainTime time.Duration
}

// String returns the line that bench prints.
func (r Result) String() string {
	t := r.Tally
	answered := t.Correct
	line := fmt.Sprintf("bench=requests fault=%s policy=%s requests=%d answered=%d lost=%d unknown=%d duplicates=%d wrong=%d p50_ms=%.0f p99_ms=%.0f not_run_but_ran=%d refusals=%d",
		r.Fault, r.Policy, answered+t.Lost+t.Incorrect+t.WrongVersion, answered, t.Lost-len(t.UnknownKeys), len(t.UnknownKeys), r.Duplicates, t.Incorrect+t.WrongVersion,
		harness.PercentileMS(t.Latencies, 50), harness.PercentileMS(t.Latencies, 99), r.NotRunButRan, t.NotRunAttempts)
	if r.Fault == FaultDrain {
		line += fmt.Sprintf(" drain_ms=%d", r.DrainTime.Milliseconds())
	}
	return line
}

// Run sends requests, injects the fault and counts the results.
func (f *Fleet) Run(fault Fault) (Result, error) {
	before := f.Executions()
	load := harness.StartLoad(f.client(), f.spec(callers))
	time.Sleep(leadTime)
	r := Result{Fault: fault, Policy: "chivespindle"}
	undo, err := f.inject(fault)
	if err != nil {
		return r, err
	}
	if fault == FaultDrain {
		r.DrainTime = f.lastExecution(flowTime)
	} else {
		time.Sleep(flowTime)
	}
	r.Tally = load.Stop()
	r.count(before, f.Executions())
	return r, undo()
}

func (r *Result) count(before, after map[string]int) {
	for key, n := range after {
		if before[key] == 0 {
			r.Duplicates += max(0, n-1)
		}
	}
	for _, key := range r.Tally.NotRunKeys {
		if after[key] > 0 {
			r.NotRunButRan++
		}
	}
}

// inject causes a fault at the first engine or its agent. undo ends the fault
// if it has not ended yet.
func (f *Fleet) inject(fault Fault) (undo func() error, err error) {
	id := engineID(0)
	process, e := f.Process(id), f.Engines[id]
	clear := func() error { e.SetFaults(engine.Faults{}); return nil }
	restart := func() error {
		if _, err := f.RestartAgent(id); err != nil {
			return err
		}
		return f.waitServing(e.Status().Loaded)
	}
	switch fault {
	case FaultNone:
		return func() error { return nil }, nil
	case FaultSlow:
		e.SetFaults(engine.Faults{Faults: backend.Faults{StepDelayMS: slowMS}})
		return clear, nil
	case FaultStall:
		e.SetFaults(engine.Faults{Faults: backend.Faults{Stall: true}})
		time.AfterFunc(faultTime, func() { _ = clear() })
		return clear, nil
	case FaultKill:
		process.Kill()
		return restart, nil
	case FaultFreeze:
		process.Suspend()
		time.AfterFunc(faultTime, process.Resume)
		return func() error { return nil }, nil
	case FaultDrain:
		process.Terminate()
		return restart, nil
	default:
		return nil, failure.Invalid.New("unknown fault %q", fault)
	}
}

// lastExecution observes the first engine, whose agent is stopping, for the
// time wait and returns how long after the start it last began new work.
func (f *Fleet) lastExecution(wait time.Duration) time.Duration {
	e := f.Engines[engineID(0)]
	started := time.Now()
	begun := func() int { return len(e.Counters().ExecutionsByID) }
	seen, last := begun(), time.Duration(0)
	for time.Since(started) < wait {
		if n := begun(); n > seen {
			seen, last = n, time.Since(started)
		}
		time.Sleep(5 * time.Millisecond)
	}
	return last
}
