package placement

import "time"

// longerThanExpected is by how much an answer is taken to last longer than
// expected, where it is cut off at the end of a time.
const longerThanExpected = 1.25

// within returns the time in which an engine is to end its work on a request; 0 if
// the request's own time is all that bounds it.
//
// An engine with an outdated version may begin nothing once the time of its
// version is over. What waits there begins nevertheless, unless a word of ours
// reaches it before, and over a full link that word may be late. So the engine is
// told when to end with the request, and gets only what it can end by then.
func (a Request) within(st *state) time.Duration {
	use, left := a.use(st.LoadedVersion)
	if use != EligibleOutdated || left >= a.TimeLeft {
		return 0
	}
	return left
}

// endsWithin reports whether the whole answer is expected from an engine in so
// much time.
func (b *Balancer) endsWithin(now time.Time, st *state, ask Request, left time.Duration) bool {
	if ask.Engine == nil || left >= ask.TimeLeft {
		return true
	}
	write := max(1, st.Slowdown) * float64(ask.Engine.DecodeTime(b.work(now, st), ask.expected()))
	whole := b.predict(now, st, ask) + time.Duration(write)
	return longerThanExpected*float64(whole) <= float64(left)
}

// expected is the number of tokens that the answer is taken to have.
func (a Request) expected() int {
	switch {
	case a.ExpectedTokens > 0:
		return a.ExpectedTokens
	case a.Engine.MeanOutputTokens > 0:
		return a.Engine.MeanOutputTokens
	default:
		return a.OutputTokens
	}
}

// use tells how an engine may be used by its version and, if that is outdated, for
// how long.
func (a Request) use(loaded ModelVersion) (Eligibility, time.Duration) {
	if a.Versions == nil {
		return Eligible, 0
	}
	return a.Versions(loaded)
}
