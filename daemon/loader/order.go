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
	// idlePollInterval is the pause between two reports while the engine loads a part of
	// the layers.
	idlePollInterval = 60 * time.Millisecond
)

// orderNotSent is the error of an order that was not sent to the engine.
var orderNotSent = failure.Namespace.NewType("order_not_sent", failure.Temporary)

// loadRejected is the error of a load that the engine accepted and that may contain
// chunks that were missing, corrupt or of another version.
var loadRejected = failure.Namespace.NewType("load_rejected", failure.Temporary)

// order is an order to load a version, with the engine's report from before it.
type order struct {
	version *stagedVersion
	layers  loading.Layers
	before  loading.Engine
	checked check // the last one before the order was sent or repeated
	// repaired is how many chunks were repaired while the engine may have accepted the order; 0
	// once a later report has shown that it had not.
	repaired int
}

// load orders the engine to load a version and returns the load once it is verified. With
// reload, the engine has loaded the version already and must load it again.
//
// Right before the order the whole stage is read back and repaired: chunks may have become
// corrupt since they were staged, or may belong to another version, and the engine loads
// whatever is staged when it accepts the order. It may accept it much later, so the stage is
// read again afterwards.
func (s *stage) load(ctx context.Context, supply wire.Supply, version uint64, reload bool) (loading.Load, error) {
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	v, err := s.versionByNumber(version)
	if err != nil {
		return loading.Load{}, orderNotSent.Wrap(err, "order for version %d", version)
	}
	if v.supply.Model != supply.Model {
		return loading.Load{}, orderNotSent.New("version %d is staged for model %s, want %s", version, v.supply.Model, supply.Model)
	}
	if err := s.awaitCatchUp(ctx); err != nil {
		return loading.Load{}, orderNotSent.Wrap(err, "earlier messages to the engine")
	}
	if reload {
		if err := s.dropLayers(ctx, v, supply.Layers); err != nil {
			return loading.Load{}, err
		}
	}
	return s.loadLayers(ctx, v, loading.Layers{})
}

// minReloadLayers is the smallest number of layers of which each can be replaced apart from
// others.
const minReloadLayers = 2

// dropLayers makes the engine replace all layers that it has loaded. It ignores an order for
// what it has loaded, but a range of layers replaces a range that it does not include. After
// the two orders all layers but the first are loaded anew, and the first is not loaded.
func (s *stage) dropLayers(ctx context.Context, v *stagedVersion, layers int) error {
	if layers < minReloadLayers {
		return orderNotSent.New("version %d cannot be loaded again: the model has %d layers", v.number, layers)
	}
	for _, part := range []loading.Layers{{From: 0, Target: 1}, {From: 1, Target: layers}} {
		load, err := s.loadLayers(ctx, v, part)
		if errorx.IsOfType(err, alreadyLoaded) && part.From == 0 {
			continue // an earlier attempt ended after this part
		}
		if err != nil {
			return err
		}
		if err := s.awaitIdle(ctx, load); err != nil {
			return err
		}
	}
	return nil
}

// awaitIdle returns once the engine has completed a load.
func (s *stage) awaitIdle(ctx context.Context, load loading.Load) error {
	for {
		current, err := s.report(ctx)
		if err == nil && !current.Busy {
			if current.Load() != load {
				return orderNotSent.New("the engine has accepted %d orders, want %d", current.Orders.Count, load.Orders.Count)
			}
			return nil
		}
		select {
		case <-ctx.Done():
			return orderNotSent.Wrap(ctx.Err(), "load of a part of the layers")
		case <-time.After(idlePollInterval):
		}
	}
}

// alreadyLoaded is the error of an order that the engine ignored because it had loaded the
// same weights.
var alreadyLoaded = failure.Namespace.NewType("already_loaded", failure.Temporary)

// loadLayers orders the engine to load layers of a version and verifies the load.
func (s *stage) loadLayers(ctx context.Context, v *stagedVersion, layers loading.Layers) (loading.Load, error) {
	checked, err := s.repair(ctx, v)
	if err != nil {
		return loading.Load{}, orderNotSent.Wrap(err, "check of the stage before the order")
	}
	// An order of another process that the engine has accepted during the check is in this
	// report, so it is not mistaken for this order.
	before, err := s.report(ctx)
	if err != nil {
		return loading.Load{}, orderNotSent.Wrap(err, "report before the order")
	}
	o := &order{version: v, layers: layers, before: before, checked: checked}
	if err := s.sendUntilAccepted(ctx, o); err != nil {
		return before.Load(), err
	}
	return s.verify(ctx, o)
}

