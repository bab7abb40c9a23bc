package loader

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/loading"
	"chivespindle.example/core/spread"
	"chivespindle.example/core/weights"
	"chivespindle.example/daemon/wire"
)

const (
	// manifestRetryDelay is the minimum delay before a failed read of a manifest is
	// retried.
	manifestRetryDelay = 300 * time.Millisecond
)

// readManifest reads the manifest of the wanted version from the origin when it is this
// agent's turn, and starts to fetch the version. Agents whose engine already has the
// version fetch it too, from the engine's own stage, to provide it to peers.
func (l *Loader) readManifest(now time.Time) {
	if l.readingManifest || now.Before(l.nextManifestRead) {
		return
	}
	l.readingManifest = true
	supply := *l.supply
	wanted := l.plan.Wanted()
	go func() {
		version, named, raw, err := l.stage.readManifest(l.ctx, supply, wanted)
		l.post(func(now time.Time) { l.handleManifestRead(now, version, named, raw, err) })
	}()
}

func (l *Loader) handleManifestRead(now time.Time, version uint64, named fleet.Version, raw []byte, err error) {
	l.readingManifest = false
	if err != nil {
		l.nextManifestRead = now.Add(l.plan.ManifestReadDelay(manifestRetryDelay))
		l.opts.Logger.Warn("manifest_failed", zap.Uint64("wanted", l.plan.Wanted()), zap.Error(err))
		return
	}
	l.ownManifest = &wire.Manifest{Model: l.supply.Model, Version: version, Raw: raw}
	l.manifestSentTo = make(map[fleet.InstanceID]bool)
	l.mesh.Flush(now)
	l.fetchIfWanted(now, version, named)
}

// handleManifest processes a manifest that another agent has read.
func (l *Loader) handleManifest(now time.Time, received wire.Manifest) {
	l.receivedManifest = received // it may arrive before the report that its version is wanted
	wanted := l.plan.Wanted()
	if l.supply == nil || received.Model != l.supply.Model || wanted != 0 && received.Version != wanted || l.hasFetch(received.Version) {
		return
	}
	named, err := l.stage.addManifest(*l.supply, received)
	if err != nil {
		l.opts.Logger.Warn("manifest_refused", zap.Uint64("version", received.Version), zap.Error(err))
		return
	}
	l.fetchIfWanted(now, received.Version, named)
}

// fetchIfWanted starts to fetch a version whose manifest was read or received, unless
// another version is wanted.
func (l *Loader) fetchIfWanted(now time.Time, version uint64, named fleet.Version) {
	if l.plan.Wanted() == 0 {
		l.plan.AddWanted(loading.NamedVersion{Version: version, Since: now})
	}
	if version != l.plan.Wanted() || l.hasFetch(version) {
		return // another version was named in the meantime
	}
	l.addFetch(now, version, named)
}

// addFetch adds a version to those that are fetched. Earlier versions of which the
// origin has sent little are abandoned; the others are completed.
func (l *Loader) addFetch(now time.Time, version uint64, named fleet.Version) {
	for _, older := range l.fetches {
		if l.plan.ShouldAbandon(l.swarm.UnseenShare(older.fleetVersion.Manifest)) {
			l.swarm.Stop(older.fleetVersion.Manifest)
		}
	}
	l.stage.markFetched(version, named.Manifest)
	l.fetches = append(l.fetches, versionFetch{version: version, fleetVersion: named, since: now})
	for len(l.fetches) > keptVersions {
		dropped := l.fetches[0].fleetVersion.Manifest
		l.fetches = l.fetches[1:]
		if !l.fetchesManifest(dropped) {
			l.swarm.Drop(dropped)
		}
	}
	l.startNewestFetch(now)
}

// fetchesManifest reports whether a version with the manifest is fetched. Two versions
// with the same content share the transfers of the swarm.
func (l *Loader) fetchesManifest(digest fleet.Digest) bool {
	return slices.ContainsFunc(l.fetches, func(g versionFetch) bool { return g.fleetVersion.Manifest == digest })
}

// startNewestFetch starts to fetch the newest version once the origin has sent all of
// the previous one, or the previous one makes no progress.
//
// A version may be named soon after another, and the origin may fail when it has sent
// most of the first. If both are fetched when the origin is back, both are late, and
// the first is of no use any more. The remainder of the first alone takes a fraction of
// a second, and its engines serve until the second is there. The chunks that this agent
// holds do not show how much remains: it may hold few while the fleet holds all.
func (l *Loader) startNewestFetch(now time.Time) {
	last := len(l.fetches) - 1
	if last < 0 || l.fetches[last].started {
		return
	}
	if last > 0 && l.mustFinishFirst(now, l.fetches[last-1], l.fetches[last].since) {
		return
	}
	l.stopOlder(last)
	g := &l.fetches[last]
	g.started = true
	g.since = now
	l.swarm.Fetch(now, g.fleetVersion, spread.Settings{
		Policy: spread.PolicyTime, OriginCopies: originCopies, OriginRate: l.supply.BytesPerSecond,
		ReportWait: peerReportWait, TakeoverDelay: takeoverDelay, SourcePauseMax: maxOriginPause, NoStore: true, NearFirst: !l.opts.Disabled.NearFetch,
	}, nil)
}

// stopOlder stops the fetches of earlier versions that the origin has not sent
// completely: together with the newest, both would be late. Versions of which the fleet
// holds all chunks continue.
func (l *Loader) stopOlder(newest int) {
	for _, older := range l.fetches[:newest] {
		if l.swarm.UnseenShare(older.fleetVersion.Manifest) > 0 {
			l.swarm.Stop(older.fleetVersion.Manifest)
		}
	}
}

// mustFinishFirst reports whether a version is still arriving from the origin and is to
// be completed before a newer one. The origin last responded at lastResponse.
func (l *Loader) mustFinishFirst(now time.Time, g versionFetch, lastResponse time.Time) bool {
	unseen := l.swarm.UnseenShare(g.fleetVersion.Manifest)
	return l.plan.ShouldFinishFirst(now, g.version, unseen) && l.stage.isArriving(now, g, lastResponse)
}

// checkManifest checks a manifest against the model of the engine and the number and the
// size of the chunks in the configuration. If it lacked the last chunks, the engine would
// load those of the version that was staged before.
func checkManifest(supply wire.Supply, m weights.Manifest) error {
	if m.Model != supply.Model {
		return failure.Corrupt.New("the manifest is of model %s, want %s", m.Model, supply.Model)
	}
	if supply.Chunks != 0 && len(m.Chunks) != supply.Chunks {
		return failure.Corrupt.New("the manifest lists %d chunks, want %d", len(m.Chunks), supply.Chunks)
	}
	for _, c := range m.Chunks {
		if supply.ChunkBytes != 0 && c.Bytes != supply.ChunkBytes {
			return failure.Corrupt.New("chunk %d of the manifest has %d bytes, want %d", c.Index, c.Bytes, supply.ChunkBytes)
		}
	}
	return nil
}
