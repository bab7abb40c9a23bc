package loader

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"chivespindle.example/core/catalog"
	"chivespindle.example/core/loading"
	"chivespindle.example/daemon/supply"
)

const (
	// noEntryTimeout is how long an agent receives nothing from any entry until it
	// reads the catalog itself. noEntryTimeoutAtStart is the same after the agent's
	// start, and is long enough for an entry that starts at the same moment to send
	// what the agent needs.
	noEntryTimeout        = 2 * time.Second
	noEntryTimeoutAtStart = 1500 * time.Millisecond
	// noSupplyTimeout is how long after its start an agent waits for an entry to report
	// where the weights come from. Entries that were cut off from the platform before
	// the server was registered do not know it.
	noSupplyTimeout = 4 * time.Second
	// catalogReadInterval is the mean pause between two such reads. There are far more
	// agents than entries, and the platform counts each call.
	catalogReadInterval = 2 * time.Second
	// catalogRetryInterval is the mean pause between reads while the source of the
	// weights is unknown.
	catalogRetryInterval = 250 * time.Millisecond
	// catalogReadTimeout bounds one read. The platform adapter ends a read without
	// progress earlier.
	catalogReadTimeout = 6 * time.Second
)

// readCatalog reads the platform's catalog while no entry is reachable, or none that
// knows where the weights come from.
//
// When each agent read the catalog at its start, and again every quarter of a second
// until its server was registered, a large catalog crossed the region's link once per
// agent and attempt.
func (l *Loader) readCatalog(now time.Time) {
	if l.readingCatalog || now.Before(l.nextCatalogRead) || !l.needsCatalog(now) {
		return
	}
	l.readingCatalog = true
	ctx, cancel := context.WithTimeout(l.ctx, catalogReadTimeout)
	l.cancelCatalogRead = cancel
	go func() {
		defer cancel()
		s, err := l.opts.Source.List(ctx)
		l.post(func(now time.Time) { l.handleCatalog(now, s, err) })
	}()
}

func (l *Loader) needsCatalog(now time.Time) bool {
	switch {
	case l.lastHeartbeat.IsZero() && l.supply == nil:
		return now.Sub(l.started) > noEntryTimeoutAtStart
	case now.Sub(l.lastHeartbeat) > noEntryTimeout:
		return true
	default:
		return l.supply == nil && now.Sub(l.started) > noSupplyTimeout
	}
}

func (l *Loader) handleCatalog(now time.Time, s catalog.Snapshot, err error) {
	l.readingCatalog = false
	pause := catalogReadInterval
	if l.supply == nil {
		pause = catalogRetryInterval
	}
	l.nextCatalogRead = now.Add(pause/2 + rand.N(pause))
	if err != nil {
		l.opts.Logger.Warn("catalog_not_read", zap.Error(err))
		return
	}
	plan, ok := supply.NewPlan(s, l.opts.Regions, l.opts.Addr)
	if !ok {
		return // the engine is not registered yet
	}
	l.opts.Logger.Info("catalog_read", zap.Stringer("as_of", s.AsOf), zap.Int("members", len(plan.Members)))
	l.supply = &plan.Supply
	l.judgeWithSupply(now)
	l.setMembers(now, plan.Members)
	if w, named := s.WantedVersion(plan.Supply.Model); named && l.plan.Wanted() < w.Version {
		// The time since when the version is wanted is not known here. Until an entry
		// reports it, the version's time is assumed to be over.
		l.addWanted(now, loading.NamedVersion{Version: w.Version, Since: now.Add(-l.opts.VersionTime), Assumed: true})
	}
	l.advance(now)
}
