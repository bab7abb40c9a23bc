package revision

import (
	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/fleettext"
)

// FileName is the file name reported in the faults of a configuration that came
// from the platform or from a peer.
const FileName = "fleet.ini"

// Origin is the source of a candidate.
type Origin string

const (
	// FromPlatform is the platform's configuration service.
	FromPlatform Origin = "platform"
	// FromPeer is another process of the system, in which the configuration is
	// active.
	FromPeer Origin = "peer"
)

// Candidate is a revision of the configuration that was parsed and validated.
// One of Fleet and Refusal is set; neither is set if the platform holds no
// configuration.
type Candidate struct {
	Revision Revision
	// Digest is the digest of Fleet, or of the refused configuration.
	Digest  fleet.Digest
	From    Origin
	Peer    fleet.InstanceID // empty if it came from the platform
	Fleet   *fleettext.Fleet
	Refusal *fleettext.CheckError
}

// ReadDocument parses and validates a document of the platform. base is the
// active configuration, nil for none; parts unchanged since base are not parsed
// again.
func ReadDocument(doc Document, base *fleettext.Fleet) Candidate {
	c := Candidate{Revision: doc.Revision, From: FromPlatform}
	if doc.Revision == 0 {
		return c
	}
	f, err := fleettext.Reload(FileName, doc.Text, base)
	if err != nil {
		c.Digest = fleet.DigestOf(doc.Text)
		c.Refusal = fleettext.AsCheckError(err)
		return c
	}
	c.Digest = f.Digest()
	c.Fleet = f
	return c
}

// ReadDelta applies the delta that a peer sent from base, nil for no base, to
// the configuration of its claim, and validates the result. A configuration
// that this process refuses gives a candidate with a Refusal. Failures:
// fleettext.WrongBase; failure.Corrupt if the result is not the configuration
// of the claim. A peer may have activated a newer revision since it was asked,
// so its current claim must come with the delta: otherwise the configuration of
// another revision would be stored under this one.
func ReadDelta(claim Claim, base *fleettext.Fleet, delta fleettext.Delta) (Candidate, error) {
	if delta.Result != claim.Digest {
		return Candidate{}, failure.Corrupt.New("peer %s sent configuration %s, want %s", claim.Peer, delta.Result, claim.Digest)
	}
	c := Candidate{Revision: claim.Revision, From: FromPeer, Peer: claim.Peer, Digest: delta.Result}
	f, err := fleettext.Apply(FileName, base, delta)
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

// Claim is the revision and digest that a peer reports as active; Revision is 0
// for none.
type Claim struct {
	Peer     fleet.InstanceID
	Revision Revision
	Digest   fleet.Digest
}

// FetchRequest is a configuration that is active in peers and missing in this
// process: any of Peers can be asked for it.
type FetchRequest struct {
	Revision Revision
	Digest   fleet.Digest
	Peers    []fleet.InstanceID // sorted
}

// Reason is the result for a candidate or a claim.
type Reason string

const (
	// Accepted: it is now active.
	Accepted Reason = "taken"
	// Duplicate: it was active already.
	Duplicate Reason = "duplicate"
	// Stale: a higher revision is active.
	Stale Reason = "stale"
	// Conflicting: its revision is active with another digest.
	Conflicting Reason = "conflicting"
	// Invalid: it failed validation.
	Invalid Reason = "refused"
	// Waiting: no configuration is active and the start condition is not met.
	Waiting Reason = "waiting"
	// Behind: a higher revision is active in a peer; see Selector.NextFetch.
	Behind Reason = "behind"
	// NoChange: the sender holds no configuration, or Tick had nothing to do.
	NoChange Reason = "nothing"
)

// Decision is the result of one event passed to a Selector.
type Decision struct {
	// Active is true if the event's configuration is active after the call.
	Active bool
	Reason Reason
	// Events are to be logged and counted, in order. Each is reported once.
	Events []Event
}

// Event is one of Activated, Refused and Conflict.
type Event interface{ event() }

// Activated reports that a configuration became active.
type Activated struct {
	From, To Revision // From is 0 for the first one
	Digest   fleet.Digest
	Source   Origin
	Peer     fleet.InstanceID
	// Changes is empty for the first configuration.
	Changes []fleettext.Change
}

// Refused reports that a configuration failed validation; the previous one
// stays active.
type Refused struct {
	Revision Revision
	Digest   fleet.Digest
	Faults   *fleettext.CheckError
	Source   Origin
	Peer     fleet.InstanceID
}

// Conflict is an alarm: one revision has two configurations. The platform has
// violated its guarantee, for example after it was restored from an old backup.
// Kept stays active; the operator writes the configuration again, which raises
// the revision and resolves the conflict.
type Conflict struct {
	Revision Revision
	Kept     fleet.Digest
	Other    fleet.Digest
	Source   Origin // of Other
	Peer     fleet.InstanceID
}

func (Activated) event() {}
func (Refused) event()   {}
func (Conflict) event()  {}
