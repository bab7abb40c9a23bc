// Package quarantine detects requests that crash the servers that run them, and parts of
// prompts that crash the servers of every request that has them, and keeps them from
// reaching further servers.
//
// A crash ends all requests that the server had in flight, so a single crash says
// little about any of them. A request is quarantined once it was in flight at three
// crashes without succeeding in between. Entries exchange their observations as
// Reports. Several entries observe the same crash, and reports arrive more than once
// and in any order; merging them is idempotent.
package quarantine

import (
	"slices"
	"sync"
	"time"

	"chivespindle.example/core/feed"
	"chivespindle.example/core/fleet"
)

const (
	// threshold is the number of crashes at which a request is quarantined.
	threshold = 3
	// maxRetriedCrashes is the number of crashes of one of its parts from which on the
	// retry of a request is left to its client.
	maxRetriedCrashes = 2
	// crashTTL is how long a crash counts.
	crashTTL = time.Hour
	// successTTL is how long a success is remembered, so that late reports of earlier
	// crashes do not count.
	successTTL = time.Minute
	// minRestartTime is the minimum time between two crashes of a server that keeps its
	// ID. Observations that are closer together belong to the same crash.
	minRestartTime = time.Second
	// maxRequests bounds the requests that are remembered.
	maxRequests = 512
	// maxCrashes bounds the crashes remembered per request; the newest are kept.
	maxCrashes = 2 * threshold
)

// Report is an entry's observation of a request: that it was in flight at a server
// that crashed or, without a server, that it succeeded.
type Report struct {
	// Request is zero in a report of the success of parts.
	Request Fingerprint      `cbor:"1,keyasint"`
	Server  fleet.InstanceID `cbor:"2,keyasint,omitzero"`
	AgeMS   int64            `cbor:"3,keyasint,omitzero"`
	// Parts are the parts of the request that may have caused the crash or, without a
	// server, those that requests with a response have.
	Parts []Part `cbor:"4,keyasint,omitempty"`
}

// isPartSuccess reports whether the report is of the success of parts.
func (r Report) isPartSuccess() bool {
	return r.Request == Fingerprint{} && r.Server == "" && len(r.Parts) > 0
}

// Status is what is known about a request.
type Status struct {
	// Servers are the servers that crashed with the request in flight since it last
	// succeeded.
	Servers []fleet.InstanceID
	// Until is when a quarantined request may be sent again.
	Until time.Time
	// Part is the quarantined part of the request, if that is the reason. Servers then
	// crashed with requests with the part in flight.
	Part Part
	// PartCrashes is the largest number of crashes that may have been caused by one of
	// the request's parts, of those that no server is known to have responded to.
	PartCrashes int
}

// IsQuarantined reports whether the request must not be sent to any server.
func (s Status) IsQuarantined() bool { return len(s.Servers) >= threshold || s.Part != "" }

// IsSuspect reports whether the request may have crashed a server.
func (s Status) IsSuspect() bool { return len(s.Servers) > 0 || s.PartCrashes > 0 }

// CanRetry reports whether the request may be sent to another server after its
// connection broke. One crash short of quarantine the decision is left to the
// client, whose retry may succeed and clear the request.
func (s Status) CanRetry() bool {
	return !s.IsQuarantined() && len(s.Servers) < threshold-1 && s.PartCrashes < maxRetriedCrashes
}

// Registry holds the observations of this entry and others. It is safe for
// concurrent use.
type Registry struct {
	mu         sync.Mutex
	requests   map[Fingerprint]*record
	unresolved []unresolvedAttempt // oldest first
	parts      parts
	counter    feed.Counter
}

// record holds the observations of one request.
type record struct {
	crashes []observation // oldest first
	// success is the newest success; zero if there is none.
	success observation
	// isPinned is true if a quarantined part was in flight at one of the crashes. Such a
	// record is evicted last, since it explains the quarantine to other entries.
	isPinned bool
}

// observation is one crash or success.
type observation struct {
	server fleet.InstanceID
	at     time.Time
	mark   feed.Mark
	// parts are the parts of the request that may have caused the crash.
	parts []Part
}

// New returns an empty registry.
func New() *Registry {
	return &Registry{requests: make(map[Fingerprint]*record), parts: newParts()}
}

// IsEmpty reports whether no request is known to have been in flight at a crash, in
// which case callers need not compute the fingerprint of a request.
func (r *Registry) IsEmpty() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.requests) == 0 && len(r.parts.records) == 0
}

// Status returns what is known about a request with the given parts.
func (r *Registry) Status(now time.Time, request Fingerprint, parts ...Part) Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.status(now, request, parts)
}

func (r *Registry) status(now time.Time, request Fingerprint, parts []Part) Status {
	r.settle()
	var s Status
	if rec := r.requests[request]; rec != nil {
		rec.expire(now)
		s = r.statusOf(rec)
	}
	for _, part := range parts {
		if v, ok := r.parts.quarantined[part]; ok && now.Before(v.until) {
			return Status{Servers: v.servers, Until: v.until, Part: part}
		}
		if !r.parts.hasProof(part) {
			s.PartCrashes = max(s.PartCrashes, r.parts.crashes(part))
		}
	}
	return s
}

// settle updates the quarantined parts after new observations.
func (r *Registry) settle() {
	if !r.parts.isStale {
		return
	}
	hadAny := len(r.parts.quarantined) > 0
	r.parts.settle()
	if !hadAny && len(r.parts.quarantined) == 0 {
		return
	}
	for _, rec := range r.requests {
		rec.isPinned = slices.ContainsFunc(rec.crashes, func(o observation) bool {
			return slices.ContainsFunc(o.parts, r.parts.isQuarantined)
		})
	}
}

