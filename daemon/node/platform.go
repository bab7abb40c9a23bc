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
	// rareFactor times ListEvery is the pause between reads of the instance
	// list by a process that does not watch. Its neighbours' records tell it
	// of others meanwhile. At 3,910 processes and 2 s this is 130 calls a
	// second instead of 1,955 of the platform's 2,000.
	rareFactor = 15
	// firstReads is how many reads of the list after the start are made at
	// ListEvery by every process, so that a new fleet finds itself quickly.
	firstReads = 5
	// watchRetry and watchRetryMost bound the wait before a watch that failed
	// is tried again: a fifth to all of five times these. The few watchers ask
	// on through an outage, so that a change is in force seconds after its end
	// however long it was; 27 of them make some twenty calls a second.
	watchRetry     = 200 * time.Millisecond
	watchRetryMost = 400 * time.Millisecond
	// roleCheckEvery is how often a process looks whether it has become a
	// watcher.
	roleCheckEvery = 500 * time.Millisecond
)

// FollowText reads the platform's text by the process's own plan and, while
// the process is one of its zone's watchers, watches it too. It ends with ctx.
//
// Reads do not wait for watches: behind a stalled link a watch is answered
// late or never, and a process that waited for it would not be ready, or would
// miss a change, though the platform can be read.
func (n *Node) FollowText(ctx context.Context) error {
	var parts sync.WaitGroup
	parts.Go(func() { n.followReads(ctx) })
	parts.Go(func() { n.followWatches(ctx) })
	parts.Wait()
	return nil
}

func (n *Node) followWatches(ctx context.Context) {
	plan := revision.NewReadPlan(revision.ReadOptions{Retry: watchRetry, Mean: watchRetryMost}, n.newRand())
	watching := false
	for ctx.Err() == nil {
		watches := n.isWatcher()
		n.logWatching(&watching, watches)
		if watches {
			pause(ctx, n.watchOnce(ctx, plan))
			continue
		}
		pause(ctx, roleCheckEvery)
	}
}

func (n *Node) followReads(ctx context.Context) {
	plan := revision.NewReadPlan(revision.ReadOptions{}, n.newRand())
	nextRead := time.Now().Add(n.firstRead(plan))
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
		pause(ctx, roleCheckEvery)
	}
}

// firstRead is the wait before the first read. A process that has heard of no
// other cannot be told anything, so it reads at once.
func (n *Node) firstRead(plan *revision.ReadPlan) time.Duration {
	if len(n.View().Peers) == 0 {
		return 0
	}
	return plan.First()
}

func (n *Node) logWatching(state *bool, now bool) {
	if *state == now {
		return
	}
	*state = now
	n.opts.Logger.Info("platform_watcher_changed", zap.Bool("watching", now))
}

func (n *Node) watchOnce(ctx context.Context, plan *revision.ReadPlan) time.Duration {
	var after revision.Revision
	if err := n.opts.Loop.Do(ctx, func(time.Time) { after = n.keeper.WatchAfter() }); err != nil {
		return roleCheckEvery
	}
	started := time.Now()
	doc, err := n.opts.Config.Watch(ctx, after)
	n.offer(doc, err)
	return plan.NextWatch(time.Since(started), err)
}

func (n *Node) readOnce(ctx context.Context) error {
	doc, err := n.opts.Config.Read(ctx)
	n.offer(doc, err)
	return err
}

// offer checks a document on the caller's goroutine, since a text of a
// megabyte takes a while, and hands the result to the control loop.
func (n *Node) offer(doc revision.Document, err error) {
	n.opts.Metrics.Counter("platform_config_calls").Inc(1)
	if err != nil {
		n.opts.Metrics.Counter("platform_config_failures").Inc(1)
		n.opts.Logger.Debug("platform_text_not_read", zap.Error(err))
		return
	}
	var base *fleettext.Fleet
	if state := n.InForce(); state != nil {
		base = state.Fleet
	}
	candidate := revision.ReadDocument(doc, base)
	n.post(func(now time.Time) { n.apply(now, n.keeper.HandleCandidate(now, candidate)) })
}

// Reread reads the platform's text once more and reports whether the world has
// been heard since: the platform answered, or a neighbour spoke. It is for a
// process that was paused and must not act on what it knew before.
func (n *Node) Reread(ctx context.Context, since time.Time) bool {
	if n.readOnce(ctx) == nil {
		return true
	}
	heard := false
	err := n.opts.Loop.Do(ctx, func(time.Time) { heard = n.lastHeard.After(since) })
	return err == nil && heard
}

// isBehind reports whether this process has no text or an older one than some
// peer of the view.
func (n *Node) isBehind() bool {
	state := n.InForce()
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

// isWatcher reports whether this process is one of those of its zone that
// watch the platform.
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

// FollowList reads the platform's instance list until ctx ends.
func (n *Node) FollowList(ctx context.Context) error {
	random := n.newRand()
	for reads := 0; ctx.Err() == nil; reads++ {
		list, err := n.opts.List.Instances(ctx)
		n.opts.Metrics.Counter("platform_list_calls").Inc(1)
		if err != nil {
			n.opts.Metrics.Counter("platform_list_failures").Inc(1)
			n.opts.Logger.Debug("instance_list_not_read", zap.Error(err))
		} else {
			n.post(func(now time.Time) { n.listRead(now, list) })
		}
		wait := n.opts.ListEvery
		if reads >= firstReads && !n.isWatcher() {
			wait *= rareFactor
		}
		// From half to one and a half, so that processes that started together
		// do not ask together.
		pause(ctx, wait/2+time.Duration(random.Int64N(int64(wait)+1)))
	}
	return nil
}

func (n *Node) listRead(now time.Time, list []fleet.Instance) {
	n.table.SetListed(now, list)
	if n.opts.OnList != nil {
		n.opts.OnList(now, list)
	}
	n.dirty = true
	n.connect(now)
}

func pause(ctx context.Context, d time.Duration) {
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
