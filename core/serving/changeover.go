package serving

import (
	"math/rand/v2"
	"slices"
	"time"

	"chivespindle.example/core/fleet"
	"chivespindle.example/core/gossip"
)

// Phase is where a Changeover stands.
type Phase uint8

const (
	// PhaseClaiming: the engine's status is read and its fence is claimed.
	PhaseClaiming Phase = iota
	// PhaseIdle: the target is served, or there is none.
	PhaseIdle
	// PhaseFetching: chunks are being fetched.
	PhaseFetching
	// PhaseStaged: all chunks are verified; the replica waits for its turn.
	PhaseStaged
	// PhaseDraining: no new requests; those in progress run to their end.
	PhaseDraining
	// PhaseOrdering: an order was sent and its answer is awaited.
	PhaseOrdering
	// PhaseReading: the order was accepted; the engine's status is read until
	// the engine has finished.
	PhaseReading
	// PhaseWaiting: an attempt failed; the next one comes after a back-off.
	PhaseWaiting
	// PhaseLeaving: the instance is leaving; nothing is changed any more.
	PhaseLeaving
	// PhaseStoodDown: another process has taken over.
	PhaseStoodDown
)

var phaseNames = [...]string{
	"claiming", "idle", "fetching", "staged", "draining", "ordering", "reading", "waiting", "leaving", "down",
}

// String returns the phase's name for logs.
func (p Phase) String() string {
	if int(p) < len(phaseNames) {
		return phaseNames[p]
	}
	return "unknown"
}

// ChangeoverOptions configures a Changeover. Zero fields take the defaults.
type ChangeoverOptions struct {
	// Rand spreads the back-offs.
	Rand *rand.Rand
	// PauseThreshold is the longest time between two steps that is not taken for
	// a pause of the process; default 2 s. Tick must be posted several times
	// within it.
	PauseThreshold time.Duration
	// PollInterval is the time between two reads of the engine's status; default
	// 500 ms.
	PollInterval time.Duration
	// MaxStatusAge is how long a status is believed; default 3 s.
	MaxStatusAge time.Duration
	// DrainTimeout is how long requests in progress may take before the change
	// is put off; default 2 min. It should exceed the longest request.
	DrainTimeout time.Duration
	// OrderTimeout is how long the answer to an order may take; default 30 s.
	OrderTimeout time.Duration
	// LoadTimeout is how long the engine may load before an Alarm; default
	// 10 min.
	LoadTimeout time.Duration
	// InitialBackoff is the pause after the first failed attempt; it doubles up to
	// MaxBackoff. Defaults 1 s and 5 min.
	InitialBackoff time.Duration
	MaxBackoff     time.Duration
	// MaxFailures is how many attempts may fail before a replica that serves
	// nothing goes back to the version it served before; default 3.
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
// Step takes an event and returns what is to be done, in order. It belongs to
// the control goroutine.
//
// Before the first order, and whenever the engine or the process may have
// missed something, it claims the engine: it reads the status, sends an order
// that carries nothing but the fencing number, and reads again. What it then
// finds loaded it serves if it is the target or the version it served before.
// A process that has just started also takes a version that other replicas
// serve. Any other version is not served: nobody knows that an accepted text
// named it.
type Changeover struct {
	opt      ChangeoverOptions
	fence    Fence
	detector *PauseDetector
	phase    Phase
	started  bool

	target fleet.Version
	goal   fleet.Version // what the present attempt loads: target or before
	before fleet.Version // served last by intention
	// vouched are the versions that other replicas serve.
	vouched []fleet.Version

	admitting bool
	verified  fleet.Digest // manifest of before, once verified or reported
	staged    map[fleet.Digest]bool
	partial   map[fleet.Digest]bool // staged in part

	status   EngineStatus
	statusAt time.Time
	askedAt  time.Time // last ReadStatus
	boot     string
	claimed  bool

	attempt    uint64
	ordered    fleet.Version // zero for a claim
	accepted   bool
	acceptedAt time.Time
	// lastOrdered is the last version that this process ordered, each the
	// target of its time.
	lastOrdered fleet.Version
	deadline    time.Time // of the phase
	drain       uint64    // number of the last StopAdmitting
	fetch       uint64    // number of the last StartFetch

	failures      int // loads of the goal that failed
	claimFailures int
	putOffs       int // drains that were put off
	notBefore     time.Time

	paused   bool
	pausedAt time.Time

	actions []Action
}

// NewChangeover returns a machine that knows nothing; the first Tick starts
// it.
func NewChangeover(opt ChangeoverOptions) *Changeover {
	opt.applyDefaults()
	return &Changeover{
		opt:      opt,
		detector: NewPauseDetector(opt.PauseThreshold),
		staged:   map[fleet.Digest]bool{},
		partial:  map[fleet.Digest]bool{},
	}
}

// SetDrainTimeout takes the operator's time for requests in progress; 0 leaves
// it as it is. It counts from the next drain on.
func (c *Changeover) SetDrainTimeout(d time.Duration) {
	if d > 0 {
		c.opt.DrainTimeout = d
	}
}

// Phase returns where the replica stands.
func (c *Changeover) Phase() Phase { return c.phase }

// Target returns the version that the text pins.
func (c *Changeover) Target() fleet.Version { return c.target }

// Serving returns the version that requests are admitted for; zero if none.
func (c *Changeover) Serving() fleet.Version {
	if !c.admitting {
		return fleet.Version{}
	}
	return c.before
}

// Fence returns the state of the fencing number, for status and metrics.
func (c *Changeover) Fence() Fence { return c.fence }

// State returns what the replica should say of itself.
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

// Gate returns the state that traffic is checked against from now on. After a
// pause it closes until the engine's status has been read again; the text and
// the neighbours are needed for orders only, and a replica that cannot reach
// them goes on serving what it served.
func (c *Changeover) Gate() GateState {
	return GateState{
		Pinned:       c.target,
		LastServed:   c.before,
		Intended:     c.before,
		Verified:     c.verified,
		Status:       c.status,
		StatusAt:     c.statusAt,
		MaxStatusAge: c.opt.MaxStatusAge,
		Changing:     !c.admitting,
		Leaving:      c.phase == PhaseLeaving,
		Paused:       c.statusAt.Before(c.pausedAt),
		StoodDown:    c.phase == PhaseStoodDown,
	}
}

// Step takes one event and returns the actions to carry out, in order. now
// must carry Go's monotonic reading and never go back.
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
		c.pause(now)
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
		c.vouchedFor(now, e.Versions)
	case EngineRestarted:
		c.engineRestarted(now)
	case EngineConfigDrifted:
		c.reorder(now)
	case Paused:
		c.pause(now)
	case Refreshed:
		c.woke(now, e.RequestedAt)
	case Leaving:
		c.leave()
	}
}

