package placement

import "time"

// outdatedMargin is the safety factor on the predicted time of a response that is
// cut off when the time of its version ends.
const outdatedMargin = 1.25

// serverTimeout returns the time within which an engine must end its work on a
// request; 0 if only the request's own deadline limits it.
//
// An engine may not start requests on an outdated version once the time of that
// version is over. A request that waits there would start nevertheless unless a
// cancellation reaches the engine first, and over a congested link it may arrive
// late. So the engine is given the time limit with the request, and only gets
// requests that it can finish by then.
func (r Request) serverTimeout(st *serverState) time.Duration {
	eligibility, left := r.eligibility(st.LoadedVersion)
	if eligibility != EligibleOutdated || left >= r.TimeLeft {
		return 0
	}
	return left
}

// endsWithin reports whether an engine is predicted to finish the whole response
// within the given time.
func (b *Balancer) endsWithin(now time.Time, st *serverState, req Request, left time.Duration) bool {
	if req.Engine == nil || left >= req.TimeLeft {
		return true
	}
	decode := max(1, st.Slowdown) * float64(req.Engine.DecodeTime(b.work(now, st), req.expectedTokens()))
	total := b.predict(now, st, req) + time.Duration(decode)
	return outdatedMargin*float64(total) <= float64(left)
}

// expectedTokens is the assumed length of the response in tokens.
func (r Request) expectedTokens() int {
	switch {
	case r.ExpectedTokens > 0:
		return r.ExpectedTokens
	case r.Engine.MeanOutputTokens > 0:
		return r.Engine.MeanOutputTokens
	default:
		return r.OutputTokens
	}
}

// eligibility returns whether the loaded version of an engine allows it to serve
// the request and, if that version is outdated, for how long.
func (r Request) eligibility(version ModelVersion) (Eligibility, time.Duration) {
	if r.Versions == nil {
		return Eligible, 0
	}
	return r.Versions(version)
}
