package loader

import (
	"time"

	"go.uber.org/zap"

	"chivespindle.example/core/loading"
)

// outdated is what was told of an engine whose version is out of time.
type outdated struct {
	loaded uint64    // 0 if nothing is to be told of it
	end    time.Time // of the time of its version
	works  bool      // calls waited or ran there when last heard of
}

// noteOutdated tells once of a version that is out of time what the engine has
// in hand, and once when that has ended. An engine that loads ends it first.
func (l *Loader) noteOutdated(now time.Time, e loading.Engine) {
	o := &l.outdated
	isWorking := e.Queued > 0 || e.Running > 0
	if o.works && (e.Loaded != o.loaded || !isWorking) {
		o.works = false
		l.opts.Logger.Info("outdated_work_ended", zap.Uint64("loaded", o.loaded), zap.Uint64("holds", e.Loaded),
			zap.Duration("after", now.Sub(o.end)))
	}
	end, isOver := l.plan.ExpiredSince(now, e)
	if !isOver {
		l.outdated = outdated{}
		return
	}
	if e.Loaded == o.loaded {
		return
	}
	l.outdated = outdated{loaded: e.Loaded, end: end, works: isWorking}
	l.opts.Logger.Warn("version_time_over", zap.Uint64("loaded", e.Loaded), zap.Duration("after", now.Sub(end)),
		zap.Int("queued", e.Queued), zap.Int("running", e.Running))
}
