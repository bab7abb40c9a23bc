package revision

import (
	"cmp"
	"slices"
	"time"

	"chivespindle.example/core/fleet"
	"chivespindle.example/core/fleettext"
)

// Limits of what a Selector stores.
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

// Options of a Selector. Zero fields are replaced by the defaults.
type Options struct {
	// MinPeers is the number of peers with an active configuration that is
	// sufficient; default 3. A single peer may itself be cut off and behind.
	MinPeers int
	// ShortWait is how long a starting process waits for the rest when it has
	// received part of the required information; default 2 s.
	ShortWait time.Duration
	// LongWait is how long a starting process waits when it has received
	// answers only of the platform, or only of fewer than MinPeers peers;
	// default 10 s.
	LongWait time.Duration
	// ClaimTTL is how long a claim is valid unless it is repeated; default
	// 15 s. It must be longer than LongWait and a few heartbeats.
	ClaimTTL time.Duration
	// MaxGap is the maximum time between two calls that counts as waiting;
	// default 1 s. It must be shorter than ShortWait.
	MaxGap time.Duration
}

// Defaults of Options.
const (
	DefaultMinPeers  = 3
	DefaultShortWait = 2 * time.Second
	DefaultLongWait  = 10 * time.Second
	DefaultClaimTTL  = 15 * time.Second
	DefaultMaxGap    = time.Second
)

