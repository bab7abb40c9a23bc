package gateway

import (
	"time"

	"chivespindle.example/core/loading"
	"chivespindle.example/core/placement"
)

// An engine may begin nothing on outdated weights from VersionTime after the naming
// of a newer version on. What bounds a call there, in the order of time:
//
//   - versionEnd: the engine ends its work on the call, as it was told in Order.Until;
//   - the bound itself, heardLate and onTheWay later;
//   - latestResponseTime: the engine's answer or refusal is here, or the entry gives it up.

const (
	// heardLate is how much later than others, or than the platform confirmed it,
	// this entry may have heard of a version.
	heardLate = 150 * time.Millisecond
	// onTheWay is the time that a call is given to reach a server, which counts its own
	// time from the call's arrival.
	onTheWay = 250 * time.Millisecond
)

// versions tells which weights may answer.
//
// A stream goes on only on the version that began it. Otherwise the wanted
// version answers, or the one before for as long as its time lasts.
func (j *job) versions(now time.Time) func(placement.ModelVersion) (placement.Use, time.Duration) {
	names := j.g.view.Load().names[j.service.Model]
	return func(v placement.ModelVersion) (placement.Use, time.Duration) {
		if v == 0 || !j.mayContinueOn(v) {
			return placement.NoUse, 0
		}
		end, outdated := j.g.versionEnd(names, v)
		switch left := end.Sub(now); {
		case !outdated:
			return placement.FullUse, 0
		case left > 0:
			return placement.UseOutdated, left
		default:
			return placement.NoUse, 0
		}
	}
}

// mayContinueOn reports whether an engine of a version can go on with what the caller
// has of its answer.
func (j *job) mayContinueOn(v placement.ModelVersion) bool {
	begunOn := placement.ModelVersion(j.reply.progress.Version())
	return begunOn == 0 || v == begunOn
}

// versionEnd returns when the use of an outdated version ends; false if it is
// not outdated.
func (g *Gateway) versionEnd(names loading.NamedVersions, v placement.ModelVersion) (time.Time, bool) {
	since, outdated := names.OutdatedSince(uint64(v))
	return since.Add(g.opts.VersionTime - heardLate - onTheWay), outdated
}

// latestResponseTime is when a server's answer or refusal must have come: its way and that of
// the call after the time that the server was given.
func (j *job) latestResponseTime(until time.Time) time.Time {
	return earlier(j.deadline, until.Add(2*onTheWay))
}

// beginBy is when the answer must have begun at a server that ends its work at
// until. A version may be named while the call waits that was not when it was sent:
// the engine was told nothing of that one.
func (j *job) beginBy(now time.Time, server placement.Server, until time.Time) time.Time {
	if j.service.Engine == nil || until.Before(j.deadline) {
		return j.latestResponseTime(until)
	}
	end, outdated := j.versionEndAt(server)
	if !outdated {
		end = now.Add(j.g.opts.VersionTime - heardLate - onTheWay)
	}
	return earlier(j.deadline, end)
}

// isOutOfTime reports whether a server's version is outdated and its time over.
func (j *job) isOutOfTime(now time.Time, server placement.Server) bool {
	end, outdated := j.versionEndAt(server)
	return outdated && !now.Before(end)
}

// versionEndAt is versionEnd for the version that a server holds.
func (j *job) versionEndAt(server placement.Server) (time.Time, bool) {
	return j.g.versionEnd(j.g.view.Load().names[j.service.Model], server.Loaded)
}
