package gateway

import (
	"context"
	"net/netip"
	"time"

	"chivespindle.example/adapters/eventstream"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/memlimit"
	"chivespindle.example/core/placement"
	"chivespindle.example/core/priority"
)

// Call is a caller's request, decoded by the platform's adapter.
type Call struct {
	// ID is the caller's identifier of this request. A retry has another one.
	ID string
	// Host and Path select the route.
	Host, Path string
	// Method, Target (the path with the query) and Body are the request's content.
	Method, Target string
	Body           []byte
	// Key identifies the workspace. It is empty if the caller sent none.
	Key string
	// Arrived is when the head of the request was read, Received when all of it was.
	Arrived, Received time.Time
	// IsReusedConn is true if the connection has carried an earlier call.
	IsReusedConn bool
	// Timeout is the caller's timeout, 0 if it sent none.
	Timeout time.Duration
	// PromptTokens is the number of prompt tokens, MaxTokens the maximum number of
	// generated tokens.
	PromptTokens, MaxTokens int
	// ExpectedTokens is the caller's estimate of the number of generated tokens, 0 if
	// unknown.
	ExpectedTokens int
	// SharedParts are the IDs of the prompt's parts that other calls may have in common
	// with this one, in order.
	SharedParts []string
	// LastEvent is the last event that the caller has; -1 for none.
	LastEvent int64
	// Native is the adapter's own representation of the request.
	Native any
}

// SendOptions describes one attempt of a call at a server.
type SendOptions struct {
	Server    placement.Server
	Workspace fleet.Workspace
	// Level is the urgency of the call. HasLevel is false if the configuration has a
	// single level, so that servers are told of none.
	Level    priority.Level
	HasLevel bool
	// Deadline is when the server ends its work on the call, whether or not it has
	// begun.
	Deadline time.Time
	// StartDeadline is the deadline for the start of the response.
	StartDeadline time.Time
	// OnSilence is called by the goroutine that reads the response when nothing has arrived
	// by StartDeadline, or by the deadline that Response.SetDeadline set last. It returns a
	// later one, or false to let the read fail.
	OnSilence func(now time.Time) (until time.Time, wait bool)
	// RequiredVersion is the version of the weights that must answer, 0 if any may.
	RequiredVersion placement.ModelVersion
	// LastEvent is the last event that the caller has; -1 for none.
	LastEvent int64
	// IsRevoked reports whether the server wants no calls any more. It is called once a
	// connection to the server is available: the server may have stated it meanwhile.
	IsRevoked func() bool
}

// Backend forwards calls to servers. An error of Send carries its
// failure.Outcome; NotRun means that no byte was sent. If the call was revoked, the type of
// the error is exchange.Revoked.
type Backend interface {
	Send(ctx context.Context, call *Call, opts SendOptions) (Response, error)
	// Retain drops the state of all servers but the given ones.
	Retain(servers []placement.Server)
	// CheckLiveness reports whether the process of a server has ended. It returns
	// quickly.
	CheckLiveness(ctx context.Context, addr netip.AddrPort) Liveness
}

// Liveness is the result of a check of a server.
type Liveness uint8

