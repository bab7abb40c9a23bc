package node

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"chivespindle.example/core/fleet"
	"chivespindle.example/core/fleettext"
	"chivespindle.example/core/revision"
)

const (
	// listIntervalFactor times ListInterval is the mean interval between reads
	// of the instance list by a process that does not watch the platform. It
	// learns of other processes from its neighbours' records in the meantime.
	// With 3,910 processes and 2 s, this is 130 calls per second instead of
	// 1,955 of the 2,000 that the platform allows.
	listIntervalFactor = 15
	// initialListReads is the number of reads after the start that every process
	// makes at ListInterval, so that the processes of a new fleet find each
	// other quickly.
	initialListReads = 5
	// watchRetryMin and watchRetryMean are the ReadOptions of the watches: a
	// failed watch is retried after 0.2 s to 1.2 s at first, and then after 0.2
	// s to 0.6 s. The few watchers keep retrying at this rate during an outage,
	// so that a change becomes active within seconds of its end, however long it
	// lasted; 27 watchers make about 20 calls per second.
	watchRetryMin  = 200 * time.Millisecond
	watchRetryMean = 400 * time.Millisecond
	// roleCheckInterval is the interval at which a process checks whether it has
	// become a watcher.
	roleCheckInterval = 500 * time.Millisecond
)

// FollowConfig reads the platform's configuration according to the process's
// read plan and, while the process is one of the watchers of its availability
// zone, also watches it. It ends with ctx.
//
// Reads do not wait for watches: behind a stalled link a watch is answered late
// or never, and a process that waited for it would not become ready, or would
// miss a change, although the platform can be read.
func (n *Node) FollowConfig(ctx context.Context) error {
	var parts sync.WaitGroup
	parts.Go(func() { n.followReads(ctx) })
	parts.Go(func() { n.followWatches(ctx) })
	parts.Wait()
	return nil
}

func (n *Node) followWatches(ctx context.Context) {
	plan := revision.NewReadPlan(revision.ReadOptions{Retry: watchRetryMin, Mean: watchRetryMean}, n.newRand())
	wasWatcher := false
	for ctx.Err() == nil {
		isWatcher := n.isWatcher()
		n.logWatching(&wasWatcher, isWatcher)
		if isWatcher {
			sleep(ctx, n.watchOnce(ctx, plan))
			continue
		}
		sleep(ctx, roleCheckInterval)
	}
}

func (n *Node) followReads(ctx context.Context) {
	plan := revision.NewReadPlan(revision.ReadOptions{}, n.newRand())
	nextRead := time.Now().Add(n.firstReadDelay(plan))
	wasBehind := true
	for ctx.Err() == nil {
		behind := n.isBehind()
		if behind && !wasBehind {
			nextRead = time.Now().Add(plan.NextWhenBehind())
		}
		wasBehind = behind
		if !time.Now().Before(nextRead) {
			err := n.readOnce(ctx)
			nextRead = time.Now().Add(plan.Next(err, n.isBehind()))
		}
		sleep(ctx, roleCheckInterval)
	}
}

// firstReadDelay returns the delay before the first read. A process that knows
// no other process cannot receive a configuration from one, so it reads at once.
func (n *Node) firstReadDelay(plan *revision.ReadPlan) time.Duration {
	if len(n.View().Peers) == 0 {
		return 0
	}
	return plan.First()
}

func (n *Node) logWatching(wasWatcher *bool, isWatcher bool) {
	if *wasWatcher == isWatcher {
		return
	}
	*wasWatcher = isWatcher
	n.opts.Logger.Info("platform_watcher_changed", zap.Bool("watching", isWatcher))
}

func (n *Node) watchOnce(ctx context.Context, plan *revision.ReadPlan) time.Duration {
	var after revision.Revision
	if err := n.opts.Loop.Do(ctx, func(time.Time) { after = n.selector.WatchAfter() }); err != nil {
		return roleCheckInterval
	}
	started := time.Now()
	doc, err := n.opts.Config.Watch(ctx, after)
	n.handleDocument(doc, err)
	return plan.NextWatch(time.Since(started), err)
}

