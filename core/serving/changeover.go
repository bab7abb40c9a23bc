package serving

import (
	"math/rand/v2"
	"slices"
	"time"

	"chivespindle.example/core/fleet"
	"chivespindle.example/core/gossip"
)

// Phase is the current step of a Changeover.
type Phase uint8

const (
	// PhaseClaiming: the engine's status is read and its fence is claimed.
	PhaseClaiming Phase = iota
	// PhaseIdle: the target is served, or there is none.
	PhaseIdle
	// PhaseFetching: chunks of the goal are being fetched.
	PhaseFetching
	// PhaseStaged: all chunks are verified; the replica waits for its turn in
	// the rollout.
	PhaseStaged
	// PhaseDraining: no new requests are admitted; those in progress run to
	// completion.
	PhaseDraining
	// PhaseOrdering: an order was sent and its response is pending.
	PhaseOrdering
	// PhaseReading: the order was accepted; the engine's status is polled until
	// the engine has finished.
	PhaseReading
	// PhaseWaiting: an attempt failed; the next one follows after a backoff.
	PhaseWaiting
	// PhaseLeaving: the instance is shutting down; nothing is changed any more.
	PhaseLeaving
	// PhaseStoodDown: another process has taken over the engine.
	PhaseStoodDown
)

var phaseNames = [...]string{
	"claiming", "idle", "fetching", "staged", "draining", "ordering", "reading", "waiting", "leaving", "down",
}

// String returns the phase's name as it appears in logs.
func (p Phase) String() string {
	if int(p) < len(phaseNames) {
		return phaseNames[p]
	}
	return "unknown"
}

// ChangeoverOptions configures a Changeover. Zero fields take their defaults.
type ChangeoverOptions struct {
	// Rand provides the jitter of the backoff.
	Rand *rand.Rand
	// PauseThreshold is the longest time between two steps that does not count
	// as a pause of the process; default 2 s. Tick must be posted several times
	// within it.
	PauseThreshold time.Duration
	// PollInterval is the time between two reads of the engine's status;
	// default 500 ms.
	PollInterval time.Duration
	// MaxStatusAge is how long a status is valid; default 3 s.
	MaxStatusAge time.Duration
	// DrainTimeout is how long requests in progress may take before the change
	// is postponed; default 2 min. It should exceed the longest request.
	DrainTimeout time.Duration
	// OrderTimeout is how long the engine may take to respond to an order;
	// default 30 s.
	OrderTimeout time.Duration
	// LoadTimeout is how long the engine may load before an Alarm; default 10
	// min.
	LoadTimeout time.Duration
	// InitialBackoff is the delay after the first failed attempt; it doubles up
	// to MaxBackoff. Defaults 1 s and 5 min.
	InitialBackoff time.Duration
	MaxBackoff     time.Duration
	// MaxFailures is how many attempts may fail before a replica that serves
	// nothing returns to the version that it served last; default 3.
	MaxFailures int
}