func (c *Changeover) do(a Action) { c.actions = append(c.actions, a) }

func (c *Changeover) readStatus(now time.Time) {
	c.askedAt = now
	c.do(ReadStatus{})
}

func (c *Changeover) tick(now time.Time) {
	if now.Sub(c.askedAt) >= c.opt.PollInterval {
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
			c.fail(now)
		}
	case PhaseReading:
		if now.After(c.deadline) {
			c.deadline = now.Add(c.opt.LoadTimeout)
			c.do(Alarm{Reason: "the engine has been loading for too long"})
		}
	case PhaseWaiting:
		if !now.Before(c.notBefore) {
			c.resume(now)
		}
	}
}

// targetChanged takes a newer target in any phase. An order that is under way
// is let finish, since nobody can call it back.
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
		c.resume(now)
	case PhaseDraining:
		c.resumeAdmitting()
		c.resume(now)
	}
}

// vouchedFor lets a process that has just started serve on what it found. Its
// predecessor put it in service, but the text has moved on since. Without the
// others' word a restart in the middle of a rollout would take the replica out
// for as long as the fetch of the new version lasts, and a restart of all
// agents would take out the service.
func (c *Changeover) vouchedFor(now time.Time, versions []fleet.Version) {
	c.vouched = versions
	if c.paused || !c.claimed || !c.isVouched(c.status.Loaded) {
		return
	}
	switch c.phase {
	case PhaseIdle, PhaseFetching, PhaseStaged, PhaseWaiting:
		c.resume(now)
	}
}

func (c *Changeover) isVouched(v fleet.Version) bool {
	return c.before.IsZero() && slices.Contains(c.vouched, v)
}

func (c *Changeover) chunksComplete(e ChunksComplete) {
	late := e.Fetch != 0 && e.Fetch != c.fetch
	if c.phase != PhaseFetching || late || e.Version != c.goal {
		return
	}
	delete(c.partial, c.goal.Manifest)
	c.staged[c.goal.Manifest] = true
	for manifest := range c.partial {
		c.dropStage(manifest)
	}
	c.phase = PhaseStaged
	c.askTurn()
}

func (c *Changeover) askTurn() {
	if !c.paused {
		c.do(RequestTurn{Version: c.goal})
	}
}

func (c *Changeover) turnGranted(now time.Time, v fleet.Version) {
	if c.paused || c.phase != PhaseStaged || v != c.goal {
		return
	}
	if !c.admitting {
		c.sendOrder(now)
		return
	}
	c.phase = PhaseDraining
	c.deadline = now.Add(c.opt.DrainTimeout)
	c.stopAdmitting(c.deadline)
}

func (c *Changeover) drained(now time.Time, drain uint64) {
	if c.paused || c.phase != PhaseDraining || drain != c.drain {
		return
	}
	c.sendOrder(now)
}

// drainDeadline puts the change off rather than cut a request in progress:
// the version that is loaded goes on being served, and the turn is free for
// others.
func (c *Changeover) drainDeadline(now time.Time) {
	if c.paused || c.phase != PhaseDraining || now.Before(c.deadline) {
		return
	}
	c.resumeAdmitting()
	c.putOffs++
	c.backOff(now, c.putOffs)
	c.resume(now)
}

func (c *Changeover) resumeAdmitting() {
	c.admitting = true
	c.do(ResumeAdmitting{Version: c.before})
}

func (c *Changeover) leave() {
	c.stopFetch()
	c.phase = PhaseLeaving
}
