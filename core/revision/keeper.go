package revision

import (
	"cmp"
	"slices"
	"time"

	"chivespindle.example/core/fleet"
	"chivespindle.example/core/fleettext"
)

// Bounds of a Keeper's memory.
const (
	// maxClaims bounds the peers that are remembered; more are not needed to
	// find the highest revision.
	maxClaims = 64
	// maxReported bounds the refusals and conflicts that are remembered so
	// as to be told once.
	maxReported = 16
	// historyLength is how many states of the text are kept to work out what
	// changed for a peer that is behind.
	historyLength = 8
)

// Options of a Keeper. A zero field takes its default.
type Options struct {
	// Witnesses is how many peers with a text in force are enough; default 3.
	// A single one may itself be cut off and behind.
	Witnesses int
	// Wait is how long a start waits for the rest when part of what is
	// wanted was heard; default 2 s.
	Wait time.Duration
	// LongWait is how long a start waits when only the platform, or only
	// fewer than Witnesses peers, were heard; default 10 s.
	LongWait time.Duration
	// ClaimTTL is how long a claim holds without being heard again; default
	// 15 s. It must be longer than LongWait and a few heartbeats.
	ClaimTTL time.Duration
	// MaxGap is the most that the time between two calls counts as waiting;
	// default 1 s. It must be shorter than Wait.
	MaxGap time.Duration
}

// Defaults of Options.
const (
	DefaultWitnesses = 3
	DefaultWait      = 2 * time.Second
	DefaultLongWait  = 10 * time.Second
	DefaultClaimTTL  = 15 * time.Second
	DefaultMaxGap    = time.Second
)

func (o Options) withDefaults() Options {
	o.Witnesses = cmp.Or(o.Witnesses, DefaultWitnesses)
	o.Wait = cmp.Or(o.Wait, DefaultWait)
	o.LongWait = cmp.Or(o.LongWait, DefaultLongWait)
	o.ClaimTTL = cmp.Or(o.ClaimTTL, DefaultClaimTTL)
	o.MaxGap = cmp.Or(o.MaxGap, DefaultMaxGap)
	return o
}

// State is a text in force.
type State struct {
	Revision Revision
	Digest   fleet.Digest
	Fleet    *fleettext.Fleet
}

// Keeper decides which text is in force. It is not safe for concurrent use:
// the control goroutine owns it and publishes Fleet, which is immutable.
//
// Rules once a text is in force:
//   - a higher revision that passes the check replaces it;
//   - a higher revision that fails the check leaves it, and is told once;
//   - a lower revision is ignored: the platform may be stale;
//   - the same revision with another digest leaves it and raises a Conflict.
//
// Rules at the start, when nothing is in force. The highest revision heard is
// taken as soon as enough was heard, and not before its text is here:
//   - the platform and Witnesses peers with a text in force: at once;
//   - Witnesses peers, or the platform and at least one peer: after Wait;
//   - the platform alone, or fewer peers alone: after LongWait. This starts a
//     new fleet, and one instance that sees nobody else;
//   - nobody: never. The process stays not ready and keeps asking.
//
// If the highest revision then names two digests, the one that most peers
// have in force is taken, then the platform's, then the lesser digest: the
// fleet's own state outweighs the platform, since taking the platform's would
// leave the fleet with two texts. A text that peers have in force and this
// process refuses is not passed over for an older one.
//
// What this cannot hold off: if every process is replaced while the platform
// is stale, nobody is left who knows of the newer text.
type Keeper struct {
	opts     Options
	inForce  State
	history  []fleettext.Outline // of texts that were in force, the newest last
	refused  []Refused           // revisions above the one in force
	conflict []Conflict          // at the revision in force
	claims   map[fleet.InstanceID]heardClaim

	platformAnswered bool
	platformRevision Revision

	started  time.Time   // moved on by pauses
	lastCall time.Time   // of any method that takes the time
	loaded   []Candidate // before a text is in force: the highest revision
}

type heardClaim struct {
	Claim
	at time.Time
}

// New returns a Keeper that starts at now with nothing in force.
func New(now time.Time, opts Options) *Keeper {
	return &Keeper{
		opts:     opts.withDefaults(),
		claims:   map[fleet.InstanceID]heardClaim{},
		started:  now,
		lastCall: now,
	}
}

// InForce returns the text in force and whether there is one.
func (k *Keeper) InForce() (State, bool) {
	return k.inForce, k.ready()
}

func (k *Keeper) ready() bool { return k.inForce.Fleet != nil }

// Offer tells of a text that was read and checked.
func (k *Keeper) Offer(now time.Time, c Candidate) Decision {
	k.advance(now)
	if c.From == FromPlatform {
		k.platformAnswered = true
		k.platformRevision = c.Revision
	} else {
		k.remember(now, Claim{Peer: c.Peer, Revision: c.Revision, Digest: c.Digest})
	}
	switch {
	case c.Fleet == nil && c.Refusal == nil:
		return k.reconsider(Decision{Reason: Nothing})
	case k.ready() && c.Revision < k.inForce.Revision:
		return Decision{Reason: Stale}
	case k.ready() && c.Revision == k.inForce.Revision:
		return k.sameRevision(c)
	case c.Refusal != nil:
		return k.reconsider(k.refuse(c))
	case k.ready():
		return k.take(c)
	default:
		k.load(c)
		return k.reconsider(Decision{Reason: Waiting})
	}
}

