package loader

import (
	"context"
	"time"

	"go.uber.org/zap"

	"chivespindle.example/core/failure"
)

const (
	// settleReports is how many reports in a row the engine must return, settleInterval
	// apart and each within maxSettleResponse, to have read what was sent to it before the
	// first of them. An engine that is silent reads nothing and goes on a second or more
	// later.
	settleReports     = 4
	settleInterval    = 100 * time.Millisecond
	maxSettleResponse = 250 * time.Millisecond
	// slowSettleThreshold is how long that may take before a warning is logged.
	slowSettleThreshold = 5 * time.Second
)

// unsettle makes the next write or order wait until the engine has had the time to read what
// was sent to it before. The kernel delivers what a process has sent even after its end, so a
// chunk or an order of the previous agent may take effect once this one has started.
func (s *stage) unsettle() {
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	s.isSettled = false
}

// settle returns once the engine has answered several reports in a row, and so has had the
// time to read what was sent to it before. A single connection may still stall, which the
// verification of each load covers. The caller holds writeMu.
func (s *stage) settle(ctx context.Context) error {
	if s.isSettled {
		return nil
	}
	start := time.Now()
	slow := time.AfterFunc(slowSettleThreshold, func() { s.logger.Warn("engine_not_settled") })
	defer slow.Stop()
	for responses := 0; responses < settleReports; {
		sentAt := time.Now()
		_, err := s.report(ctx)
		responses++
		if err != nil || time.Since(sentAt) > maxSettleResponse {
			responses = 0
		}
		select {
		case <-ctx.Done():
			return failure.Unavailable.Wrap(ctx.Err(), "wait for the engine")
		case <-time.After(settleInterval):
		}
	}
	s.isSettled = true
	s.logger.Info("engine_settled", zap.Duration("after", time.Since(start)))
	return nil
}

// settleNow settles the engine ahead of the first write or order.
func (s *stage) settleNow(ctx context.Context) {
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	_ = s.settle(ctx) // only fails with the process
}
