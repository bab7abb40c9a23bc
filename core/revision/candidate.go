package revision

import (
	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/fleettext"
)

// TextName is the file name in the faults of a text that came from the
// platform or from a peer.
const TextName = "fleet.ini"

// Origin tells where a candidate came from.
type Origin string

const (
	// FromPlatform is the platform's configuration service.
	FromPlatform Origin = "platform"
	// FromPeer is another process of the system, which has the text in force.
	FromPeer Origin = "peer"
)

// Candidate is a state of the text that was read and checked. One of Fleet
// and Refusal is set; neither is set if the platform holds no text.
type Candidate struct {
	Revision Revision
	// Digest is that of Fleet, or names the refused text.
	Digest  fleet.Digest
	From    Origin
	Peer    fleet.InstanceID // empty from the platform
	Fleet   *fleettext.Fleet
	Refusal *fleettext.CheckError
}

// ReadDocument checks a document of the platform. base is the text in force,
// nil for none; what did not change since is not read again.
func ReadDocument(doc Document, base *fleettext.Fleet) Candidate {
	c := Candidate{Revision: doc.Revision, From: FromPlatform}
	if doc.Revision == 0 {
		return c
	}
	f, err := fleettext.Reload(TextName, doc.Text, base)
	if err != nil {
		c.Digest = fleet.DigestOf(doc.Text)
		c.Refusal = fleettext.AsCheckError(err)
		return c
	}
	c.Digest = f.Digest()
	c.Fleet = f
	return c
}

// ReadDelta checks what a peer sent to lead from base, nil for nothing, to
// the text that it claims to have in force. A text that this process refuses
// makes a candidate with a Refusal. Failures: fleettext.WrongBase;
// failure.Corrupt if the text is not the one of the claim. A peer may have
// moved on while it was asked, so its claim must come with the delta: else
// one revision would name another one's text here.
func ReadDelta(claim Claim, base *fleettext.Fleet, delta fleettext.Delta) (Candidate, error) {
	if delta.Result != claim.Digest {
		return Candidate{}, failure.Corrupt.New("peer %s sent the text %s for %s", claim.Peer, delta.Result, claim.Digest)
	}
	c := Candidate{Revision: claim.Revision, From: FromPeer, Peer: claim.Peer, Digest: delta.Result}
	f, err := fleettext.Apply(TextName, base, delta)
	if err == nil {
		c.Fleet = f
		return c, nil
	}
	c.Refusal = fleettext.AsCheckError(err)
	if c.Refusal == nil {
		return Candidate{}, err
	}
	return c, nil
}

// Claim is what a peer says that it has in force; Revision is 0 for nothing.
type Claim struct {
	Peer     fleet.InstanceID
	Revision Revision
	Digest   fleet.Digest
}

// Want is a state of the text that peers have in force and this process has
// not: any of Peers can be asked for it.
type Want struct {
	Revision Revision
	Digest   fleet.Digest
	Peers    []fleet.InstanceID // sorted
}

// Reason says what became of a candidate or a claim.
type Reason string

const (
	// Taken: it is now in force.
	Taken Reason = "taken"
	// Duplicate: it was in force already.
	Duplicate Reason = "duplicate"
	// Stale: a higher revision is in force.
	Stale Reason = "stale"
	// Conflicting: its revision is in force with another digest.
	Conflicting Reason = "conflicting"
	// RefusedText: it has faults.
	RefusedText Reason = "refused"
	// Waiting: nothing is in force and not enough was heard.
	Waiting Reason = "waiting"
	// Behind: a peer has a higher revision in force; see Keeper.Want.
	Behind Reason = "behind"
	// Nothing: the other side holds no text, or Tick had nothing to do.
	Nothing Reason = "nothing"
)

// Decision is the answer of a Keeper to one event.
type Decision struct {
	// InForce is true if the event's text is in force after the call.
	InForce bool
	Reason  Reason
	// Events are to be logged and counted, in order. Each thing is told once.
	Events []Event
}

// Event is one of Raised, Refused and Conflict.
type Event interface{ event() }

// Raised tells that a text came into force.
type Raised struct {
	From, To Revision // From is 0 at the start
	Digest   fleet.Digest
	Source   Origin
	Peer     fleet.InstanceID
	// Changes is empty at the start.
	Changes []fleettext.Change
}

// Refused tells that a text has faults; the one before stays in force.
type Refused struct {
	Revision Revision
	Digest   fleet.Digest
	Faults   *fleettext.CheckError
	Source   Origin
	Peer     fleet.InstanceID
}

// Conflict is an alarm: one revision names two texts. The platform broke its
// promise, for instance after it was restored from an old copy. Kept stays in
// force; the operator writes the text once more, which raises the revision
// and ends the conflict.
type Conflict struct {
	Revision Revision
	Kept     fleet.Digest
	Other    fleet.Digest
	Source   Origin // of Other
	Peer     fleet.InstanceID
}

func (Raised) event()   {}
func (Refused) event()  {}
func (Conflict) event() {}