func (o *ChangeoverOptions) applyDefaults() {
	setDefault(&o.PauseThreshold, 2*time.Second)
	setDefault(&o.PollInterval, 500*time.Millisecond)
	setDefault(&o.MaxStatusAge, 3*time.Second)
	setDefault(&o.DrainTimeout, 2*time.Minute)
	setDefault(&o.OrderTimeout, 30*time.Second)
	setDefault(&o.LoadTimeout, 10*time.Minute)
	setDefault(&o.InitialBackoff, time.Second)
	setDefault(&o.MaxBackoff, 5*time.Minute)
	setDefault(&o.MaxFailures, 3)
	if o.Rand == nil {
		o.Rand = rand.New(rand.NewPCG(1, 1))
	}
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Changeover takes one replica from version to version. It is a state machine:
// Step takes an event and returns the actions to carry out, in order. It must
// only be used from the control goroutine.
//
// Before the first order, and whenever the engine or the process may have
// missed something, it claims the engine: it reads the status, sends an order
// that carries only the fencing number, and reads the status again. The version
// that it then finds loaded is served if it is the target or the version that
// this process served last. A process that has just started also accepts a
// version that other replicas serve. Any other version is not served, because
// no accepted configuration is known to have named it.
type Changeover struct {
	opts     ChangeoverOptions
	fence    Fence
	detector *PauseDetector
	phase    Phase
	started  bool

	target     fleet.Version
	goal       fleet.Version // version that the current attempt loads: target or lastServed
	lastServed fleet.Version // last version that this process ordered or confirmed and served
	// servedElsewhere are the versions that other replicas serve.
	servedElsewhere []fleet.Version

	admitting    bool
	verified     fleet.Digest // manifest of lastServed, once verified or reported
	staged       map[fleet.Digest]bool
	partlyStaged map[fleet.Digest]bool // staged in part

	status            EngineStatus
	statusAt          time.Time
	statusRequestedAt time.Time // time of the last ReadStatus
	bootID            string
	claimed           bool

	attempt    uint64
	ordered    fleet.Version // zero for a claim
	accepted   bool
	acceptedAt time.Time
	// lastOrdered is the last version that this process ordered; it was the
	// target at that time or the version served before.
	lastOrdered fleet.Version
	deadline    time.Time // of the current phase
	drain       uint64    // number of the last StopAdmitting
	fetch       uint64    // number of the last StartFetch

	failures      int // failed loads of the goal
	claimFailures int
	drainTimeouts int // drains that timed out
	retryAt       time.Time

	paused   bool
	pausedAt time.Time

	actions []Action
}

// NewChangeover returns a Changeover without any state; the first Tick starts
// it.
func NewChangeover(opt ChangeoverOptions) *Changeover {
	opt.applyDefaults()
	return &Changeover{
		opts:         opt,
		detector:     NewPauseDetector(opt.PauseThreshold),
		staged:       map[fleet.Digest]bool{},
		partlyStaged: map[fleet.Digest]bool{},
	}
}

// SetDrainTimeout sets the configured DrainTimeout; 0 leaves it unchanged. It
// applies from the next drain on.
func (c *Changeover) SetDrainTimeout(d time.Duration) {
	if d > 0 {
		c.opts.DrainTimeout = d
	}
}

// Phase returns the current phase.
func (c *Changeover) Phase() Phase { return c.phase }

// Target returns the version that the configuration pins.
func (c *Changeover) Target() fleet.Version { return c.target }

// Serving returns the version that requests are admitted for; zero if none.
func (c *Changeover) Serving() fleet.Version {
	if !c.admitting {
		return fleet.Version{}
	}
	return c.lastServed
}

// Fence returns the state of the fencing number, for status and metrics.
func (c *Changeover) Fence() Fence { return c.fence }

// State returns the state that the replica reports to its peers.
func (c *Changeover) State() gossip.State {
	switch c.phase {
	case PhaseFetching, PhaseWaiting:
		return gossip.StateFetching
	case PhaseStaged:
		return gossip.StateStaged
	case PhaseStoodDown:
		return gossip.StateStarting
	}
	switch {
	case c.admitting:
		return gossip.StateServing
	case c.phase == PhaseDraining, c.phase == PhaseOrdering, c.phase == PhaseReading:
		return gossip.StateChanging
	default:
		return gossip.StateStarting
	}
}

// Gate returns the state that requests are checked against from now on. After a
// pause it refuses until the engine's status has been read again. The
// configuration and the neighbours are needed for orders only: a replica that
// cannot reach them continues to serve the version that it served.
func (c *Changeover) Gate() GateState {
	return GateState{
		Pinned:       c.target,
		LastServed:   c.lastServed,
		Intended:     c.lastServed,
		Verified:     c.verified,
		Status:       c.status,
		StatusAt:     c.statusAt,
		MaxStatusAge: c.opts.MaxStatusAge,
		Changing:     !c.admitting,
		Leaving:      c.phase == PhaseLeaving,
		Paused:       c.statusAt.Before(c.pausedAt),
		StoodDown:    c.phase == PhaseStoodDown,
	}
}

// Step takes one event and returns the actions to carry out, in order. now must
// carry Go's monotonic clock reading and must not decrease.
func (c *Changeover) Step(now time.Time, event Event) []Action {
	c.actions = nil
	paused := c.detector.Tick(now)
	if c.phase == PhaseStoodDown {
		return nil
	}
	if !c.started {
		c.started = true
		c.readStatus(now)
	} else if paused {
		c.suspend(now)
	}
	c.handle(now, event)
	return c.actions
}

func (c *Changeover) handle(now time.Time, event Event) {
	switch e := event.(type) {
	case Tick:
		c.tick(now)
	case TargetChanged:
		c.targetChanged(now, e.Version)
	case ChunksComplete:
		c.chunksComplete(e)
	case TurnGranted:
		c.turnGranted(now, e.Version)
	case Drained:
		c.drained(now, e.Drain)
	case DrainDeadline:
		c.drainDeadline(now)
	case OrderAccepted:
		c.orderDone(now, e.Attempt)
	case OrderFailed:
		c.orderFailed(now, e)
	case StatusRead:
		c.statusRead(now, e)
	case ServedElsewhere:
		c.servedElsewhereChanged(now, e.Versions)
	case EngineRestarted:
		c.engineRestarted(now)
	case EngineConfigDrifted:
		c.engineConfigDrifted(now)
	case Paused:
		c.suspend(now)
	case Refreshed:
		c.refreshed(now, e.RequestedAt)
	case Leaving:
		c.leave()
	}
}

func (c *Changeover) emit(action Action) { c.actions = append(c.actions, action) }

func (c *Changeover) readStatus(now time.Time) {
	c.statusRequestedAt = now
	c.emit(ReadStatus{})
}

func (c *Changeover) tick(now time.Time) {
	if now.Sub(c.statusRequestedAt) >= c.opts.PollInterval {
		c.readStatus(now)
	}
	if c.paused {
		return
	}
	switch c.phase {
	case PhaseDraining:
		c.drainDeadline(now)
	case PhaseOrdering:
		if now.After(c.deadline) {
			c.attemptFailed(now)
		}
	case PhaseReading:
		if now.After(c.deadline) {
			c.deadline = now.Add(c.opts.LoadTimeout)
			c.emit(Alarm{Reason: "the engine has been loading for too long"})
		}
	case PhaseWaiting:
		if !now.Before(c.retryAt) {
			c.advance(now)
		}
	}
}

// targetChanged accepts a newer target in any phase. An order in progress is
// allowed to finish, since it cannot be cancelled.
func (c *Changeover) targetChanged(now time.Time, target fleet.Version) {
	if target == c.target {
		return
	}
	c.target = target
	c.clearFailures()
	if c.paused {
		c.stopFetch()
		return
	}
	switch c.phase {
	case PhaseIdle, PhaseFetching, PhaseStaged, PhaseWaiting:
		c.advance(now)
	case PhaseDraining:
		c.resumeAdmitting()
		c.advance(now)
	}
}

// servedElsewhereChanged lets a process that has just started serve the version
// that it found loaded. Its predecessor put that version in service, but the
// configuration may have changed since. Without this rule, a restart in the
// middle of a rollout would take the replica out of service until the new
// version has been fetched, and a restart of all agents would take down the
// service.
func (c *Changeover) servedElsewhereChanged(now time.Time, versions []fleet.Version) {
	c.servedElsewhere = versions
	if c.paused || !c.claimed || !c.isServedElsewhere(c.status.Loaded) {
		return
	}
	switch c.phase {
	case PhaseIdle, PhaseFetching, PhaseStaged, PhaseWaiting:
		c.advance(now)
	}
}

func (c *Changeover) isServedElsewhere(v fleet.Version) bool {
	return c.lastServed.IsZero() && slices.Contains(c.servedElsewhere, v)
}

func (c *Changeover) chunksComplete(e ChunksComplete) {
	late := e.Fetch != 0 && e.Fetch != c.fetch
	if c.phase != PhaseFetching || late || e.Version != c.goal {
		return
	}
	delete(c.partlyStaged, c.goal.Manifest)
	c.staged[c.goal.Manifest] = true
	for manifest := range c.partlyStaged {
		c.dropStage(manifest)
	}
	c.phase = PhaseStaged
	c.requestTurn()
}

func (c *Changeover) requestTurn() {
	if !c.paused {
		c.emit(RequestTurn{Version: c.goal})
	}
}

func (c *Changeover) turnGranted(now time.Time, version fleet.Version) {
	if c.paused || c.phase != PhaseStaged || version != c.goal {
		return
	}
	if !c.admitting {
		c.sendOrder(now)
		return
	}
	c.phase = PhaseDraining
	c.deadline = now.Add(c.opts.DrainTimeout)
	c.stopAdmitting(c.deadline)
}

func (c *Changeover) drained(now time.Time, drain uint64) {
	if c.paused || c.phase != PhaseDraining || drain != c.drain {
		return
	}
	c.sendOrder(now)
}

// drainDeadline postpones the change instead of aborting a request in progress:
// the loaded version continues to be served, and other replicas can take their
// turn.
func (c *Changeover) drainDeadline(now time.Time) {
	if c.paused || c.phase != PhaseDraining || now.Before(c.deadline) {
		return
	}
	c.resumeAdmitting()
	c.drainTimeouts++
	c.scheduleRetry(now, c.drainTimeouts)
	c.advance(now)
}

func (c *Changeover) resumeAdmitting() {
	c.admitting = true
	c.emit(ResumeAdmitting{Version: c.lastServed})
}

func (c *Changeover) leave() {
	c.stopFetch()
	c.phase = PhaseLeaving
}