// Hear tells what a peer says that it has in force, for instance in a
// heartbeat.
func (k *Keeper) Hear(now time.Time, claim Claim) Decision {
	k.advance(now)
	k.remember(now, claim)
	switch {
	case claim.Revision == 0:
		return k.reconsider(Decision{Reason: Nothing})
	case !k.ready():
		return k.reconsider(Decision{Reason: Waiting})
	case claim.Revision < k.inForce.Revision:
		return Decision{Reason: Stale}
	case claim.Revision > k.inForce.Revision:
		return Decision{Reason: Behind}
	default:
		return k.sameRevision(Candidate{
			Revision: claim.Revision, Digest: claim.Digest, From: FromPeer, Peer: claim.Peer,
		})
	}
}

// Tick lets time pass. It is to be called at least every MaxGap until a text
// is in force; less often, the start takes longer.
func (k *Keeper) Tick(now time.Time) Decision {
	k.advance(now)
	return k.reconsider(Decision{Reason: Nothing})
}

// sameRevision compares a text with the one in force of the same revision.
func (k *Keeper) sameRevision(c Candidate) Decision {
	if c.Digest == k.inForce.Digest && c.Refusal == nil {
		return Decision{InForce: true, Reason: Duplicate}
	}
	d := Decision{Reason: Conflicting}
	k.alarm(&d, c)
	return d
}

// alarm adds a Conflict between the text in force and c unless it was told.
func (k *Keeper) alarm(d *Decision, c Candidate) {
	known := slices.ContainsFunc(k.conflict, func(e Conflict) bool { return e.Other == c.Digest })
	if known || len(k.conflict) == maxReported {
		return
	}
	e := Conflict{
		Revision: c.Revision, Kept: k.inForce.Digest, Other: c.Digest, Source: c.From, Peer: c.Peer,
	}
	k.conflict = append(k.conflict, e)
	d.Events = append(d.Events, e)
}

func (k *Keeper) refuse(c Candidate) Decision {
	d := Decision{Reason: RefusedText}
	if k.isRefused(c.Revision, c.Digest) {
		return d
	}
	e := Refused{Revision: c.Revision, Digest: c.Digest, Faults: c.Refusal, Source: c.From, Peer: c.Peer}
	k.refused = append(k.refused, e)
	if len(k.refused) > maxReported {
		k.refused = k.refused[1:]
	}
	d.Events = append(d.Events, e)
	return d
}

func (k *Keeper) isRefused(r Revision, digest fleet.Digest) bool {
	return slices.ContainsFunc(k.refused, func(e Refused) bool {
		return e.Revision == r && e.Digest == digest
	})
}

// take puts c in force. Callers have checked that its revision is higher.
func (k *Keeper) take(c Candidate) Decision {
	e := Raised{
		From: k.inForce.Revision, To: c.Revision, Digest: c.Digest, Source: c.From, Peer: c.Peer,
	}
	if k.ready() {
		e.Changes = fleettext.Diff(k.inForce.Fleet, c.Fleet)
	}
	k.inForce = State{Revision: c.Revision, Digest: c.Digest, Fleet: c.Fleet}
	k.history = append(k.history, c.Fleet.Outline())
	if len(k.history) > historyLength {
		k.history = slices.Delete(k.history, 0, 1)
	}
	k.loaded = nil
	k.conflict = nil
	k.refused = slices.DeleteFunc(k.refused, func(e Refused) bool { return e.Revision <= c.Revision })
	for peer, claim := range k.claims {
		if claim.Revision <= c.Revision {
			delete(k.claims, peer)
		}
	}
	return Decision{InForce: true, Reason: Taken, Events: []Event{e}}
}

// Delta returns what leads a peer from the text with digest base to the one
// in force. It is the whole text if base is zero or no longer known. Only
// valid while a text is in force.
func (k *Keeper) Delta(base fleet.Digest) fleettext.Delta {
	for _, known := range k.history {
		if known.Digest() == base {
			return fleettext.NewDelta(known, k.inForce.Fleet)
		}
	}
	return fleettext.NewDelta(fleettext.Outline{}, k.inForce.Fleet)
}

// Status is what an operator may ask a process.
type Status struct {
	Ready bool
	State
	// PlatformRevision is the platform's last answer; lower than Revision if
	// the platform is stale.
	PlatformRevision Revision
	PlatformAnswered bool
	// Refused lists texts above the one in force that have faults.
	Refused []Refused
	// Conflicts lists other texts of the revision in force.
	Conflicts []Conflict
}

// Status returns a copy of what is known.
func (k *Keeper) Status() Status {
	return Status{
		Ready: k.ready(), State: k.inForce,
		PlatformRevision: k.platformRevision, PlatformAnswered: k.platformAnswered,
		Refused: slices.Clone(k.refused), Conflicts: slices.Clone(k.conflict),
	}
}

// WatchAfter is the revision to pass to Source.Watch: the platform's last
// answer, not the revision in force. With the latter, a refused text or a
// stale platform would answer each watch at once and a watcher would use up
// the platform's allowance.
func (k *Keeper) WatchAfter() Revision { return k.platformRevision }
