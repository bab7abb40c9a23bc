package serving

import (
	"context"

	"chivespindle.example/core/fleet"
)

// Load is an engine's own report of its load. It lags behind the actual load.
type Load struct {
	Running int     `cbor:"1,keyasint" json:"running"`
	Waiting int     `cbor:"2,keyasint" json:"waiting"`
	KVUsed  float64 `cbor:"3,keyasint" json:"kv_used"` // share of the KV cache, 0 to 1
	Slots   int     `cbor:"4,keyasint" json:"slots"`   // maximum number of requests run at once; 0: not reported
}

// EngineStatus is the status that an engine reports.
type EngineStatus struct {
	// BootID identifies one run of the engine's process; it changes at each
	// restart.
	BootID string `json:"boot"`
	// Loaded is the version that responses are computed from; zero if none.
	Loaded fleet.Version `json:"loaded"`
	// Loading is true while an order is being carried out; the engine serves no
	// requests then.
	Loading    bool     `json:"loading"`
	Adapters   []string `json:"adapters"`
	EngineRole string   `json:"role"`
	// Fence is the highest fencing number the engine has seen; 0 for an
	// engine that ignores them.
	Fence uint64 `json:"fence"`
	Load  Load   `json:"load"`
}

// Order instructs an engine to change what it serves. Zero fields are left
// unchanged.
type Order struct {
	Fence    uint64        `json:"fence"`
	Version  fleet.Version `json:"version"`
	Adapters []string      `json:"adapters"`
	Role     string        `json:"role"`
}

// Engine sends orders to one model engine. Order returns failure.Refused when
// the engine has seen a higher fencing number. An Order that fails otherwise
// may or may not have been carried out; the result of Status shows which.
type Engine interface {
	Status(ctx context.Context) (EngineStatus, error)
	Order(ctx context.Context, order Order) error
}

// Call is a request as it is forwarded to a backend server.
type Call struct {
	ID             string // unique per attempt; the response must repeat it
	IdempotencyKey string // empty if the caller gave none
	Traceparent    string // W3C trace context of the agent's span
	Path           string // path below the service, "" for the default call
	Priority       int    // RFC 9218 urgency, 0 (highest) to 7
	Body           []byte
}

// Piece is one part of a streamed response.
type Piece struct {
	// Status is the HTTP status of the server; 0 stands for 200.
	Status int
	Data   []byte
}

// Response describes a streamed response after its end.
type Response struct {
	ID      string        // the Call's ID as the server repeated it
	Status  int           // HTTP status of the server
	Version fleet.Version // the version that computed it; zero for a plain service
}

// Backend forwards calls to one backend server, a model engine or a plain
// service.
type Backend interface {
	// Do forwards the call and passes each piece to emit as it arrives; it
	// stops when emit fails or ctx ends. A failure with the outcome
	// failure.NotRun means that the server never received the call or reported
	// that it did not run it.
	Do(ctx context.Context, call Call, emit func(Piece) error) (Response, error)
}
