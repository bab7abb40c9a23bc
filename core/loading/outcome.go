package loading

// Outcome is what is known of an order that got no answer.
type Outcome uint8

const (
	// Open: the engine may still take the order.
	Open Outcome = iota
	// Taken: the engine has accepted it, or a repeat of it. Those that it has not
	// come to fit its number of orders no more.
	Taken
	// Lost: the order is gone with the engine's process.
	Lost
)

// OutcomeOf returns what a report tells of an order to load a version, whose
// repeats are all given as the first after the same report.
//
// An engine that does not tell its orders is judged by its state, which may be
// that from before the order.
func OutcomeOf(version uint64, before, now Engine) Outcome {
	isCounted := before.Orders.Told && now.Orders.Told
	switch {
	case now.Born.Replaces(before.Born) || isCounted && now.Orders.Count < before.Orders.Count:
		return Lost
	case isCounted && now.Orders.Count > before.Orders.Count:
		return Taken
	case !before.Orders.Told && (now.Busy || now.Loaded == version):
		return Taken
	default:
		return Open
	}
}
