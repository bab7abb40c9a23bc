package requests

import (
	"fmt"
	"time"

	"chivespindle.example/core/failure"
	"chivespindle.example/standin/engine"
	"chivespindle.example/standin/engine/backend"
	"chivespindle.example/standin/harness"
)

// Fault is what happens to one server while requests flow.
type Fault string

// The faults.
const (
	FaultNone   Fault = "none"
	FaultSlow   Fault = "slow"   // one engine is five times as slow
	FaultKill   Fault = "kill"   // an agent is killed
	FaultFreeze Fault = "freeze" // an agent does not run for two seconds
	FaultStall  Fault = "stall"  // an engine stops sending without closing, for two seconds
	FaultDrain  Fault = "drain"  // an agent is asked to stop
)

// Faults lists them in the order of a run.
func Faults() []Fault {
	return []Fault{FaultNone, FaultSlow, FaultKill, FaultFreeze, FaultStall, FaultDrain}
}

const (
	callers = 16
	// lead and flow are how long requests flow before the fault and after it.
	lead = 800 * time.Millisecond
	flow = 3 * time.Second
	// held is how long a freeze and a stall last.
	held = 2 * time.Second
	// slowMS is added to each token of the slow engine.
	slowMS = 20
)

// Result is what one run came to.
type Result struct {
	Fault  Fault
	Policy string
	Tally  harness.Tally
	// Duplicates are executions beyond the first of a key, NotRunButRan keys
	// that ran though the last response was "not run".
	Duplicates   int
	NotRunButRan int
	// Drain is how long after its leaving a server still began new work.
	Drain time.Duration
}

// String returns the line that bench prints.
func (r Result) String() string {
	t := r.Tally
	answered := t.Correct
	line := fmt.Sprintf("bench=requests fault=%s policy=%s requests=%d answered=%d lost=%d unknown=%d duplicates=%d wrong=%d p50_ms=%.0f p99_ms=%.0f not_run_but_ran=%d refusals=%d",
		r.Fault, r.Policy, answered+t.Lost+t.Incorrect+t.WrongVersion, answered, t.Lost-len(t.UnknownKeys), len(t.UnknownKeys), r.Duplicates, t.Incorrect+t.WrongVersion,
		harness.PercentileMS(t.Latencies, 50), harness.PercentileMS(t.Latencies, 99), r.NotRunButRan, t.NotRunAttempts)
	if r.Fault == FaultDrain {
		line += fmt.Sprintf(" drain_ms=%d", r.Drain.Milliseconds())
	}
	return line
}

// Run lets requests flow, causes the fault and counts.
func (f *Fleet) Run(fault Fault) (Result, error) {
	before := f.Executions()
	load := harness.StartLoad(f.client(), f.spec(callers))
	time.Sleep(lead)
	r := Result{Fault: fault, Policy: "chivespindle"}
	repair, err := f.inject(fault)
	if err != nil {
		return r, err
	}
	if fault == FaultDrain {
		r.Drain = f.lastWork(flow)
	} else {
		time.Sleep(flow)
	}
	r.Tally = load.Stop()
	r.count(before, f.Executions())
	return r, repair()
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

// inject hits the first engine. The fault ends with repair, if not before.
func (f *Fleet) inject(fault Fault) (repair func() error, err error) {
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
		time.AfterFunc(held, func() { _ = clear() })
		return clear, nil
	case FaultKill:
		process.Kill()
		return restart, nil
	case FaultFreeze:
		process.Suspend()
		time.AfterFunc(held, process.Resume)
		return func() error { return nil }, nil
	case FaultDrain:
		process.Terminate()
		return restart, nil
	default:
		return nil, failure.Invalid.New("no fault %q", fault)
	}
}

// lastWork watches the leaving engine for as long as wait and returns when it
// last began new work.
func (f *Fleet) lastWork(wait time.Duration) time.Duration {
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
