// Package wire holds the messages that processes of the system send each
// other over the peer transport. The codec is CBOR with integer keys: a field
// that a later release adds is ignored by an earlier one, and a number is
// never used again.
package wire

import (
	"chivespindle.example/core/admission"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/gossip"
	"chivespindle.example/core/revision"
	"chivespindle.example/core/serving"
)

// Gossip is what neighbours send each other, at every heartbeat and when
// something changed. Stream: peer.KindGossip, long-lived, both directions.
type Gossip struct {
	Records  []gossip.Record   `cbor:"1,keyasint,omitempty"`
	Revision revision.Revision `cbor:"2,keyasint"`
	Digest   fleet.Digest      `cbor:"3,keyasint"`
}

// ConfigRequest asks a peer for the text in force. Stream: peer.KindConfig, one
// ask and one answer.
type ConfigRequest struct {
	// Digest is that of the text that the asker has in force; zero for none.
	Digest fleet.Digest `cbor:"1,keyasint"`
}

// ConfigHeader opens the answer; Sections messages of fleettext.Section follow.
// They lead from the text with the digest Base, zero for nothing, to the one
// with Digest. Revision 0 means that the peer has no text in force.
type ConfigHeader struct {
	Revision revision.Revision `cbor:"1,keyasint"`
	Digest   fleet.Digest      `cbor:"2,keyasint"`
	Base     fleet.Digest      `cbor:"3,keyasint"`
	Removed  []string          `cbor:"4,keyasint,omitempty"`
	Sections int               `cbor:"5,keyasint"`
}

// ChunkRequest opens a stream of peer.KindChunk. With Exchange the stream stays
// and carries ChunkNews both ways; without it the answer is one ChunkHead and
// the chunk's bytes.
type ChunkRequest struct {
	Manifest fleet.Digest `cbor:"1,keyasint"`
	Exchange bool         `cbor:"2,keyasint"`
	Index    int          `cbor:"3,keyasint"`
}

// ChunkUpdate tells a neighbour what changed since the last ChunkNews. Have and
// Seen are indexes; the first message of a stream lists all.
type ChunkUpdate struct {
	Have []int `cbor:"1,keyasint,omitempty"`
	Seen []int `cbor:"2,keyasint,omitempty"`
}

// ChunkStatus answers a chunk request.
type ChunkStatus uint8

const (
	// ChunkFollows: Bytes bytes of the chunk follow.
	ChunkFollows ChunkStatus = iota + 1
	// ChunkBusy: all upload slots are taken; ask again later or elsewhere.
	ChunkBusy
	// ChunkMissing: this process does not hold the chunk.
	ChunkMissing
)

// ChunkHeader opens the answer to a chunk request.
type ChunkHeader struct {
	Status ChunkStatus `cbor:"1,keyasint"`
	Bytes  int         `cbor:"2,keyasint"`
}

// Request opens a stream of peer.KindRequest; BodyBytes bytes of body follow
// in raw frames. The answer is any number of AnswerPart with Piece and one
// with End.
type Request struct {
	ID             string            `cbor:"1,keyasint"`
	Service        fleet.ServiceName `cbor:"2,keyasint"`
	Path           string            `cbor:"3,keyasint,omitempty"`
	Workspace      fleet.Workspace   `cbor:"4,keyasint,omitempty"`
	IdempotencyKey string            `cbor:"5,keyasint,omitempty"`
	NonIdempotent  bool              `cbor:"6,keyasint,omitempty"`
	Priority       int               `cbor:"7,keyasint"`
	Traceparent    string            `cbor:"8,keyasint,omitempty"`
	// Deadline is the caller's, told in the agent's own clock.
	Deadline  admission.Deadline `cbor:"9,keyasint"`
	BodyBytes int                `cbor:"11,keyasint"`
}

// ResponsePart is one part of the answer to a Request: one AnswerBegin, then
// pieces, then one AnswerEnd. A request that was not run has only the end.
type ResponsePart struct {
	Piece  []byte          `cbor:"1,keyasint,omitempty"`
	End    *ResponseEnd    `cbor:"2,keyasint,omitempty"`
	Header *ResponseHeader `cbor:"3,keyasint,omitempty"`
}

// IsSingle reports whether the part is a beginning, a piece or an end alone. Of any
// other, one would be dropped unseen.
func (p ResponsePart) IsSingle() bool {
	if len(p.Piece) > 0 {
		return p.Header == nil && p.End == nil
	}
	return p.Header == nil || p.End == nil
}

// ResponseHeader says what is known once the backend server answers.
type ResponseHeader struct {
	Status  int           `cbor:"1,keyasint"`
	Version fleet.Version `cbor:"2,keyasint"`
}

// Outcome codes on the wire. They are separate from failure.Outcome so that
// the zero value of a garbled message reads as unknown.
const (
	OutcomeUnknown = 0
	OutcomeNotRun  = 1
	OutcomeRan     = 2
)

// ResponseEnd closes an answer. For OutcomeRan it follows the last piece.
type ResponseEnd struct {
	Outcome int           `cbor:"1,keyasint"`
	ID      string        `cbor:"2,keyasint"`
	Status  int           `cbor:"3,keyasint,omitempty"`
	Version fleet.Version `cbor:"4,keyasint"`
	Reason  string        `cbor:"5,keyasint,omitempty"`
	// RetryAfterMS is when the caller may come back; 0: not told.
	RetryAfterMS int64 `cbor:"6,keyasint,omitempty"`
	// DecidedByHome is true if Outcome is what the home of the idempotency key
	// knows of the key, not only of this ask.
	DecidedByHome bool `cbor:"7,keyasint,omitempty"`
	// Duplicate is true if a request with the key was taken before and its
	// answer is not given here.
	Duplicate bool `cbor:"8,keyasint,omitempty"`
	// QueueFull is true if the request was refused for want of room in time. It
	// says nothing of a more important request.
	QueueFull bool `cbor:"9,keyasint,omitempty"`
}

// ReportRequest opens a stream of peer.KindReport. An agent answers with Report
// messages, an entry with Demand messages.
type ReportRequest struct{}

// Demand is what each workspace asks of an entry, in requests a second,
// admitted or not. It is sent each second.
type Demand struct {
	Rates map[fleet.Workspace]float64 `cbor:"1,keyasint,omitempty"`
}

// Report is what an agent pushes to an entry that subscribed with a stream of
// peer.KindReport: at once on any change of State, Leaving or Serving, and
// every half second.
type Report struct {
	Service fleet.ServiceName `cbor:"1,keyasint"`
	State   gossip.State      `cbor:"2,keyasint"`
	Leaving bool              `cbor:"3,keyasint"`
	// Admitting is false while the agent refuses requests as not run.
	Admitting bool          `cbor:"4,keyasint"`
	Serving   fleet.Version `cbor:"5,keyasint"`
	Load      serving.Load  `cbor:"6,keyasint"`
	// Clock is the agent's own, read just before sending. Its Life is the
	// agent's incarnation, part of the keys that are issued for it.
	Clock admission.ClockReading `cbor:"7,keyasint"`
}