// TakePartChanges returns the starts and ends of quarantines of parts since the last call.
func (r *Registry) TakePartChanges() []PartChange {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.settle()
	changes := r.parts.changes
	r.parts.changes = nil
	return changes
}

// Crashed records this entry's observation that a server crashed with a request in
// flight, and returns the resulting status of the request. parts are those of the
// request's parts that may have caused the crash: none if the server had responded to it
// for a while.
func (r *Registry) Crashed(now time.Time, request Fingerprint, server fleet.InstanceID, parts ...Part) Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.add(now, request, observation{server: server, at: now, parts: r.parts.suspects(now, parts)}, feed.Local)
	return r.status(now, request, parts)
}

// Proved records that a server started to respond to a request with these parts at the
// given time and has not crashed since. A part that crashes every server that starts to
// respond to it would not have been proved, so its earlier crashes do not count.
func (r *Registry) Proved(at time.Time, parts []Part) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, part := range parts {
		r.parts.proofs.add(part, at)
		if r.parts.proved(part, at) {
			r.parts.records[part].mark = r.counter.Mark(feed.Local)
		}
	}
}

// Succeeded discards the earlier crashes of a request: one that crashes every server
// would not have succeeded. Successes of requests without crashes are not recorded.
func (r *Registry) Succeeded(now time.Time, request Fingerprint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if rec := r.requests[request]; rec != nil && len(rec.crashes) > 0 {
		r.add(now, request, observation{at: now}, feed.Local)
	}
}

func (r *Registry) add(now time.Time, request Fingerprint, o observation, from feed.Source) {
	o.mark = r.counter.Mark(from)
	if r.record(now, request).add(o) {
		r.parts.crashed(request, o)
	}
}

// record returns the record of a request. A new one may evict another.
func (r *Registry) record(now time.Time, request Fingerprint) *record {
	if rec := r.requests[request]; rec != nil {
		rec.expire(now)
		return rec
	}
	if len(r.requests) >= maxRequests {
		r.evict(now)
	}
	rec := &record{}
	r.requests[request] = rec
	return rec
}

// DropExpired drops expired observations and empty records.
func (r *Registry) DropExpired(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropExpired(now)
}

func (r *Registry) dropExpired(now time.Time) {
	for request, rec := range r.requests {
		rec.expire(now)
		if rec.isEmpty() {
			delete(r.requests, request)
		}
	}
	r.parts.dropExpired(now)
}

// evict drops expired records or, if there are none, the oldest record of those with
// the fewest crashes.
func (r *Registry) evict(now time.Time) {
	r.dropExpired(now)
	if len(r.requests) < maxRequests {
		return
	}
	var least Fingerprint
	var leastRec *record
	for request, rec := range r.requests {
		if leastRec == nil || rec.isEvictedBefore(leastRec) {
			least, leastRec = request, rec
		}
	}
	delete(r.requests, least)
}

// statusOf returns the status of a request by its own crashes. Those that a quarantined
// part explains do not count.
func (r *Registry) statusOf(rec *record) Status {
	var s Status
	var counted []observation
	for _, c := range rec.crashes {
		if !r.parts.isExplained(c) {
			counted = append(counted, c)
			s.Servers = append(s.Servers, c.server)
		}
	}
	if n := len(counted); n >= threshold {
		s.Until = counted[n-threshold].at.Add(crashTTL)
	}
	return s
}

// add adds an observation unless it is already known or a later success cancels it. It
// reports whether it added a crash.
func (rec *record) add(o observation) bool {
	if o.server == "" {
		rec.succeed(o)
		return false
	}
	if !o.at.After(rec.success.at) || slices.ContainsFunc(rec.crashes, o.isSameCrash) {
		return false
	}
	at := len(rec.crashes)
	for at > 0 && rec.crashes[at-1].at.After(o.at) {
		at--
	}
	rec.crashes = slices.Insert(rec.crashes, at, o)
	if over := len(rec.crashes) - maxCrashes; over > 0 {
		rec.crashes = slices.Delete(rec.crashes, 0, over)
	}
	return true
}

func (rec *record) succeed(o observation) {
	if !o.at.After(rec.success.at) {
		return
	}
	rec.success = o
	rec.crashes = slices.DeleteFunc(rec.crashes, func(c observation) bool { return !c.at.After(o.at) })
}

// expire drops the observations that have reached their TTL.
func (rec *record) expire(now time.Time) {
	rec.crashes = slices.DeleteFunc(rec.crashes, func(c observation) bool { return now.Sub(c.at) >= crashTTL })
	if now.Sub(rec.success.at) >= successTTL {
		rec.success = observation{}
	}
}

func (rec *record) isEmpty() bool { return len(rec.crashes) == 0 && rec.success.at.IsZero() }

// isEvictedBefore reports whether rec is evicted before other.
func (rec *record) isEvictedBefore(other *record) bool {
	if rec.isPinned != other.isPinned {
		return other.isPinned
	}
	if len(rec.crashes) != len(other.crashes) {
		return len(rec.crashes) < len(other.crashes)
	}
	return rec.newest().Before(other.newest())
}

func (rec *record) newest() time.Time {
	if n := len(rec.crashes); n > 0 {
		return rec.crashes[n-1].at
	}
	return rec.success.at
}

func (o observation) isSameCrash(other observation) bool {
	return o.server == other.server && o.at.Sub(other.at).Abs() < minRestartTime
}
