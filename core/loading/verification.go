package loading

import "chivespindle.example/core/fleet"

// Load identifies the weights that an engine has loaded: by its process, the number of
// orders that the process has accepted, and their version.
type Load struct {
	Born    fleet.StartTime
	Orders  Orders
	Version uint64
}

// Load returns the load that the engine reports.
func (e Engine) Load() Load { return Load{Born: e.Born, Orders: e.Orders, Version: e.Loaded} }

// After returns the load of a version by the next order that the engine accepts.
func (e Engine) After(version uint64) Load {
	next := Load{Born: e.Born, Orders: e.Orders, Version: version}
	if next.Orders.Reported {
		next.Orders.Count++
	}
	return next
}

// Standing is what an agent knows of the weights that its engine has loaded.
type Standing uint8

const (
	// Unverified: it is not known yet whether the weights are intact.
	Unverified Standing = iota
	// Verified: all chunks were intact when the engine accepted the order, or the engine
	// was found with the weights and has not loaded others since.
	Verified
	// Rejected: the weights may contain chunks that were missing, corrupt or of another
	// version. They must be loaded again.
	Rejected
)

// Verification is the standing of an engine's last load. An engine loads whatever is
// staged when it accepts an order, so the version that it reports does not show that its
// weights are intact.
type Verification struct {
	load     Load
	standing Standing
}

// Set records the standing of a load.
func (v *Verification) Set(load Load, standing Standing) {
	v.load, v.standing = load, standing
}

// Reset forgets the last load unless it is what the engine has loaded. Without it, a load of
// the engine's next process could be taken for one that was verified before.
func (v *Verification) Reset(e Engine) {
	if e.Load() != v.load {
		*v = Verification{}
	}
}

// Of returns the standing of what the engine has loaded.
func (v *Verification) Of(e Engine) Standing { return v.OfLoad(e.Load()) }

// OfLoad returns the standing of a load.
func (v *Verification) OfLoad(load Load) Standing {
	if load != v.load {
		return Unverified
	}
	return v.standing
}

// Supersedes reports whether the engine's state is from before it accepted the order for
// the last load.
func (v *Verification) Supersedes(e Engine) bool {
	return e.Orders.Reported && e.Born == v.load.Born && e.Orders.Count < v.load.Orders.Count
}
