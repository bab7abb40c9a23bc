// Package balance chooses the backend server for each request.
//
// The control goroutine publishes an immutable Snapshot built from the agents'
// reports; request goroutines call Pick on the latest one. What an entry knows
// exactly, its own requests in flight and their results, is kept in a Tracker
// that all snapshots share.
//
// All methods of Snapshot and Tracker and Choice.Release are safe for
// concurrent use. A Rand that several goroutines share must be safe for
// concurrent use as well, which a *rand.Rand is not.
package balance

import (
	"net/netip"
	"time"

	"chivespindle.example/core/fleet"
	"chivespindle.example/core/serving"
)

// Rand is a source of random numbers. A *rand.Rand of math/rand/v2 implements
// it.
type Rand interface {
	// IntN returns a number in [0, n); n must be above 0.
	IntN(n int) int
	// Float64 returns a number in [0, 1).
	Float64() float64
}

// Server is one backend server as described by its agent.
type Server struct {
	ID fleet.InstanceID
	fleet.Place
	Addr    netip.AddrPort // UDP address of its agent
	Service fleet.ServiceName
	Version fleet.Version // version that it serves; zero for a plain service
	Report  Report
	// Draining is true for a server that takes no new requests because it is
	// leaving or changing its version.
	Draining bool
	// ServingSince is when it began to serve Version, as reported by its agent;
	// zero: long ago. The server's share of requests is ramped up from then on.
	ServingSince time.Time
	// ConcurrencyLimit is the maximum number of this entry's own requests in
	// flight at the server, as determined by an adaptive limit; 0: none.
	ConcurrencyLimit int
}

// Report is the latest load report of a server. It lags behind the actual load.
type Report struct {
	Load     serving.Load
	Received time.Time // when this entry received it; zero: never
	// AgeOnReceipt is how old the load already was when the report was
	// received, 0 if the agent did not say.
	AgeOnReceipt time.Duration
}

// Request holds the properties of a request that Pick depends on.
type Request struct {
	Service fleet.ServiceName
	// PrefixKey identifies the prompt prefix that a server may have cached; 0:
	// none. Requests with the same key are concentrated on few servers.
	PrefixKey uint64
	// Priority is the RFC 9218 urgency, 0 (highest) to 7.
	Priority int
	// Exclude lists servers that this request has already tried.
	Exclude []fleet.InstanceID
	// Require names the only server that may take the request: the home of the
	// key of a non-idempotent request. Empty: any. Pick then ignores load,
	// draining and ejection, because only that server's agent knows whether the
	// request is new work or a retry to be answered from its record. The agent
	// refuses the request if it has to.
	Require fleet.InstanceID
}

// Verdict is Pick's assessment of one server for one request.
type Verdict string

const (
	// Eligible: the server may be chosen.
	Eligible Verdict = "eligible"
	// Excluded: the request has already tried it, or requires another.
	Excluded Verdict = "excluded"
	// Draining: the server takes no new requests.
	Draining Verdict = "draining"
	// Ejected: its recent responses failed or stalled.
	Ejected Verdict = "ejected"
	// Busy: it recently refused a request and asked for a delay.
	Busy Verdict = "busy"
	// Full: its slots and its short queue are occupied, as far as known.
	Full Verdict = "full"
)

// Tier is the distance of a server from the entry.
type Tier uint8

const (
	// SameZone: in the entry's own availability zone.
	SameZone Tier = iota
	// SameRegion: in another availability zone of the same region.
	SameRegion
	// OtherRegion: in another region.
	OtherRegion

	tierCount = 3
)

// String returns "zone", "region" or "fleet".
func (t Tier) String() string {
	switch t {
	case SameZone:
		return "zone"
	case SameRegion:
		return "region"
	default:
		return "fleet"
	}
}

// Candidate shows an operator how Pick assesses one server.
type Candidate struct {
	ID            fleet.InstanceID
	Tier          Tier
	Verdict       Verdict
	InFlight      int     // this entry's own requests in flight there
	OtherInFlight float64 // estimate of all other requests there
	Slots         float64 // requests the server runs at once
	// Cost is the value by which two servers are compared, without the penalty
	// of a farther tier: expected requests per slot including this one, raised
	// during a slow start.
	Cost          float64
	ReportAge     time.Duration // negative: never reported
	PieceInterval time.Duration // mean time between pieces, as observed by this entry; 0: unknown
	EjectionLeft  time.Duration // remaining time of an ejection, 0 if none
	Preferred     bool          // the server that the prefix key selects
}

// ResultKind says how a request ended, as far as that says something about the
// server.
type ResultKind uint8

const (
	// Abandoned: the caller gave up or the entry refused the request; says
	// nothing about the server. The zero value.
	Abandoned ResultKind = iota
	// Succeeded: a complete response was received.
	Succeeded
	// Failed: the server or its agent failed, or the connection broke.
	Failed
	// Stalled: no progress within the time allowed; the link may be dead
	// without having closed.
	Stalled
	// Declined: the agent refused the request without running it because it is
	// full or draining, which shows that it is alive.
	Declined
)

// Result is passed to Choice.Release.
type Result struct {
	At   time.Time // when it ended
	Kind ResultKind
	// PieceInterval is the mean time between two pieces of the response,
	// without the wait for the first one, which may include queueing; 0: too
	// few pieces to tell.
	PieceInterval time.Duration
	// RetryAfter is the delay that came with a Declined request.
	RetryAfter time.Duration
}
