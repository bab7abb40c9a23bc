package revision

import (
	"cmp"
	"slices"
	"time"

	"chivespindle.example/core/fleet"
	"chivespindle.example/core/fleettext"
)

// Limits of what a Keeper stores.
const (
	// maxClaims is the maximum number of peers whose claims are stored; more
	// are not needed to find the highest revision.
	maxClaims = 64
	// maxReported is the maximum number of refusals and of conflicts that are
	// stored in order to report each once.
	maxReported = 16
	// historyLength is how many configurations are kept to compute the changes
	// for a peer that is behind.
	historyLength = 8
)

// Options of a Keeper. Zero fields are replaced by the defaults.
type Options struct {
	// Witnesses is the number of peers with an active configuration that is
	// sufficient; default 3. A single peer may itself be cut off and behind.
	Witnesses int
	// Wait is how long a starting process waits for the rest when it has
	// received part of the required information; default 2 s.
	Wait time.Duration
	// LongWait is how long a starting process waits when it has received
	// answers only of the platform, or only of fewer than Witnesses peers;
	// default 10 s.
	LongWait time.Duration
	// ClaimTTL is how long a claim is valid unless it is repeated; default 15
	// s. It must be longer than LongWait and a few heartbeats.
	ClaimTTL time.Duration
	// MaxGap is the maximum time between two calls that counts as waiting;
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

// State is an active configuration.
type State struct {
	Revision Revision
	Digest   fleet.Digest
	Fleet    *fleettext.Fleet
}

// Keeper decides which configuration is active. It is not safe for concurrent
// use: the control goroutine owns it and publishes Fleet, which is immutable.
//
// Rules once a configuration is active:
//   - a higher revision that passes validation replaces it;
//   - a higher revision that fails validation does not, and is reported once;
//   - a lower revision is ignored: the platform may be stale;
//   - the same revision with another digest does not replace it and raises a
//     Conflict.
//
// Rules at the start, while no configuration is active. The highest revision
// known is activated once sufficient information was received, and not before
// the configuration itself was received:
//   - the platform and Witnesses peers with an active configuration: at once;
//   - Witnesses peers, or the platform and at least one peer: after Wait;
//   - the platform alone, or fewer peers alone: after LongWait. This starts a
//     new fleet, or one instance that reaches no other;
//   - neither: never. The process stays not ready and keeps asking.
//
// If the highest revision has two digests, the one that is active in the most
// peers is activated, then the platform's, then the lower digest: the fleet's
// own state takes precedence over the platform's, which would leave the fleet
// with two configurations. A configuration that is active in peers and refused
// by this process is not skipped in favour of an older one.
//
// Limitation: if every process is replaced while the platform is stale, no
// process is left that knows the newer configuration.
type Keeper struct {
	opts      Options
	inForce   State
	history   []fleettext.Outline // of configurations that were active, the newest last
	refused   []Refused           // revisions above the active one
	conflicts []Conflict          // at the active revision
	claims    map[fleet.InstanceID]storedClaim

	platformAnswered bool
	platformRevision Revision

	started    time.Time   // shifted forward by pauses
	lastCall   time.Time   // of any method with a time argument
	candidates []Candidate // until a configuration is active: those of the highest revision
}

type storedClaim struct {
	Claim
	at time.Time
}

// New returns a Keeper that starts at now without an active configuration.
func New(now time.Time, opts Options) *Keeper {
	return &Keeper{
		opts:     opts.withDefaults(),
		claims:   map[fleet.InstanceID]storedClaim{},
		started:  now,
		lastCall: now,
	}
}

// InForce returns the active configuration and whether there is one.
func (k *Keeper) InForce() (State, bool) {
	return k.inForce, k.ready()
}

func (k *Keeper) ready() bool { return k.inForce.Fleet != nil }

// Offer handles a configuration that was parsed and validated.
func (k *Keeper) Offer(now time.Time, c Candidate) Decision {
	k.advanceClock(now)
	if c.From == FromPlatform {
		k.platformAnswered = true
		k.platformRevision = c.Revision
	} else {
		k.storeClaim(now, Claim{Peer: c.Peer, Revision: c.Revision, Digest: c.Digest})
	}
	switch {
	case c.Fleet == nil && c.Refusal == nil:
		return k.activateIfReady(Decision{Reason: Nothing})
	case k.ready() && c.Revision < k.inForce.Revision:
		return Decision{Reason: Stale}
	case k.ready() && c.Revision == k.inForce.Revision:
		return k.sameRevision(c)
	case c.Refusal != nil:
		return k.activateIfReady(k.refuse(c))
	case k.ready():
		return k.activate(c)
	default:
		k.storeCandidate(c)
		return k.activateIfReady(Decision{Reason: Waiting})
	}
}

// Hear handles a peer's report of its active configuration, for example in a
// heartbeat.
func (k *Keeper) Hear(now time.Time, claim Claim) Decision {
	k.advanceClock(now)
	k.storeClaim(now, claim)
	switch {
	case claim.Revision == 0:
		return k.activateIfReady(Decision{Reason: Nothing})
	case !k.ready():
		return k.activateIfReady(Decision{Reason: Waiting})
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

// Tick advances the clock. It is to be called at least every MaxGap until a
// configuration is active; with fewer calls the start takes longer.
func (k *Keeper) Tick(now time.Time) Decision {
	k.advanceClock(now)
	return k.activateIfReady(Decision{Reason: Nothing})
}

// sameRevision compares a configuration with the active one of the same
// revision.
func (k *Keeper) sameRevision(c Candidate) Decision {
	if c.Digest == k.inForce.Digest && c.Refusal == nil {
		return Decision{InForce: true, Reason: Duplicate}
	}
	d := Decision{Reason: Conflicting}
	k.reportConflict(&d, c)
	return d
}

// reportConflict adds a Conflict between the active configuration and c unless it was
// reported before.
func (k *Keeper) reportConflict(d *Decision, c Candidate) {
	known := slices.ContainsFunc(k.conflicts, func(e Conflict) bool { return e.Other == c.Digest })
	if known || len(k.conflicts) == maxReported {
		return
	}
	e := Conflict{
		Revision: c.Revision, Kept: k.inForce.Digest, Other: c.Digest, Source: c.From, Peer: c.Peer,
	}
	k.conflicts = append(k.conflicts, e)
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

// activate activates c. Callers have checked that its revision is higher.
func (k *Keeper) activate(c Candidate) Decision {
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
	k.candidates = nil
	k.conflicts = nil
	k.refused = slices.DeleteFunc(k.refused, func(e Refused) bool { return e.Revision <= c.Revision })
	for peer, claim := range k.claims {
		if claim.Revision <= c.Revision {
			delete(k.claims, peer)
		}
	}
	return Decision{InForce: true, Reason: Taken, Events: []Event{e}}
}

// Delta returns the changes from the configuration with digest base to the
// active one. It is the whole configuration if base is zero or no longer in the
// history. It must only be called while a configuration is active.
func (k *Keeper) Delta(base fleet.Digest) fleettext.Delta {
	for _, known := range k.history {
		if known.Digest() == base {
			return fleettext.NewDelta(known, k.inForce.Fleet)
		}
	}
	return fleettext.NewDelta(fleettext.Outline{}, k.inForce.Fleet)
}

// Status is the state of a Keeper for operators.
type Status struct {
	Ready bool
	State
	// PlatformRevision is the revision of the platform's last answer; lower
	// than Revision if the platform is stale.
	PlatformRevision Revision
	PlatformAnswered bool
	// Refused lists configurations above the active revision that failed
	// validation.
	Refused []Refused
	// Conflicts lists other configurations of the active revision.
	Conflicts []Conflict
}

// Status returns a copy of the current state.
func (k *Keeper) Status() Status {
	return Status{
		Ready: k.ready(), State: k.inForce,
		PlatformRevision: k.platformRevision, PlatformAnswered: k.platformAnswered,
		Refused: slices.Clone(k.refused), Conflicts: slices.Clone(k.conflicts),
	}
}

// WatchAfter returns the revision to pass to Source.Watch: that of the
// platform's last answer, not the active one. With the active revision, a
// refused configuration or a stale platform would answer each watch
// immediately, and watchers would use up the platform's rate limit.
func (k *Keeper) WatchAfter() Revision { return k.platformRevision }
