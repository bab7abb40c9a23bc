// Package balance decides which backend server a request goes to.
//
// The control goroutine publishes an immutable Snapshot made from what the
// agents report; traffic goroutines call Pick on the latest one. What an
// entry knows exactly, its own requests in flight and how they ended, lives
// in a Tracker that all snapshots share.
//
// Safe for concurrent use: every method of Snapshot and Tracker, and
// Choice.Release. A Rand that several goroutines share must be safe itself; a
// *rand.Rand is not.
package balance

import (
	"net/netip"
	"time"

	"chivespindle.example/core/fleet"
	"chivespindle.example/core/serving"
)

// Rand is the source of chance. A *rand.Rand of math/rand/v2 fits.
type Rand interface {
	// IntN returns a number in [0, n); n must be above 0.
	IntN(n int) int
	// Float64 returns a number in [0, 1).
	Float64() float64
}

// Server is one backend server as its agent describes it.
type Server struct {
	ID fleet.InstanceID
	fleet.Place
	Addr    netip.AddrPort // UDP address of its agent
	Service fleet.ServiceName
	Version fleet.Version // what it answers from; zero for a plain service
	Report  Report
	// Draining is true for a server that takes no new work: it leaves or
	// changes its version.
	Draining bool
	// ServingSince is when it began to answer from Version, as its agent
	// tells; zero: long ago. It takes its share of requests by and by.
	ServingSince time.Time
	// ConcurrencyLimit is the highest number of this entry's own requests at the server
	// at once, as an adaptive limit found it; 0: none.
	ConcurrencyLimit int
}

// Report is the latest load report of a server. It lags.
type Report struct {
	Load     serving.Load
	Received time.Time // when this entry got it; zero: never
	// AgeOnReceipt is how old the load was already when the report came, 0 if the
	// agent did not say.
	AgeOnReceipt time.Duration
}

// Request is what Pick needs to know of a request.
type Request struct {
	Service fleet.ServiceName
	// PrefixKey names the prompt prefix that a server may have cached; 0:
	// none. Requests with one key gather on few servers.
	PrefixKey uint64
	// Priority is the RFC 9218 urgency, 0 (highest) to 7.
	Priority int
	// Exclude names servers that this request has tried already.
	Exclude []fleet.InstanceID
	// Require names the only server that may take the request: the home of
	// the key of a request that is not idempotent. Empty: any. Pick then
	// passes over load, draining and ejection, since only that server's
	// agent knows whether this is new work or a repeat to be answered from
	// its record; the agent refuses what it must.
	Require fleet.InstanceID
}

// Verdict says what Pick makes of one server for one request.
type Verdict string

const (
	// Eligible: the server may be chosen.
	Eligible Verdict = "eligible"
	// Excluded: the request has tried it already, or requires another.
	Excluded Verdict = "excluded"
	// Draining: the server takes no new work.
	Draining Verdict = "draining"
	// Ejected: its recent answers failed or stalled.
	Ejected Verdict = "ejected"
	// Busy: it refused a request a moment ago and asked for a pause.
	Busy Verdict = "busy"
	// Full: its slots and its short queue are taken, as far as known.
	Full Verdict = "full"
)

// Tier says how near a server is.
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

// Candidate tells an operator how Pick sees one server.
type Candidate struct {
	ID            fleet.InstanceID
	Tier          Tier
	Verdict       Verdict
	InFlight      int     // this entry's own requests there now
	OtherInFlight float64 // estimate of everyone else's requests there
	Slots         float64 // requests the server runs at once
	// Cost is what two servers are compared by, the penalty of a farther tier
	// not included: expected requests for each slot after this one, raised
	// for a cold server.
	Cost          float64
	ReportAge     time.Duration // negative: never reported
	PieceInterval time.Duration // mean time between pieces, as this entry saw it; 0: not known
	EjectionLeft  time.Duration // time left of an ejection, 0 if none
	Preferred     bool          // the server that the prefix key leads to
}

// ResultKind says how a request ended, as far as it tells of the server.
type ResultKind uint8

const (
	// Abandoned: the caller gave up or the request was refused on the entry;
	// says nothing of the server. The zero value.
	Abandoned ResultKind = iota
	// Succeeded: a whole answer came.
	Succeeded
	// Failed: the server or its agent failed, or the connection broke.
	Failed
	// Stalled: no progress within the time allowed; the link may be dead
	// without having closed.
	Stalled
	// Declined: the agent refused the request as not run, being full or
	// draining; says that it is alive.
	Declined
)

// Result ends a Choice.
type Result struct {
	At   time.Time // when it ended
	Kind ResultKind
	// PieceInterval is the mean time between two pieces of the answer, the first one
	// left out, since it may have waited; 0: too few pieces came to tell.
	PieceInterval time.Duration
	// RetryAfter is the pause that a Declined request was given.
	RetryAfter time.Duration
}
