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
	// repairTimeout bounds one check of the whole stage, except for a chunk that is
	// being written. orderTimeout bounds the wait for the response to an order. The
	// outcome of an order without a response is queried afterwards; no guarantee
	// depends on either timeout.
	repairTimeout = 1500 * time.Millisecond
	orderTimeout  = 1500 * time.Millisecond
	// settleRetryDelay is the pause before an engine is queried again about an order
	// whose outcome is unknown.
	settleRetryDelay = 150 * time.Millisecond
)

// orderNotSent is the error of an order that was not sent to the engine.
var orderNotSent = failure.Namespace.NewType("order_not_sent", failure.Temporary)

// order is an order to load a version, with the engine's report from before it.
type order struct {
	model   string
	version *stagedVersion
	before  loading.Engine
	checked check // last check of the stage before the order was sent
}

// load orders the engine to load a version. Right before the order the whole stage is
// read back and repaired: chunks may have become corrupt since they were staged, or may
// belong to another version, and the engine loads whatever is staged.
func (s *stage) load(ctx context.Context, supply wire.Supply, version uint64) error {
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	v, err := s.versionByNumber(version)
	if err != nil {
		return orderNotSent.Wrap(err, "order for version %d", version)
	}
	if v.supply.Model != supply.Model {
		return orderNotSent.New("version %d is staged for model %s, want %s", version, v.supply.Model, supply.Model)
	}
	before, err := s.report(ctx)
	if err != nil {
		return orderNotSent.Wrap(err, "report before the order")
	}
	checked, err := s.repair(ctx, v)
	if err != nil {
		return orderNotSent.Wrap(err, "check of the stage before the order")
	}
	o := order{model: supply.Model, version: v, before: before, checked: checked}
	err = s.sendOrder(ctx, o)
	if err != nil && !errorx.IsOfType(err, Declined) {
		err = s.awaitOutcome(ctx, &o, err)
	}
	if err == nil {
		s.logger.Info("order_accepted", zap.Uint64("version", v.number), zap.Uint64("orders_before", before.Orders.Count),
			zap.Duration("check_age", time.Since(o.checked.startedAt)))
	}
	return err
}

func (s *stage) report(ctx context.Context) (loading.Engine, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return s.engine.Report(ctx)
}

func (s *stage) sendOrder(ctx context.Context, o order) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	return s.engine.Load(ctx, o.model, o.version.number, o.before.Orders)
}

// awaitOutcome returns once an order without a response can no longer be accepted, or
// was accepted: as the engine's report shows, or because a retry of it was accepted.
// Until then the engine may accept the order at any time, so the caller must not let
// anything else into the stage.
//
// It ends when the engine accepts the order, when the engine's process is replaced, or
// with ctx, that is with this process.
func (s *stage) awaitOutcome(ctx context.Context, o *order, cause error) error {
	start := time.Now()
	for {
		s.logger.Warn("order_not_settled", zap.Uint64("version", o.version.number), zap.Error(cause))
		isSettled, err := s.checkOutcome(ctx, o)
		if isSettled {
			s.logger.Info("order_settled", zap.Uint64("version", o.version.number),
				zap.Duration("after", time.Since(start)), zap.Error(err))
			return err
		}
		cause = err
		select {
		case <-ctx.Done():
			return failure.Unavailable.Wrap(cause, "outcome of the order for version %d unknown", o.version.number)
		case <-time.After(settleRetryDelay):
		}
	}
}

// checkOutcome reports whether the outcome of an order is known, and the error of the
// order. If it is not known, the error says why.
func (s *stage) checkOutcome(ctx context.Context, o *order) (bool, error) {
	current, err := s.report(ctx)
	if err != nil {
		return false, err
	}
	switch loading.OutcomeOf(o.version.number, o.before, current) {
	case loading.Accepted:
		return true, nil
	case loading.Lost:
		return true, failure.Unavailable.New("the engine's process was replaced before it accepted the order")
	}
	checked, err := s.repair(ctx, o.version)
	if err != nil {
		return false, err
	}
	o.checked = checked
	err = s.sendOrder(ctx, *o)
	// If the retry is declined because of its number, the first order was accepted, and
	// the next report shows it. If it is declined because of the engine's state, an
	// earlier one may still be accepted.
	isDeclined := errorx.IsOfType(err, Declined) && !o.before.Orders.Reported
	return err == nil || isDeclined, err
}
