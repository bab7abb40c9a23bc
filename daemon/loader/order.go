package loader

import (
	"context"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"chivespindle.example/core/failure"
	"chivespindle.example/core/loading"
	"chivespindle.example/daemon/wire"
)

const (
	// repairTimeout bounds one reading of the whole stage, but for a chunk that is on
	// its way; orderTimeout the wait for the answer to an order. What became of one
	// without an answer is then asked for; no promise hangs on either.
	repairTimeout = 1500 * time.Millisecond
	orderTimeout  = 1500 * time.Millisecond
	// settlePause is the pause before an engine that has not settled an order is
	// asked again.
	settlePause = 150 * time.Millisecond
)

// order is an order to load a version, with what the engine reported before it.
type order struct {
	model   string
	version *stagedVersion
	before  loading.Engine
}

// load has the engine load a version. The whole stage is read back and mended
// right before the order: chunks may have turned bad since they were staged, or
// be of another version, and an engine loads what lies there.
func (s *stage) load(ctx context.Context, supply wire.Supply, version uint64) error {
	s.writing.Lock()
	defer s.writing.Unlock()
	v, err := s.numbered(version)
	if err != nil {
		return err
	}
	before, err := s.report(ctx)
	if err != nil {
		return err
	}
	if err := s.repair(ctx, v); err != nil {
		return err
	}
	o := order{model: supply.Model, version: v, before: before}
	err = s.give(ctx, o)
	if err == nil || errorx.IsOfType(err, Declined) {
		return err
	}
	return s.settle(ctx, o, err)
}

func (s *stage) report(ctx context.Context) (loading.Engine, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return s.engine.Report(ctx)
}

func (s *stage) give(ctx context.Context, o order) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	return s.engine.Load(ctx, o.model, o.version.number, o.before.Orders)
}

// settle returns once an order that got no answer cannot be taken any more, or
// has been: by the engine's report, or since a repeat of it was taken. The engine
// may come to the order at any time until then, so the caller lets nothing else
// into the stage.
//
// It ends when the engine takes the order, when its process is replaced, or with
// ctx, that is with this process.
func (s *stage) settle(ctx context.Context, o order, cause error) error {
	began := time.Now()
	for {
		s.logger.Warn("order_not_settled", zap.Uint64("version", o.version.number), zap.Error(cause))
		isSettled, err := s.settleOnce(ctx, o)
		if isSettled {
			s.logger.Info("order_settled", zap.Uint64("version", o.version.number),
				zap.Duration("after", time.Since(began)), zap.Error(err))
			return err
		}
		cause = err
		select {
		case <-ctx.Done():
			return failure.Unavailable.Wrap(cause, "order for version %d not settled", o.version.number)
		case <-time.After(settlePause):
		}
	}
}

// settleOnce reports whether an order is settled, and how it failed; else why it
// is not settled.
func (s *stage) settleOnce(ctx context.Context, o order) (bool, error) {
	now, err := s.report(ctx)
	if err != nil {
		return false, err
	}
	switch loading.OutcomeOf(o.version.number, o.before, now) {
	case loading.Accepted:
		return true, nil
	case loading.Lost:
		return true, failure.Unavailable.New("the engine's process was replaced before it took the order")
	}
	if err := s.repair(ctx, o.version); err != nil {
		return false, err
	}
	err = s.give(ctx, o)
	// Declined for its number, the order was taken before, which the next report
	// shows. Declined for the engine's state, an earlier one may still be taken.
	isDeclined := errorx.IsOfType(err, Declined) && !o.before.Orders.Reported
	return err == nil || isDeclined, err
}