func (n *Node) readOnce(ctx context.Context) error {
	doc, err := n.opts.Config.Read(ctx)
	n.handleDocument(doc, err)
	return err
}

// handleDocument validates a document on the caller's goroutine, since parsing a
// configuration of a megabyte takes a while, and passes the result to the
// control loop.
func (n *Node) handleDocument(doc revision.Document, err error) {
	n.opts.Metrics.Counter("platform_config_calls").Inc(1)
	if err != nil {
		n.opts.Metrics.Counter("platform_config_failures").Inc(1)
		n.opts.Logger.Debug("platform_text_not_read", zap.Error(err))
		return
	}
	var base *fleettext.Fleet
	if state := n.ActiveConfig(); state != nil {
		base = state.Fleet
	}
	candidate := revision.ReadDocument(doc, base)
	n.post(func(now time.Time) { n.apply(now, n.selector.HandleCandidate(now, candidate)) })
}

// ConfirmContact reads the platform's configuration again and reports whether
// the process has had contact since the given time: the platform responded, or a
// neighbour sent a message. It is for a process that was paused and must not act
// on what it knew before.
func (n *Node) ConfirmContact(ctx context.Context, since time.Time) bool {
	if n.readOnce(ctx) == nil {
		return true
	}
	received := false
	err := n.opts.Loop.Do(ctx, func(time.Time) { received = n.lastReceived.After(since) })
	return err == nil && received
}

// isBehind reports whether this process has no active configuration or an older
// one than some peer in the view.
func (n *Node) isBehind() bool {
	state := n.ActiveConfig()
	if state == nil {
		return true
	}
	for _, p := range n.View().Peers {
		if p.Revision > state.Revision {
			return true
		}
	}
	return false
}

// isWatcher reports whether this process is one of the watchers of the platform
// in its availability zone.
func (n *Node) isWatcher() bool {
	view := n.View()
	self := view.Self
	members := []fleet.Instance{{ID: self.ID, Role: self.Role, Place: self.Place, Leaving: self.Leaving}}
	for _, p := range view.Peers {
		if p.Zone == self.Zone && !p.Silent {
			members = append(members, fleet.Instance{ID: p.ID, Role: p.Role, Place: p.Place, Leaving: p.IsLeaving()})
		}
	}
	for _, id := range revision.Watchers(members, revision.DefaultWatchers) {
		if id == self.ID {
			return true
		}
	}
	return false
}

// FollowInstances reads the platform's instance list repeatedly until ctx ends.
func (n *Node) FollowInstances(ctx context.Context) error {
	random := n.newRand()
	for reads := 0; ctx.Err() == nil; reads++ {
		list, err := n.opts.InstanceList.Instances(ctx)
		n.opts.Metrics.Counter("platform_list_calls").Inc(1)
		if err != nil {
			n.opts.Metrics.Counter("platform_list_failures").Inc(1)
			n.opts.Logger.Debug("instance_list_not_read", zap.Error(err))
		} else {
			n.post(func(now time.Time) { n.handleList(now, list) })
		}
		wait := n.opts.ListInterval
		if reads >= initialListReads && !n.isWatcher() {
			wait *= listIntervalFactor
		}
		// Jitter of 50 % to 150 %, so that processes that started together do
		// not read at the same time.
		sleep(ctx, wait/2+time.Duration(random.Int64N(int64(wait)+1)))
	}
	return nil
}

func (n *Node) handleList(now time.Time, list []fleet.Instance) {
	n.table.SetListed(now, list)
	if n.opts.OnList != nil {
		n.opts.OnList(now, list)
	}
	n.viewOutdated = true
	n.connect(now)
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
