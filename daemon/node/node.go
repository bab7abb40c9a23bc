// Package node is what every process of the system does, whatever its role:
// it knows the text in force and the other processes.
//
// Its state belongs to the control loop. Traffic reads the snapshots that
// InForce and View return.
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

// Intervals of the node.
const (
	// beatEvery is the time between two heartbeats.
	beatEvery = time.Second
	// flushAfter is how long news wait for more of them. A change reaches a
	// zone in a few hops, so this is a small part of the four seconds that a
	// configuration may take.
	flushAfter = 50 * time.Millisecond
	// viewEvery is how often silence is looked for when nothing is heard.
	viewEvery = 500 * time.Millisecond
	// viewCost is the pause after a view for each process in it. Making one
	// takes time in proportion to the fleet: without the pause a fleet of
	// thousands under a rollout would keep its loops busy with views alone.
	viewCost = 100 * time.Microsecond
)

// Options of a Node. All are needed unless a comment says otherwise.
type Options struct {
	Self     gossip.Record
	Loop     *control.Loop
	Endpoint *peer.Endpoint
	Config   revision.Source
	List     gossip.InstanceList
	// ListEvery is the mean pause between reads of the instance list by a
	// process that watches the platform; others read it rarely.
	ListEvery time.Duration
	Rand      *rand.Rand
	Logger    *zap.Logger
	Metrics   tally.Scope
	// OnChange is called on the control loop after the text in force or the
	// view has changed.
	OnChange func(now time.Time)
	// OnList is called on the control loop each time that the instance list was
	// read; may be nil.
	OnList func(now time.Time, list []fleet.Instance)
	// OnDuplicate is called on the control loop when another process spreads
	// news under this process's id.
	OnDuplicate func(other gossip.Record)
}

// Node knows the text and the fleet.
type Node struct {
	opts      Options
	ctx       context.Context
	table     *gossip.Table
	keeper    *revision.Selector
	links     map[fleet.InstanceID]*link
	retryAt   map[fleet.InstanceID]time.Time
	dialing   map[fleet.InstanceID]bool
	asking    bool // a text is being asked for
	askCount  int
	dirty     bool // the view is older than the table
	flushAt   time.Time
	nextBeat  time.Time
	nextView  time.Time
	soonest   time.Time // for a view, however much has changed
	duplicate bool
	lastHeard time.Time // last message of any neighbour

	inForce atomic.Pointer[revision.State]
	status  atomic.Pointer[revision.Status]
	view    atomic.Pointer[gossip.View]
}

// New returns a node. Its exchanges end with ctx.
func New(ctx context.Context, now time.Time, opts Options) *Node {
	n := &Node{
		opts:    opts,
		ctx:     ctx,
		table:   gossip.New(gossip.Options{Self: opts.Self, Rand: opts.Rand, HeartbeatInterval: beatEvery}),
		keeper:  revision.New(now, revision.Options{}),
		links:   make(map[fleet.InstanceID]*link),
		retryAt: make(map[fleet.InstanceID]time.Time),
		dialing: make(map[fleet.InstanceID]bool),
	}
	n.view.Store(n.table.View(now))
	status := n.keeper.Status()
	n.status.Store(&status)
	return n
}

// InForce returns the text in force, nil while there is none. Safe for any
// goroutine.
func (n *Node) InForce() *revision.State { return n.inForce.Load() }

// ConfigStatus tells an operator about the text. Safe for any goroutine.
func (n *Node) ConfigStatus() revision.Status { return *n.status.Load() }

// View returns what is known of the fleet. Safe for any goroutine.
func (n *Node) View() *gossip.View { return n.view.Load() }

// UpdateSelf changes the process's own record and tells the neighbours soon.
// It must be called on the control loop.
func (n *Node) UpdateSelf(now time.Time, edit func(*gossip.Record)) {
	before := n.table.Self().StateSeq
	n.table.UpdateSelf(edit)
	if n.table.Self().StateSeq != before {
		n.changed(now)
	}
}

// Self returns the process's own record. Control loop only.
func (n *Node) Self() gossip.Record { return n.table.Self() }

// changed notes that neighbours have news coming and that the view is old.
func (n *Node) changed(now time.Time) {
	n.dirty = true
	if n.flushAt.IsZero() {
		n.flushAt = now.Add(flushAfter)
	}
}

// Tick implements control.Ticker.
func (n *Node) Tick(now time.Time) {
	n.apply(now, n.keeper.Tick(now))
	n.askForText(now)
	if !now.Before(n.nextBeat) {
		n.nextBeat = now.Add(beatEvery)
		n.table.Heartbeat(now)
		n.checkDuplicate()
		n.connect(now)
		n.flush(now)
	}
	if !n.flushAt.IsZero() && !now.Before(n.flushAt) {
		n.flush(now)
	}
	if n.dirty && !now.Before(n.soonest) || !now.Before(n.nextView) {
		n.publishView(now)
	}
}

func (n *Node) publishView(now time.Time) {
	n.dirty = false
	view := n.table.View(now)
	n.view.Store(view)
	pause := time.Duration(len(view.Peers)) * viewCost
	n.soonest = now.Add(pause)
	n.nextView = now.Add(max(viewEvery, 2*pause))
	status := n.keeper.Status()
	n.status.Store(&status)
	n.opts.OnChange(now)
}

// newRand returns a source of chance for another goroutine.
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
