package gateway

import (
	"time"

	"chivespindle.example/core/loading"
	"chivespindle.example/core/placement"
)

// An engine must not begin a call on outdated weights once VersionTime has passed since
// a newer version was named. The bounds of a call on such an engine are:
//
//   - SendOptions.Deadline, at versionEnd or before: the engine ends its work on the call, if it
//     has read the call at once. The balancer chooses it so that a call that is read up to
//     maxServerSilence later begins in time as well;
//   - the end of VersionTime, maxNamingDelay and networkDelay after versionEnd;
//   - usualResponseTime: the response or refusal of an engine that was not silent must have
//     arrived, else the entry searches for another engine;
//   - latestResponseTime: the entry gives up the attempt.

const (
	// maxNamingDelay is how much later than other entries, or than the platform's
	// confirmation, this entry may learn of a version.
	maxNamingDelay = 150 * time.Millisecond
	// networkDelay is the time allowed for a call to reach a server.
	networkDelay = 250 * time.Millisecond
	// maxServerSilence is how long a healthy server may neither read nor write. A server starts
	// its own timer when it reads the call.
	maxServerSilence = 1200 * time.Millisecond
)

// usableVersions returns a function that says whether engines with a version of the weights
// may answer the call and, if that version is outdated, for how long.
//
// A stream continues only on the version that began it. Otherwise any version may
// answer, an outdated one until its time is over.
func (j *job) usableVersions(now time.Time) func(placement.ModelVersion) (placement.Eligibility, time.Duration) {
	names := j.g.view.Load().names[j.service.Model]
	return func(v placement.ModelVersion) (placement.Eligibility, time.Duration) {
		if v == 0 || !j.mayContinueOn(v) {
			return placement.Ineligible, 0
		}
		end, outdated := j.g.versionEnd(names, v)
		switch left := end.Sub(now); {
		case !outdated:
			return placement.Eligible, 0
		case left > 0:
			return placement.EligibleOutdated, left
		default:
			return placement.Ineligible, 0
		}
	}
}

// mayContinueOn reports whether an engine with a version of the weights can continue what
// the caller has received.
func (j *job) mayContinueOn(v placement.ModelVersion) bool {
	begunOn := placement.ModelVersion(j.reply.progress.Version())
	return begunOn == 0 || v == begunOn
}

// versionEnd returns when an outdated version may no longer be used. It returns false if
// the version is not outdated.
func (g *Gateway) versionEnd(names loading.NamedVersions, v placement.ModelVersion) (time.Time, bool) {
	since, outdated := names.OutdatedSince(uint64(v))
	return since.Add(g.opts.VersionTime - maxNamingDelay - networkDelay), outdated
}

// usualResponseTime returns when the response or refusal of a server that is not silent has
// arrived: its deadline and the network delays of the call and the response.
func (j *job) usualResponseTime(until time.Time) time.Time {
	return earlier(j.deadline, until.Add(2*networkDelay))
}

// latestResponseTime returns when the response or refusal of a server must have arrived. The
// server counts its deadline from when it reads the call, which is later if it is silent.
func (j *job) latestResponseTime(until time.Time) time.Time {
	return earlier(j.deadline, until.Add(2*networkDelay+maxServerSilence))
}

// forwardUntil returns until when a response that has started is forwarded. No error response can
// take its place, so it may use all of the caller's timeout.
func (j *job) forwardUntil() time.Time { return j.deadline.Add(responseMargin) }

// latestEventTime is like latestResponseTime for the rest of a response that has started.
func (j *job) latestEventTime(until time.Time) time.Time {
	return earlier(j.forwardUntil(), until.Add(2*networkDelay+maxServerSilence))
}

// startDeadline returns the deadline for the start of the response of a server that ends
// its work at until. A newer version may be named while the call waits at an engine. The
// deadline sent to the engine does not account for that, so this one does.
func (j *job) startDeadline(now time.Time, server placement.Server, until time.Time) time.Time {
	if j.service.Engine == nil || until.Before(j.deadline) {
		return j.latestResponseTime(until)
	}
	end, outdated := j.versionEndAt(server)
	if !outdated {
		end = now.Add(j.g.opts.VersionTime - maxNamingDelay - networkDelay)
	}
	return earlier(j.deadline, end)
}

// isVersionExpired reports whether the version of a server is outdated and may no longer be
// used.
func (j *job) isVersionExpired(now time.Time, server placement.Server) bool {
	end, outdated := j.versionEndAt(server)
	return outdated && !now.Before(end)
}

// versionEndAt is versionEnd for the version that a server has loaded.
func (j *job) versionEndAt(server placement.Server) (time.Time, bool) {
	return j.g.versionEnd(j.g.view.Load().names[j.service.Model], server.LoadedVersion)
}