const (
	// LivenessUnknown: the check timed out.
	LivenessUnknown Liveness = iota
	// Alive: the server accepts connections.
	Alive
	// Down: the server refuses connections, so its process has ended.
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

// Response is a server's response whose header has been received.
type Response interface {
	Status() int
	// NotRun reports whether the server stated that it did not run the call.
	NotRun() bool
	// Misdirected reports whether the response came from another server or another
	// version than the attempt required.
	Misdirected() bool
	// ImpliesNotRun reports whether callers conclude from the status that the call did
	// not run. The server itself states that only if NotRun is true as well.
	ImpliesNotRun() bool
	// Version is the version of the weights that answers, 0 if the server did not state it.
	Version() placement.ModelVersion
	// State is what the response states about its server.
	State() ServerState
	// IsEventStream reports whether the body is a stream of events.
	IsEventStream() bool
	// EndIsFramed reports whether the end of the body is marked. Otherwise the close of
	// the connection ends it, and a killed server closes its connections too.
	EndIsFramed() bool
	// SetDeadline bounds the reads that follow. SendOptions.OnSilence may extend it.
	SetDeadline(by time.Time)
	// Body returns the whole body, at most limit bytes. It counts them in hold before it
	// buffers them. If the hold may not grow, it returns memlimit.Exceeded and the part
	// that it has read; Read returns the rest.
	Body(limit int64, hold *memlimit.Hold) ([]byte, error)
	// Read returns the next bytes of the body, io.EOF at its end.
	Read(p []byte) (int, error)
	// Next returns the next event of a stream, io.EOF after the last.
	Next() (eventstream.Event, error)
	// Close releases the response. whole is true if its end was read.
	Close(whole bool)
}

// ServerState is what a response states about its server rather than about the call.
type ServerState struct {
	Limit ServerLimit
	// Leaving is true if the server is shutting down and wants no new calls.
	Leaving bool
	Backoff ServerBackoff
	Cold    ServerCold
	// UnknownHeaders are the names of the headers that the adapter does not know.
	UnknownHeaders []string
}

// ServerBackoff is the time for which a server that rejected a call wants no calls from
// this entry.
type ServerBackoff struct {
	// Requested is true if the response requests a backoff.
	Requested bool
	Duration  time.Duration
	// Malformed is the text of the header if it is not a number of seconds.
	Malformed string
}

// ServerCold is for how much longer a server bears only few requests, after its start.
type ServerCold struct {
	// Stated is true if the response states it; Left is then 0 if the server is not cold.
	Stated bool
	Left   time.Duration
	// Malformed is the text of the header if it is not a valid time.
	Malformed string
}

// ServerLimit is the request limit that a response advertises for its server.
type ServerLimit struct {
	// Advertised is true if the response advertises a limit: PerSecond requests per second
	// from all entries together.
	Advertised bool
	PerSecond  float64
	// Malformed is the text of the header if it is not a number.
	Malformed string
}

// Caller receives the response to a call. All methods are called by one goroutine.
//
// A response is complete only after WriteResponse, Complete or Refuse. If it is not when Serve
// returns, the client must be able to see that it is truncated.
type Caller interface {
	// SetWriteDeadline bounds the writes of the response that follow: what the client has not
	// accepted by then is not sent.
	SetWriteDeadline(by time.Time)
	// WriteResponse sends a server's response with its complete body.
	WriteResponse(response Response, body []byte) error
	// Begin sends the header of a server's response. The body follows.
	Begin(response Response) error
	// Write sends a part of the body without buffering it.
	Write(p []byte) error
	// Complete ends a response that Begin has started.
	Complete() error
	// Refuse sends an error response of this entry.
	Refuse(v ErrorResponse)
}

// ErrorResponse is an error response of this entry.
type ErrorResponse struct {
	Code Code
	// RetryAfter is when the caller may retry. It is set only with a code which says
	// that the call did not run.
	RetryAfter time.Duration
	Reason     string
}

// Code classifies a call that is not answered with a server's response.
type Code uint8

const (
	// Unavailable: the call did not run and will not run.
	Unavailable Code = iota + 1
	// NoRoute: no route matches the call.
	NoRoute
	// UnknownKey: the key is unknown.
	UnknownKey
	// ServerFailed: the server failed; the call may have run.
	ServerFailed
	// TimedOut: the deadline passed; the call may have run.
	TimedOut
)

// String returns the word used in logs.
func (c Code) String() string {
	switch c {
	case Unavailable:
		return "unavailable"
	case NoRoute:
		return "no_route"
	case UnknownKey:
		return "no_key"
	case ServerFailed:
		return "broken"
	case TimedOut:
		return "timed_out"
	default:
		return "none"
	}
}
