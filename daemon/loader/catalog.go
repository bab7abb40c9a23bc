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
	// aloneAfter is how long an agent hears of no entry until it reads the
	// catalog by itself, aloneAtStart the same after its start: an entry that starts
	// at the same moment has told it by then what it needs.
	aloneAfter   = 2 * time.Second
	aloneAtStart = 1500 * time.Millisecond
	// untoldFor is how long entries may be heard that do not tell where the weights
	// come from: those that were cut off before the server was there.
	untoldFor = 4 * time.Second
	// readAgain is the mean pause between two such readings. Agents outnumber
	// entries by far, and the platform counts each call.
	readAgain = 2 * time.Second
	// firstReadAgain is the pause after a reading at the start that failed.
	firstReadAgain = 250 * time.Millisecond
	// readTimeout bounds one reading; the platform's adapter ends one sooner that
	// brings nothing.
	readTimeout = 6 * time.Second
)

// readCatalog reads the platform's catalog while no entry is there, or none that
// knows where the weights come from.
//
// Read by each agent at its start, and again every quarter of a second until its
// server was registered, a large catalog crossed a region's link once for each of
// them and try.
func (l *Loader) readCatalog(now time.Time) {
	if l.reading || now.Before(l.nextRead) || !l.needsCatalog(now) {
		return
	}
	l.reading = true
	ctx, cancel := context.WithTimeout(l.ctx, readTimeout)
	l.stopReading = cancel
	go func() {
		defer cancel()
		s, err := l.opts.Source.List(ctx)
		l.post(func(now time.Time) { l.catalogRead(now, s, err) })
	}()
}

func (l *Loader) needsCatalog(now time.Time) bool {
	switch {
	case l.lastHeard.IsZero() && l.supply == nil:
		return now.Sub(l.started) > aloneAtStart
	case now.Sub(l.lastHeard) > aloneAfter:
		return true
	default:
		return l.supply == nil && now.Sub(l.started) > untoldFor
	}
}

func (l *Loader) catalogRead(now time.Time, s catalog.Snapshot, err error) {
	l.reading = false
	pause := readAgain
	if l.supply == nil {
		pause = firstReadAgain
	}
	l.nextRead = now.Add(pause/2 + rand.N(pause))
	if err != nil {
		l.opts.Logger.Warn("catalog_not_read", zap.Error(err))
		return
	}
	plan, ok := supply.For(s, l.opts.Regions, l.opts.Addr)
	if !ok {
		return // the engine is not registered yet
	}
	l.opts.Logger.Info("catalog_read", zap.Int64("as_of", int64(s.AsOf)), zap.Int("members", len(plan.Members)))
	l.supply = &plan.Supply
	l.setMembers(now, plan.Members)
	if w, named := s.WantedVersion(plan.Supply.Model); named && l.plan.Wanted() < w.Version {
		// Since when it is wanted is not known here; an entry tells, and until
		// then it is taken for long ago.
		l.want(now, loading.NamedVersion{Version: w.Version, Since: now.Add(-l.opts.VersionTime), Assumed: true})
	}
	l.advance(now)
}
