// Package wire defines the messages that processes of the system send each other over
// the peer transport. The codec is CBOR with integer keys: an earlier release ignores a
// field that a later one adds, and a number is never reused.
package wire

import (
	"chivespindle.example/core/admission"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/gossip"
	"chivespindle.example/core/revision"
	"chivespindle.example/core/serving"
)

// Gossip is what neighbours send each other, with every heartbeat and after each
// change. Stream: peer.KindGossip, long-lived, both directions.
type Gossip struct {
	Records  []gossip.Record   `cbor:"1,keyasint,omitempty"`
	Revision revision.Revision `cbor:"2,keyasint"`
	Digest   fleet.Digest      `cbor:"3,keyasint"`
}

// ConfigRequest requests the active configuration of a peer. Stream: peer.KindConfig,
// one request and one response.
type ConfigRequest struct {
	// Digest is the digest of the requester's active configuration; zero for none.
	Digest fleet.Digest `cbor:"1,keyasint"`
}

// ConfigHeader starts the response; Sections messages of fleettext.Section follow. They
// lead from the configuration with the digest Base, zero for none, to the one with
// Digest. Revision 0 means that the peer has no active configuration.
type ConfigHeader struct {
	Revision revision.Revision `cbor:"1,keyasint"`
	Digest   fleet.Digest      `cbor:"2,keyasint"`
	Base     fleet.Digest      `cbor:"3,keyasint"`
	Removed  []string          `cbor:"4,keyasint,omitempty"`
	Sections int               `cbor:"5,keyasint"`
}

// ChunkRequest opens a stream of peer.KindChunk. With Exchange the stream stays open
// and carries ChunkUpdate in both directions; without it the response is one
// ChunkHeader and the chunk's bytes.
type ChunkRequest struct {
	Manifest fleet.Digest `cbor:"1,keyasint"`
	Exchange bool         `cbor:"2,keyasint"`
	Index    int          `cbor:"3,keyasint"`
}

// ChunkUpdate reports to a neighbour what has changed since the last ChunkUpdate. Have
// and Seen are indexes; the first message of a stream lists all.
type ChunkUpdate struct {
	Have []int `cbor:"1,keyasint,omitempty"`
	Seen []int `cbor:"2,keyasint,omitempty"`
}

// ChunkStatus is the status of the response to a chunk request.
type ChunkStatus uint8

const (
	// ChunkFollows: Bytes bytes of the chunk follow.
	ChunkFollows ChunkStatus = iota + 1
	// ChunkBusy: all upload slots are in use; retry later or elsewhere.
	ChunkBusy
	// ChunkMissing: this process does not hold the chunk.
	ChunkMissing
)

// ChunkHeader starts the response to a chunk request.
type ChunkHeader struct {
	Status ChunkStatus `cbor:"1,keyasint"`
	Bytes  int         `cbor:"2,keyasint"`
}

// Request opens a stream of peer.KindRequest; BodyBytes bytes of body follow in raw
// frames. The response is a sequence of ResponsePart.
type Request struct {
	ID             string            `cbor:"1,keyasint"`
	Service        fleet.ServiceName `cbor:"2,keyasint"`
	Path           string            `cbor:"3,keyasint,omitempty"`
	Workspace      fleet.Workspace   `cbor:"4,keyasint,omitempty"`
	IdempotencyKey string            `cbor:"5,keyasint,omitempty"`
	NonIdempotent  bool              `cbor:"6,keyasint,omitempty"`
	Priority       int               `cbor:"7,keyasint"`
	Traceparent    string            `cbor:"8,keyasint,omitempty"`
	// Deadline is the caller's deadline on the agent's clock.
	Deadline  admission.Deadline `cbor:"9,keyasint"`
	BodyBytes int                `cbor:"11,keyasint"`
}

// ResponsePart is one part of the response to a Request: one ResponseHeader, then
// pieces, then one ResponseEnd. A request that was not run has only the end.
type ResponsePart struct {
	Piece  []byte          `cbor:"1,keyasint,omitempty"`
	End    *ResponseEnd    `cbor:"2,keyasint,omitempty"`
	Header *ResponseHeader `cbor:"3,keyasint,omitempty"`
}

// IsSingle reports whether the part holds at most one of header, piece and end. If it
// held more, one of them would be dropped silently.
func (p ResponsePart) IsSingle() bool {
	if len(p.Piece) > 0 {
		return p.Header == nil && p.End == nil
	}
	return p.Header == nil || p.End == nil
}

// ResponseHeader is what is known once the backend server responds.
type ResponseHeader struct {
	Status  int           `cbor:"1,keyasint"`
	Version fleet.Version `cbor:"2,keyasint"`
}

// Outcome codes on the wire. They are separate from failure.Outcome so that the zero
// value of a garbled message is read as unknown.
const (
	OutcomeUnknown = 0
	OutcomeNotRun  = 1
	OutcomeRan     = 2
)

// ResponseEnd ends a response. For OutcomeRan it follows the last piece.
type ResponseEnd struct {
	Outcome int           `cbor:"1,keyasint"`
	ID      string        `cbor:"2,keyasint"`
	Status  int           `cbor:"3,keyasint,omitempty"`
	Version fleet.Version `cbor:"4,keyasint"`
	Reason  string        `cbor:"5,keyasint,omitempty"`
	// RetryAfterMS is the time after which the caller may retry; 0 if not set.
	RetryAfterMS int64 `cbor:"6,keyasint,omitempty"`
	// DecidedByHome is true if Outcome is what the home of the idempotency key knows
	// about the key, not only about this request.
	DecidedByHome bool `cbor:"7,keyasint,omitempty"`
	// Duplicate is true if a request with the key was accepted before and its response
	// is not included here.
	Duplicate bool `cbor:"8,keyasint,omitempty"`
	// QueueFull is true if the request was refused because the queue had no room for it
	// in time. A request of a higher priority may still be accepted.
	QueueFull bool `cbor:"9,keyasint,omitempty"`
}

// ReportRequest opens a stream of peer.KindReport. An agent responds with Report
// messages, an entry with Demand messages.
type ReportRequest struct{}

// Demand is the rate of requests of each workspace at an entry, in requests per second,
// admitted or not. It is sent every second.
type Demand struct {
	Rates map[fleet.Workspace]float64 `cbor:"1,keyasint,omitempty"`
}

// Report is what an agent sends to an entry that subscribed with a stream of
// peer.KindReport: immediately on any change of State, Leaving or Serving, and every
// half second.
type Report struct {
	Service fleet.ServiceName `cbor:"1,keyasint"`
	State   gossip.State      `cbor:"2,keyasint"`
	Leaving bool              `cbor:"3,keyasint"`
	// Admitting is false while the agent refuses requests as not run.
	Admitting bool          `cbor:"4,keyasint"`
	Serving   fleet.Version `cbor:"5,keyasint"`
	Load      serving.Load  `cbor:"6,keyasint"`
	// Clock is the agent's clock, read just before sending. Its Incarnation is the
	// agent's incarnation, part of the keys that are issued for it.
	Clock admission.ClockReading `cbor:"7,keyasint"`
}
