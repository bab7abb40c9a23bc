package serving

import "chivespindle.example/core/failure"

// Superseded means that another process has taken over the engine. The one
// that sees it stands down for good.
var Superseded = failure.Namespace.NewType("superseded")

// ordersPerTerm is how many numbers one process may use after it has taken
// over. Numbers stay far below 2^53, so an engine that reads them as floating
// point loses none.
const ordersPerTerm = 1 << 20

// Fence holds the fencing number that one process puts on its orders. The
// zero value has none yet.
//
// Nothing is stored, so the number comes from the engine: a term above the
// one it reported last. An engine that refuses lower numbers then refuses the
// predecessor's late orders from the moment it has seen the first order of
// the successor; hence the claim, see Claim. Within its term a process raises
// the number with each order, so that an order of its own that was given up
// and arrives late is refused as well.
//
// When the engine reports a number above the own one, a successor has taken
// over. Climbing over it would let two processes chase each other for ever,
// so the Fence never does.
type Fence struct {
	number     uint64
	reported   uint64
	superseded bool
}

// TakeOver chooses the term from what the engine reports. Later calls keep
// the term once chosen.
func (f *Fence) TakeOver(reported uint64) error {
	if f.number == 0 {
		f.number = (reported/ordersPerTerm + 1) * ordersPerTerm
	}
	return f.Observe(reported)
}

// Observe takes the number of a later status. It fails with Superseded if the
// engine has seen a higher one, then and ever after. A lower one is harmless:
// the engine ignores fences or has restarted.
func (f *Fence) Observe(reported uint64) error {
	f.reported = reported
	if f.number != 0 && reported > f.number {
		f.superseded = true
	}
	return f.check()
}

// RecordRefusal notes that the engine refused an order for its number, so it has
// seen a higher one.
func (f *Fence) RecordRefusal() { f.superseded = true }

// Next returns the number for the next order. It fails with Superseded, or
// with failure.Internal before TakeOver.
func (f *Fence) Next() (uint64, error) {
	if err := f.check(); err != nil {
		return 0, err
	}
	if f.number == 0 {
		return 0, failure.Internal.New("no fencing number chosen yet")
	}
	f.number++
	return f.number, nil
}

// Claim returns the order that changes nothing but the engine's highest
// number. Until the engine has seen it, a predecessor's late order passes.
func (f *Fence) Claim() (Order, error) {
	number, err := f.Next()
	return Order{Fence: number}, err
}

// IsAcknowledged reports whether the engine has shown the own number, which one that
// ignores fences never does.
func (f *Fence) IsAcknowledged() bool { return f.number != 0 && f.reported == f.number }

// IsSuperseded reports whether another process has taken over.
func (f *Fence) IsSuperseded() bool { return f.superseded }

func (f *Fence) check() error {
	if !f.superseded {
		return nil
	}
	return Superseded.New("the engine has seen fencing number %d, ours is %d", f.reported, f.number)
}
