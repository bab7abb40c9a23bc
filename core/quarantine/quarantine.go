// Package quarantine detects requests that crash the servers that run them and
// keeps them from reaching further servers.
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
	Request Fingerprint      `cbor:"1,keyasint"`
	Server  fleet.InstanceID `cbor:"2,keyasint,omitzero"`
	AgeMS   int64            `cbor:"3,keyasint,omitzero"`
}

// Status is what is known about a request.
type Status struct {
	// Servers are the servers that crashed with the request in flight since it last
	// succeeded.
	Servers []fleet.InstanceID
	// Until is when a quarantined request may be sent again.
	Until time.Time
}

// IsQuarantined reports whether the request must not be sent to any server.
func (s Status) IsQuarantined() bool { return len(s.Servers) >= threshold }

// IsSuspect reports whether the request may have crashed a server.
func (s Status) IsSuspect() bool { return len(s.Servers) > 0 }

// CanRetry reports whether the request may be sent to another server after its
// connection broke. One crash short of quarantine the decision is left to the
// client, whose retry may succeed and clear the request.
func (s Status) CanRetry() bool { return len(s.Servers) < threshold-1 }

// Registry holds the observations of this entry and others. It is safe for
// concurrent use.
type Registry struct {
	mu         sync.Mutex
	requests   map[Fingerprint]*record
	unresolved []unresolvedAttempt // oldest first
	counter    feed.Counter
}

// record holds the observations of one request.
type record struct {
	crashes []observation // oldest first
	// success is the newest success; zero if there is none.
	success observation
}

// observation is one crash or success.
type observation struct {
	server fleet.InstanceID
	at     time.Time
	mark   feed.Mark
}

// New returns an empty registry.
func New() *Registry {
	return &Registry{requests: make(map[Fingerprint]*record)}
}

// IsEmpty reports whether no request is known to have been in flight at a crash, in
// which case callers need not compute the fingerprint of a request.
func (r *Registry) IsEmpty() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.requests) == 0
}

// Status returns what is known about a request.
func (r *Registry) Status(now time.Time, request Fingerprint) Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec := r.requests[request]
	if rec == nil {
		return Status{}
	}
	rec.expire(now)
	return rec.status()
}

// Crashed records this entry's observation that a server crashed with a request in
// flight, and returns the resulting status of the request.
func (r *Registry) Crashed(now time.Time, request Fingerprint, server fleet.InstanceID) Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec := r.record(now, request)
	r.add(rec, observation{server: server, at: now}, feed.Local)
	return rec.status()
}

// Succeeded discards the earlier crashes of a request: one that crashes every server
// would not have succeeded. Successes of requests without crashes are not recorded.
func (r *Registry) Succeeded(now time.Time, request Fingerprint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec := r.requests[request]
	if rec == nil || len(rec.crashes) == 0 {
		return
	}
	r.add(rec, observation{at: now}, feed.Local)
}

func (r *Registry) add(rec *record, o observation, from feed.Source) {
	o.mark = r.counter.Mark(from)
	rec.add(o)
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

func (rec *record) status() Status {
	var s Status
	for _, c := range rec.crashes {
		s.Servers = append(s.Servers, c.server)
	}
	if n := len(rec.crashes); n >= threshold {
		s.Until = rec.crashes[n-threshold].at.Add(crashTTL)
	}
	return s
}

// add adds an observation unless it is already known or a later success cancels it.
func (rec *record) add(o observation) {
	if o.server == "" {
		rec.succeed(o)
		return
	}
	if !o.at.After(rec.success.at) || slices.ContainsFunc(rec.crashes, o.isSameCrash) {
		return
	}
	at := len(rec.crashes)
	for at > 0 && rec.crashes[at-1].at.After(o.at) {
		at--
	}
	rec.crashes = slices.Insert(rec.crashes, at, o)
	if over := len(rec.crashes) - maxCrashes; over > 0 {
		rec.crashes = slices.Delete(rec.crashes, 0, over)
	}
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
