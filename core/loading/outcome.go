package loading

// Outcome is what is known about an order that got no response.
type Outcome uint8

const (
	// Pending: the engine may still accept the order.
	Pending Outcome = iota
	// Accepted: the engine has accepted the order or a repetition of it. Repetitions
	// that it has not processed yet no longer match its number of orders.
	Accepted
	// Lost: the order was lost with the engine's process.
	Lost
)

// OutcomeOf returns the outcome of an order to load a version, derived from the
// engine's reports before the order and now. All repetitions of the order must be sent
// on the basis of the same report as the first.
//
// An engine that does not report its number of orders is judged by its state, which may
// predate the order.
func OutcomeOf(version uint64, before, now Engine) Outcome {
	isCounted := before.Orders.Reported && now.Orders.Reported
	switch {
	case now.Born.Replaces(before.Born) || isCounted && now.Orders.Count < before.Orders.Count:
		return Lost
	case isCounted && now.Orders.Count > before.Orders.Count:
		return Accepted
	case !before.Orders.Reported && (now.Busy || now.Loaded == version):
		return Accepted
	default:
		return Pending
	}
}