func (o Options) withDefaults() Options {
	o.MinPeers = cmp.Or(o.MinPeers, DefaultMinPeers)
	o.ShortWait = cmp.Or(o.ShortWait, DefaultShortWait)
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

// Selector decides which configuration is active. It is not safe for concurrent
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
//   - the platform and MinPeers peers with an active configuration: at once;
//   - MinPeers peers, or the platform and at least one peer: after ShortWait;
//   - the platform alone, or fewer peers alone: after LongWait. This starts a
//     new fleet, or one instance that reaches no other;
//   - neither: never. The process stays not ready and keeps asking.
//
// If the highest revision has two digests, the one that is active in the most
// peers is activated, then the platform's, then the lower digest: the fleet's
// own state takes precedence, since activating the platform's would leave the
// fleet with two configurations. A configuration that is active in peers and
// refused by this process is not skipped in favour of an older one.
//
// Limitation: if every process is replaced while the platform is stale, no
// process is left that knows the newer configuration.
type Selector struct {
	opts      Options
	active    State
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

// New returns a Selector that starts at now without an active configuration.
func New(now time.Time, opts Options) *Selector {
	return &Selector{
		opts:     opts.withDefaults(),
		claims:   map[fleet.InstanceID]storedClaim{},
		started:  now,
		lastCall: now,
	}
}

// Active returns the active configuration and whether there is one.
func (s *Selector) Active() (State, bool) {
	return s.active, s.ready()
}

func (s *Selector) ready() bool { return s.active.Fleet != nil }

// HandleCandidate handles a configuration that was parsed and validated.
func (s *Selector) HandleCandidate(now time.Time, c Candidate) Decision {
	s.advanceClock(now)
	if c.From == FromPlatform {
		s.platformAnswered = true
		s.platformRevision = c.Revision
	} else {
		s.storeClaim(now, Claim{Peer: c.Peer, Revision: c.Revision, Digest: c.Digest})
	}
	switch {
	case c.Fleet == nil && c.Refusal == nil:
		return s.activateIfReady(Decision{Reason: NoChange})
	case s.ready() && c.Revision < s.active.Revision:
		return Decision{Reason: Stale}
	case s.ready() && c.Revision == s.active.Revision:
		return s.sameRevision(c)
	case c.Refusal != nil:
		return s.activateIfReady(s.refuse(c))
	case s.ready():
		return s.activate(c)
	default:
		s.storeCandidate(c)
		return s.activateIfReady(Decision{Reason: Waiting})
	}
}

// HandleClaim handles a peer's report of its active configuration, for example
// in a heartbeat.
func (s *Selector) HandleClaim(now time.Time, claim Claim) Decision {
	s.advanceClock(now)
	s.storeClaim(now, claim)
	switch {
	case claim.Revision == 0:
		return s.activateIfReady(Decision{Reason: NoChange})
	case !s.ready():
		return s.activateIfReady(Decision{Reason: Waiting})
	case claim.Revision < s.active.Revision:
		return Decision{Reason: Stale}
	case claim.Revision > s.active.Revision:
		return Decision{Reason: Behind}
	default:
		return s.sameRevision(Candidate{
			Revision: claim.Revision, Digest: claim.Digest, From: FromPeer, Peer: claim.Peer,
		})
	}
}

// Tick advances the clock. It is to be called at least every MaxGap until a
// configuration is active; with fewer calls the start takes longer.
func (s *Selector) Tick(now time.Time) Decision {
	s.advanceClock(now)
	return s.activateIfReady(Decision{Reason: NoChange})
}

// sameRevision compares a configuration with the active one of the same
// revision.
func (s *Selector) sameRevision(c Candidate) Decision {
	if c.Digest == s.active.Digest && c.Refusal == nil {
		return Decision{Active: true, Reason: Duplicate}
	}
	d := Decision{Reason: Conflicting}
	s.reportConflict(&d, c)
	return d
}

// reportConflict adds a Conflict between the active configuration and c unless
// it was reported before.
func (s *Selector) reportConflict(d *Decision, c Candidate) {
	known := slices.ContainsFunc(s.conflicts, func(e Conflict) bool { return e.Other == c.Digest })
	if known || len(s.conflicts) == maxReported {
		return
	}
	e := Conflict{
		Revision: c.Revision, Kept: s.active.Digest, Other: c.Digest, Source: c.From, Peer: c.Peer,
	}
	s.conflicts = append(s.conflicts, e)
	d.Events = append(d.Events, e)
}

func (s *Selector) refuse(c Candidate) Decision {
	d := Decision{Reason: Invalid}
	if s.isRefused(c.Revision, c.Digest) {
		return d
	}
	e := Refused{Revision: c.Revision, Digest: c.Digest, Faults: c.Refusal, Source: c.From, Peer: c.Peer}
	s.refused = append(s.refused, e)
	if len(s.refused) > maxReported {
		s.refused = s.refused[1:]
	}
	d.Events = append(d.Events, e)
	return d
}

func (s *Selector) isRefused(r Revision, digest fleet.Digest) bool {
	return slices.ContainsFunc(s.refused, func(e Refused) bool {
		return e.Revision == r && e.Digest == digest
	})
}

// activate activates c. Callers have checked that its revision is higher.
func (s *Selector) activate(c Candidate) Decision {
	e := Activated{
		From: s.active.Revision, To: c.Revision, Digest: c.Digest, Source: c.From, Peer: c.Peer,
	}
	if s.ready() {
		e.Changes = fleettext.Diff(s.active.Fleet, c.Fleet)
	}
	s.active = State{Revision: c.Revision, Digest: c.Digest, Fleet: c.Fleet}
	s.history = append(s.history, c.Fleet.Outline())
	if len(s.history) > historyLength {
		s.history = slices.Delete(s.history, 0, 1)
	}
	s.candidates = nil
	s.conflicts = nil
	s.refused = slices.DeleteFunc(s.refused, func(e Refused) bool { return e.Revision <= c.Revision })
	for peer, claim := range s.claims {
		if claim.Revision <= c.Revision {
			delete(s.claims, peer)
		}
	}
	return Decision{Active: true, Reason: Accepted, Events: []Event{e}}
}

// Delta returns the changes from the configuration with digest base to the
// active one. It is the whole configuration if base is zero or no longer in the
// history. It must only be called while a configuration is active.
func (s *Selector) Delta(base fleet.Digest) fleettext.Delta {
	for _, known := range s.history {
		if known.Digest() == base {
			return fleettext.NewDelta(known, s.active.Fleet)
		}
	}
	return fleettext.NewDelta(fleettext.Outline{}, s.active.Fleet)
}

// Status is the state of a Selector for operators.
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
func (s *Selector) Status() Status {
	return Status{
		Ready: s.ready(), State: s.active,
		PlatformRevision: s.platformRevision, PlatformAnswered: s.platformAnswered,
		Refused: slices.Clone(s.refused), Conflicts: slices.Clone(s.conflicts),
	}
}

// WatchAfter returns the revision to pass to Source.Watch: that of the
// platform's last answer, not the active one. With the active revision, a
// refused configuration or a stale platform would answer each watch
// immediately, and watchers would use up the platform's rate limit.
func (s *Selector) WatchAfter() Revision { return s.platformRevision }
