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
	// catalog by itself.
	aloneAfter = 2 * time.Second
	// readAgain is the mean pause between two such readings. Agents outnumber
	// entries by far, and the platform counts each call.
	readAgain = 2 * time.Second
	// firstReadAgain is the pause after a reading at the start that failed.
	firstReadAgain = 250 * time.Millisecond
	// readTimeout bounds one reading.
	readTimeout = 1500 * time.Millisecond
)

// readCatalog reads the platform's catalog at the start, so that an engine
// whose stage is whole need not wait for an entry, and while no entry is there.
func (l *Loader) readCatalog(now time.Time) {
	alone := now.Sub(l.lastHeard) > aloneAfter
	if l.reading || now.Before(l.nextRead) || l.supply != nil && !alone {
		return
	}
	l.reading = true
	go func() {
		ctx, cancel := context.WithTimeout(l.ctx, readTimeout)
		defer cancel()
		s, err := l.opts.Source.List(ctx)
		l.post(func(now time.Time) { l.catalogRead(now, s, err) })
	}()
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
		l.want(now, loading.Named{Version: w.Version, Since: now.Add(-l.opts.VersionTime), Assumed: true})
	}
	l.advance(now)
}
