package loader

import (
	"time"

	"go.uber.org/zap"

	"chivespindle.example/core/loading"
)

// outdated is what was logged of an engine whose version has expired.
type outdated struct {
	loaded    uint64    // 0 if nothing is logged for the engine's version
	expiredAt time.Time // when its version expired
	isWorking bool      // calls were queued or running at the last report
}

// logOutdated logs once for an expired version what the engine still has queued and
// running, and once when that has ended. An engine ends these calls before it loads.
func (l *Loader) logOutdated(now time.Time, e loading.Engine) {
	last := &l.outdated
	isWorking := e.Queued > 0 || e.Running > 0
	if last.isWorking && (e.Loaded != last.loaded || !isWorking) {
		last.isWorking = false
		l.opts.Logger.Info("outdated_work_ended", zap.Uint64("loaded", last.loaded), zap.Uint64("holds", e.Loaded),
			zap.Duration("after", now.Sub(last.expiredAt)))
	}
	expiredAt, isExpired := l.plan.ExpiredSince(now, e)
	if !isExpired {
		l.outdated = outdated{}
		return
	}
	if e.Loaded == last.loaded {
		return
	}
	l.outdated = outdated{loaded: e.Loaded, expiredAt: expiredAt, isWorking: isWorking}
	l.opts.Logger.Warn("version_time_over", zap.Uint64("loaded", e.Loaded), zap.Duration("after", now.Sub(expiredAt)),
		zap.Int("queued", e.Queued), zap.Int("running", e.Running))
}