// sendUntilAccepted sends an order and returns once the engine's report shows that it was
// accepted. The response alone does not: it may belong to an earlier request on its
// connection.
func (s *stage) sendUntilAccepted(ctx context.Context, o *order) error {
	begun, err := s.sendOrder(ctx, o)
	switch {
	case errorx.IsOfType(err, Declined):
		return err
	case err == nil && !begun:
		return alreadyLoaded.New("the engine has loaded version %d already", o.version.number)
	case err == nil:
		var isSettled bool
		if isSettled, err = s.queryOutcome(ctx, o); isSettled {
			return err
		}
	}
	return s.awaitOutcome(ctx, o, err)
}

func (s *stage) report(ctx context.Context) (loading.Engine, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return s.engine.Report(ctx)
}

func (s *stage) sendOrder(ctx context.Context, o *order) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	return s.engine.Load(ctx, LoadOrder{
		Model: o.version.supply.Model, Version: o.version.number, Layers: o.layers, After: o.before.Orders})
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
	isSettled, err := s.queryOutcome(ctx, o)
	if isSettled || err != nil {
		return isSettled, err
	}
	checked, err := s.repair(ctx, o.version)
	o.repaired += checked.repaired
	if err != nil {
		return false, err
	}
	if o.repaired > 0 {
		// Without this report it would not be known whether the engine accepted the order
		// before or after the repair.
		if isSettled, err := s.queryOutcome(ctx, o); isSettled || err != nil {
			return isSettled, err
		}
		o.repaired = 0
	}
	o.checked = checked
	begun, err := s.sendOrder(ctx, o)
	if err == nil {
		isSettled, err := s.queryOutcome(ctx, o)
		if isSettled || err != nil || begun {
			return isSettled, err
		}
		return true, alreadyLoaded.New("the engine had loaded version %d before the order", o.version.number)
	}
	// If the retry is declined because of its number, the first order was accepted, and
	// the next report shows it. If it is declined because of the engine's state, an
	// earlier one may still be accepted.
	return errorx.IsOfType(err, Declined) && !o.before.Orders.Reported, err
}

// queryOutcome reads the outcome of an order from the engine's report.
func (s *stage) queryOutcome(ctx context.Context, o *order) (bool, error) {
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
	return false, nil
}

// verify reads the stage back after the engine has accepted an order, and returns the load
// if its chunks were intact then.
//
// Chunks do not become intact by themselves, and nothing is staged between the order and
// this check, so chunks that are intact now were intact when the order was accepted.
func (s *stage) verify(ctx context.Context, o *order) (loading.Load, error) {
	load := o.before.After(o.version.number)
	checkAge := time.Since(o.checked.startedAt)
	damaged, err := s.awaitDamaged(ctx, o.version)
	if err != nil {
		return load, loadRejected.Wrap(err, "stage not read after the order for version %d", o.version.number)
	}
	s.logger.Info("order_accepted", zap.Uint64("version", o.version.number), zap.Uint64("orders_before", o.before.Orders.Count),
		zap.Duration("check_age", checkAge), zap.Int("corrupt_after", damaged), zap.Int("repaired_meanwhile", o.repaired))
	if damaged > 0 || o.repaired > 0 {
		return load, loadRejected.New("of the chunks of version %d, %d were damaged after the order was accepted and %d were repaired meanwhile",
			o.version.number, damaged, o.repaired)
	}
	return load, nil
}

// awaitDamaged reads the whole stage until the engine has returned every chunk, and returns
// the number of damaged ones.
func (s *stage) awaitDamaged(ctx context.Context, v *stagedVersion) (int, error) {
	for {
		damaged, err := s.countDamaged(ctx, v)
		if err == nil {
			return damaged, nil
		}
		s.logger.Warn("stage_not_read", zap.Uint64("version", v.number), zap.Error(err))
		select {
		case <-ctx.Done():
			return 0, err
		case <-time.After(settleRetryDelay):
		}
	}
}
