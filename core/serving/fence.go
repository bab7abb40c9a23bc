package serving

import "chivespindle.example/core/failure"

// Superseded means that another process has taken over the engine. The process
// that detects it stands down permanently.
var Superseded = failure.Namespace.NewType("superseded")

// ordersPerTerm is how many fencing numbers one process may use after it has
// taken over. Numbers stay far below 2^53, so an engine that parses them as
// floating point loses no precision.
const ordersPerTerm = 1 << 20

// Fence holds the fencing number that a process puts on its orders. The zero
// value has not chosen one yet.
//
// Nothing is persisted, so the number is derived from the engine: one term
// above the number that it reported last. An engine that refuses lower numbers
// refuses a predecessor's late orders as soon as it has seen the successor's
// first order, which is why a new process sends a claim first (see Claim).
// Within its term a process raises the number with each order, so that an order
// of its own that timed out and arrives late is refused as well.
//
// If the engine reports a number above the current one, a successor has taken
// over. A Fence never raises its number above a successor's, since two
// processes could otherwise displace each other endlessly.
type Fence struct {
	current    uint64
	reported   uint64
	superseded bool
}

// TakeOver chooses the term from the number that the engine reports. Later
// calls keep the term.
func (f *Fence) TakeOver(reported uint64) error {
	if f.current == 0 {
		f.current = (reported/ordersPerTerm + 1) * ordersPerTerm
	}
	return f.Observe(reported)
}

// Observe takes the number of a later status. It fails with Superseded if the
// engine has seen a higher number, and on every later call. A lower number is
// harmless: the engine ignores fencing numbers or has restarted.
func (f *Fence) Observe(reported uint64) error {
	f.reported = reported
	if f.current != 0 && reported > f.current {
		f.superseded = true
	}
	return f.checkSuperseded()
}

// RecordRefusal records that the engine refused an order because it has seen a
// higher number.
func (f *Fence) RecordRefusal() { f.superseded = true }

// Next returns the number for the next order. It fails with Superseded, or
// with failure.Internal before TakeOver.
func (f *Fence) Next() (uint64, error) {
	if err := f.checkSuperseded(); err != nil {
		return 0, err
	}
	if f.current == 0 {
		return 0, failure.Internal.New("no fencing number chosen yet")
	}
	f.current++
	return f.current, nil
}

// Claim returns an order that changes nothing but the engine's highest number.
// Until the engine has seen it, a predecessor's late order is accepted.
func (f *Fence) Claim() (Order, error) {
	number, err := f.Next()
	return Order{Fence: number}, err
}

// IsAcknowledged reports whether the engine reports the current number. An
// engine that ignores fencing numbers never does.
func (f *Fence) IsAcknowledged() bool { return f.current != 0 && f.reported == f.current }

// IsSuperseded reports whether another process has taken over.
func (f *Fence) IsSuperseded() bool { return f.superseded }

func (f *Fence) checkSuperseded() error {
	if !f.superseded {
		return nil
	}
	return Superseded.New("the engine has seen fencing number %d, ours is %d", f.reported, f.current)
}
