package gateway

import (
	"context"
	"net/netip"
	"time"

	"chivespindle.example/adapters/eventstream"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/placement"
)

// Call is a caller's request, decoded by the platform's adapter.
type Call struct {
	// ID is the caller's name for this attempt.
	ID string
	// Host and Path select the route.
	Host, Path string
	// Method, Target (the path with the query) and Body are the request's content.
	Method, Target string
	Body           []byte
	// Key names the workspace; empty if the caller gave none.
	Key     string
	Arrived time.Time
	// IsKept is true on a connection that had carried a call before.
	IsKept bool
	// Patience is how long the caller waits; 0 if it did not say.
	Patience time.Duration
	// Prompt and Answer are token counts; Answer is the most that is written.
	Prompt, Answer int
	// Expected is the caller's estimate of the answer's tokens; 0 if unknown.
	Expected int
	// LastEvent is the last event that the caller has; -1 for none.
	LastEvent int64
	// Native is what the adapter needs to pass the call on.
	Native any
}

// Order is one attempt to have a call answered by a server.
type Order struct {
	Server    placement.Server
	Workspace fleet.Workspace
	// Until is when the server is to end its work on the call, whether or not it
	// has begun.
	Until time.Time
	// FirstBy is when the answer must have begun.
	FirstBy time.Time
	// Require is the version that must answer; 0 allows any.
	Require placement.ModelVersion
	// LastEvent is the last event that the caller has; -1 for none.
	LastEvent int64
}

// Backend passes calls on to servers. A failure of Send carries its
// failure.Outcome; NotRun means that no byte was sent.
type Backend interface {
	Send(ctx context.Context, call *Call, order Order) (Answer, error)
	// Keep drops what is kept of servers that are not listed.
	Keep(servers []placement.Server)
	// Check finds out quickly whether a server's process has ended.
	Check(ctx context.Context, addr netip.AddrPort) Liveness
}

// Liveness is what a check of a server found.
type Liveness uint8

const (
	// LivenessUnknown: the check got no answer in its time.
	LivenessUnknown Liveness = iota
	// Alive: the server accepts connections.
	Alive
	// Down: it refuses connections, as one does whose process has ended.
	Down
)

// String returns the word used in logs.
func (l Liveness) String() string {
	switch l {
	case Alive:
		return "alive"
	case Down:
		return "down"
	default:
		return "unknown"
	}
}

// Answer is a server's answer whose header has come.
type Answer interface {
	Status() int
	// NotRun reports whether the server says that it did not run the call.
	NotRun() bool
	// Misdirected reports whether another server than the one that was meant, or
	// another version, answers.
	Misdirected() bool
	// PromisesNotRun reports whether callers take the status for a promise that the call
	// did not run. Without NotRun the server does not say so.
	PromisesNotRun() bool
	// Version is the one that answers; 0 if it was not told.
	Version() placement.ModelVersion
	// Limit is what the server says of the requests that it takes.
	Limit() ServerLimit
	// Streams reports whether the body is a stream of events.
	Streams() bool
	// EndIsFramed reports whether the server marks the end of the body. Otherwise the
	// body ends with its connection, which a killed server closes too.
	EndIsFramed() bool
	// SetDeadline bounds the reads that follow.
	SetDeadline(by time.Time)
	// Body returns the whole body, at most limit bytes.
	Body(limit int64) ([]byte, error)
	// Next returns the next event of a stream, io.EOF after the last.
	Next() (eventstream.Event, error)
	// Close ends the answer. whole tells that its end was read.
	Close(whole bool)
}

// ServerLimit is what an answer says of the requests that its server takes.
type ServerLimit struct {
	// Advertised is true if the answer advertises a limit: PerSecond requests a second
	// from all entries together.
	Advertised bool
	PerSecond  float64
	// Malformed is the header's text if it is no number.
	Malformed string
}

// Caller takes the answer to a call. All methods are called by one goroutine.
//
// An answer is complete only after Whole, Complete or Refuse. One that is not when Serve
// returns must not look so.
type Caller interface {
	// Whole sends a server's answer with its body.
	Whole(answer Answer, body []byte) error
	// Begin sends the header of a server's answer whose body follows.
	Begin(answer Answer) error
	// Write sends a part of the body at once.
	Write(p []byte) error
	// Complete ends a body that Begin has started.
	Complete() error
	// Refuse sends an answer of our own.
	Refuse(v Verdict)
}

// Verdict is an answer of our own.
type Verdict struct {
	Code Code
	// RetryAfter is when the caller may come back; only with a code that says
	// that the call did not run.
	RetryAfter time.Duration
	Reason     string
}

// Code says what is known of a call that got no answer of a server.
type Code uint8

const (
	// Unavailable: the call did not run and will not.
	Unavailable Code = iota + 1
	// NoRoute: no route leads anywhere.
	NoRoute
	// NoKey: the key is unknown.
	NoKey
	// Broken: the server failed; the call may have run.
	Broken
	// TimedOut: the time was up; the call may have run.
	TimedOut
)

// String returns the word used in logs.
func (c Code) String() string {
	switch c {
	case Unavailable:
		return "unavailable"
	case NoRoute:
		return "no_route"
	case NoKey:
		return "no_key"
	case Broken:
		return "broken"
	case TimedOut:
		return "timed_out"
	default:
		return "none"
	}
}
