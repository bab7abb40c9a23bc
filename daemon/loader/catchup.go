package loader

import (
	"context"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"chivespindle.example/adapters/exchange"
	"chivespindle.example/core/failure"
)

const (
	// catchUpReports is how many reports in a row the engine must return, catchUpInterval
	// apart and each within maxCatchUpResponse, to have read what was sent to it before the
	// first of them. An engine that is silent reads nothing and goes on a second or more
	// later.
	catchUpReports     = 4
	catchUpInterval    = 100 * time.Millisecond
	maxCatchUpResponse = 250 * time.Millisecond
	// slowCatchUpThreshold is how long that may take before a warning is logged.
	slowCatchUpThreshold = 5 * time.Second
)

// markUnread makes the next write or order wait until the engine has had the time to read what
// was sent to it before. The kernel delivers what a process has sent even after its end, so a
// chunk or an order of the previous agent may take effect once this one has started.
func (s *stage) markUnread() {
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	s.mayHaveUnread = true
}

// awaitCatchUp returns once the engine has answered several reports in a row, and so has had the
// time to read what was sent to it before. A single connection may still stall, which the
// verification of each load covers. The caller holds writeMu.
func (s *stage) awaitCatchUp(ctx context.Context) error {
	if !s.mayHaveUnread {
		return nil
	}
	start := time.Now()
	slow := time.AfterFunc(slowCatchUpThreshold, func() { s.logger.Warn("engine_behind") })
	defer slow.Stop()
	for responses, required := 0, catchUpReports; responses < required; {
		sentAt := time.Now()
		_, err := s.report(ctx)
		switch {
		case errorx.IsOfType(err, exchange.Refused):
			// No process listens: what was sent before is lost with the one that did.
			responses, required = 0, 1
		case err != nil || time.Since(sentAt) > maxCatchUpResponse:
			responses = 0
		default:
			responses++
		}
		select {
		case <-ctx.Done():
			return failure.Unavailable.Wrap(ctx.Err(), "wait for the engine")
		case <-time.After(catchUpInterval):
		}
	}
	s.mayHaveUnread = false
	s.logger.Info("engine_caught_up", zap.Duration("after", time.Since(start)))
	return nil
}

// catchUpAhead lets the engine catch up ahead of the first write or order.
func (s *stage) catchUpAhead(ctx context.Context) {
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	_ = s.awaitCatchUp(ctx) // only fails with the process
}
