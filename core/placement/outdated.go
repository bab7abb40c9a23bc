package placement

import "time"

// outdatedMargin is the safety factor on the predicted time of a response that is
// cut off when the time of its version ends.
const outdatedMargin = 1.25

// maxStartError is how much later than predicted an engine may start a request after it was
// silent, since it then reads all requests at once that have arrived meanwhile.
const maxStartError = 800 * time.Millisecond

// serverTimeout returns the time within which an engine must end its work on a
// request; 0 if only the request's own deadline limits it. It returns false if the engine may
// not get the request.
//
// An engine may not start requests on an outdated version once the time of that
// version is over. A request that waits there would start nevertheless unless a
// cancellation reaches the engine first, and over a congested link it may arrive
// late. So the engine is given the time limit with the request, and only gets
// requests that it can finish by then.
//
// An engine that is silent reads the request up to MaxSilence later and counts the limit from
// then on. The limit is shorter by that time if the response fits into it nevertheless, so that
// the request starts in time whatever waits there. Longer responses would leave the engines
// unused for that time at each change of version; their requests must be predicted to start in
// time in spite of a silence.
func (b *Balancer) serverTimeout(now time.Time, st *serverState, req Request) (limit time.Duration, ok bool) {
	eligibility, left := req.eligibility(st.LoadedVersion)
	if eligibility == Eligible {
		return 0, true
	}
	if eligibility != EligibleOutdated {
		return 0, false
	}
	afterSilence := left - req.MaxSilence
	if afterSilence >= req.TimeLeft {
		return 0, true
	}
	if req.Engine == nil {
		return afterSilence, afterSilence > 0
	}
	start := b.predict(now, st, req)
	decode := max(1, st.Slowdown) * float64(req.Engine.DecodeTime(b.work(now, st), req.expectedTokens()))
	needed := withMargin(start + time.Duration(decode))
	switch {
	case needed <= afterSilence:
		return afterSilence, true
	case needed <= left && withMargin(start)+maxStartError <= afterSilence:
		return min(left, req.TimeLeft), true
	default:
		return 0, false
	}
}

func withMargin(predicted time.Duration) time.Duration {
	return time.Duration(outdatedMargin * float64(predicted))
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
