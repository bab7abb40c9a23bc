package loader

import (
	"time"

	"go.uber.org/zap"

	"chivespindle.example/core/fleet"
	"chivespindle.example/core/loading"
	"chivespindle.example/core/spread"
	"chivespindle.example/daemon/wire"
)

const (
	// resolveAgain is the pause before a manifest is asked for again.
	resolveAgain = 300 * time.Millisecond
)

// resolve reads the manifest of the wanted version at the origin when it is
// this agent's turn, and begins to gather it. Engines that hold the version
// gather it too: from their own stage, to give it to others.
func (l *Loader) resolve(now time.Time) {
	if l.resolving || now.Before(l.resolveAt) {
		return
	}
	l.resolving = true
	supply := *l.supply
	wanted := l.plan.Wanted()
	go func() {
		version, named, raw, err := l.stage.resolve(l.ctx, supply, wanted)
		l.post(func(now time.Time) { l.resolved(now, version, named, raw, err) })
	}()
}

func (l *Loader) resolved(now time.Time, version uint64, named fleet.Version, raw []byte, err error) {
	l.resolving = false
	if err != nil {
		l.resolveAt = now.Add(l.plan.ManifestReadDelay(resolveAgain))
		l.opts.Logger.Warn("manifest_failed", zap.Uint64("wanted", l.plan.Wanted()), zap.Error(err))
		return
	}
	l.manifest = &wire.Manifest{Model: l.supply.Model, Version: version, Raw: raw}
	l.manifestTold = make(map[fleet.InstanceID]bool)
	l.mesh.Flush(now)
	l.found(now, version, named)
}

// heardManifest takes a manifest that another agent has read.
func (l *Loader) heardManifest(now time.Time, heard wire.Manifest) {
	l.lastManifest = heard // it may come before the word that its version is wanted
	wanted := l.plan.Wanted()
	if l.supply == nil || heard.Model != l.supply.Model || wanted != 0 && heard.Version != wanted || l.isGathered(heard.Version) {
		return
	}
	named, err := l.stage.adopt(*l.supply, heard)
	if err != nil {
		l.opts.Logger.Warn("manifest_refused", zap.Uint64("version", heard.Version), zap.Error(err))
		return
	}
	l.found(now, heard.Version, named)
}

// found follows a manifest that was read or heard.
func (l *Loader) found(now time.Time, version uint64, named fleet.Version) {
	if l.plan.Wanted() == 0 {
		l.plan.AddWanted(loading.NamedVersion{Version: version, Since: now})
	}
	if version != l.plan.Wanted() || l.isGathered(version) {
		return // another version was named meanwhile
	}
	l.gather(now, version, named)
}

// gather takes a version among those that are gathered. One before it of which
// little has left the origin is given up; else it is finished.
func (l *Loader) gather(now time.Time, version uint64, named fleet.Version) {
	for _, older := range l.gathers {
		if l.plan.ShouldAbandon(l.swarm.UnseenShare(older.named.Manifest)) {
			l.swarm.Stop(older.named.Manifest)
		}
	}
	l.gathers = append(l.gathers, gathering{version: version, named: named, from: now})
	for len(l.gathers) > keptVersions {
		l.swarm.Drop(l.gathers[0].named.Manifest)
		l.gathers = l.gathers[1:]
	}
	l.startWaiting(now)
}

// startWaiting begins to fetch the newest version once all of the one before it
// has left the origin, or it brings nothing more.
//
// A version may be named soon after another, and the origin fail when most of the
// first has left it. Gathered at once when it is back, both come late, and the
// first is of no use any more. The rest of the first alone takes a fraction of a
// second, and its engines serve until the second is there. What this agent holds
// itself does not tell how much that is: it may be little while others hold all.
func (l *Loader) startWaiting(now time.Time) {
	last := len(l.gathers) - 1
	if last < 0 || l.gathers[last].started {
		return
	}
	if last > 0 && l.isLeavingOrigin(now, l.gathers[last-1], l.gathers[last].from) {
		return
	}
	l.leaveOlder(last)
	g := &l.gathers[last]
	g.started = true
	g.from = now
	l.swarm.Fetch(now, g.named, spread.Settings{
		Policy: spread.PolicyTime, OriginCopies: originCopies, OriginRate: l.supply.BytesPerSecond,
		ReportWait: listenTime, TakeoverDelay: takeover, SourcePauseMax: originPause, NoStore: true, NearFirst: !l.opts.Off.NearFetch,
	}, nil)
}

// leaveOlder ends the fetches of versions before one that have not left the
// origin whole: both would come late. What is in the fleet goes on.
func (l *Loader) leaveOlder(newest int) {
	for _, older := range l.gathers[:newest] {
		if l.swarm.UnseenShare(older.named.Manifest) > 0 {
			l.swarm.Stop(older.named.Manifest)
		}
	}
}

// isLeavingOrigin reports whether a version is on its way from the origin, which
// was last seen to answer at a moment.
func (l *Loader) isLeavingOrigin(now time.Time, g gathering, answered time.Time) bool {
	unseen := l.swarm.UnseenShare(g.named.Manifest)
	return l.plan.ShouldFinishFirst(now, g.version, unseen) && l.stage.isArriving(now, g, answered)
}
