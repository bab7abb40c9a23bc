// Package node implements what every process of the system does, whatever its
// role: it follows the configuration and keeps a view of the other processes.
//
// Its state belongs to the control loop. Other goroutines read the snapshots
// returned by ActiveConfig and View.
package node

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"chivespindle.example/adapters/peer"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/gossip"
	"chivespindle.example/core/revision"
	"chivespindle.example/daemon/control"
)

// Intervals of a Node.
const (
	// heartbeatInterval is the interval between two heartbeats.
	heartbeatInterval = time.Second
	// flushDelay is how long an update is held back so that further ones can be
	// sent with it. A change reaches an availability zone in a few hops, so this
	// is a small part of the four seconds that a configuration change may take.
	flushDelay = 50 * time.Millisecond
	// viewInterval is the interval at which silent processes are detected when
	// nothing is received.
	viewInterval = 500 * time.Millisecond
	// viewPausePerPeer is the pause after building a view, for each process in
	// it. Building a view takes time in proportion to the size of the fleet:
	// without the pause, the control loops of a fleet of thousands of processes
	// would be busy only with views during a rollout.
	viewPausePerPeer = 100 * time.Microsecond
)

// Options configures a Node. All fields are required unless a comment says
// otherwise.
type Options struct {
	Self         gossip.Record
	Loop         *control.Loop
	Endpoint     *peer.Endpoint
	Config       revision.Source
	InstanceList gossip.InstanceList
	// ListInterval is the mean interval between reads of the instance list by a
	// process that watches the platform; other processes read it less often.
	ListInterval time.Duration
	Rand         *rand.Rand
	Logger       *zap.Logger
	Metrics      tally.Scope
	// OnChange is called on the control loop after the active configuration or
	// the view has changed.
	OnChange func(now time.Time)
	// OnList is called on the control loop after each read of the instance list;
	// may be nil.
	OnList func(now time.Time, list []fleet.Instance)
	// OnDuplicate is called on the control loop when another process publishes
	// records under this process's ID.
	OnDuplicate func(other gossip.Record)
}

// Node follows the active configuration and the state of the fleet.
type Node struct {
	opts          Options
	ctx           context.Context
	table         *gossip.Table
	selector      *revision.Selector
	links         map[fleet.InstanceID]*link
	retryAt       map[fleet.InstanceID]time.Time
	dialing       map[fleet.InstanceID]bool
	fetching      bool // a configuration is being fetched from a peer
	fetchCount    int
	viewOutdated  bool // the table has changed since the view was built
	flushAt       time.Time
	nextHeartbeat time.Time
	nextView      time.Time
	earliestView  time.Time // earliest time for the next view
	duplicate     bool
	lastReceived  time.Time // last message from any neighbour

	active atomic.Pointer[revision.State]
	status atomic.Pointer[revision.Status]
	view   atomic.Pointer[gossip.View]
}

// New returns a node. Its streams end with ctx.
func New(ctx context.Context, now time.Time, opts Options) *Node {
	n := &Node{
		opts:     opts,
		ctx:      ctx,
		table:    gossip.New(gossip.Options{Self: opts.Self, Rand: opts.Rand, HeartbeatInterval: heartbeatInterval}),
		selector: revision.New(now, revision.Options{}),
		links:    make(map[fleet.InstanceID]*link),
		retryAt:  make(map[fleet.InstanceID]time.Time),
		dialing:  make(map[fleet.InstanceID]bool),
	}
	n.view.Store(n.table.View(now))
	status := n.selector.Status()
	n.status.Store(&status)
	return n
}

// ActiveConfig returns the active configuration, or nil while there is none. It
// is safe for concurrent use.
func (n *Node) ActiveConfig() *revision.State { return n.active.Load() }

// ConfigStatus returns the status of the configuration for operators. It is safe
// for concurrent use.
func (n *Node) ConfigStatus() revision.Status { return *n.status.Load() }

// View returns the current view of the fleet. It is safe for concurrent use.
func (n *Node) View() *gossip.View { return n.view.Load() }

// UpdateSelf changes the process's own record and schedules an update to the
// neighbours. It must be called on the control loop.
func (n *Node) UpdateSelf(now time.Time, edit func(*gossip.Record)) {
	before := n.table.Self().StateSeq
	n.table.UpdateSelf(edit)
	if n.table.Self().StateSeq != before {
		n.markChanged(now)
	}
}

// Self returns the process's own record. It must be called on the control loop.
func (n *Node) Self() gossip.Record { return n.table.Self() }

// markChanged marks the view as outdated and schedules an update to the
// neighbours.
func (n *Node) markChanged(now time.Time) {
	n.viewOutdated = true
	if n.flushAt.IsZero() {
		n.flushAt = now.Add(flushDelay)
	}
}

// Tick implements control.Ticker.
func (n *Node) Tick(now time.Time) {
	n.apply(now, n.selector.Tick(now))
	n.fetchIfBehind(now)
	if !now.Before(n.nextHeartbeat) {
		n.nextHeartbeat = now.Add(heartbeatInterval)
		n.table.Heartbeat(now)
		n.checkDuplicate()
		n.connect(now)
		n.flush(now)
	}
	if !n.flushAt.IsZero() && !now.Before(n.flushAt) {
		n.flush(now)
	}
	if n.viewOutdated && !now.Before(n.earliestView) || !now.Before(n.nextView) {
		n.publishView(now)
	}
}

func (n *Node) publishView(now time.Time) {
	n.viewOutdated = false
	view := n.table.View(now)
	n.view.Store(view)
	pause := time.Duration(len(view.Peers)) * viewPausePerPeer
	n.earliestView = now.Add(pause)
	n.nextView = now.Add(max(viewInterval, 2*pause))
	status := n.selector.Status()
	n.status.Store(&status)
	n.opts.OnChange(now)
}

// newRand returns a random source for use on another goroutine.
func (n *Node) newRand() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}

func (n *Node) checkDuplicate() {
	other, found := n.table.Duplicate()
	if !found || n.duplicate {
		return
	}
	n.duplicate = true
	n.opts.Logger.Error("instance_id_in_use",
		zap.String("id", string(other.ID)), zap.Uint64("its_incarnation", other.Incarnation))
	n.opts.OnDuplicate(other)
}
