package entry

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"chivespindle.example/adapters/peer"
	"chivespindle.example/adapters/telemetry"
	"chivespindle.example/core/admission"
	"chivespindle.example/core/balance"
	"chivespindle.example/core/calls"
	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/fleettext"
	"chivespindle.example/core/retry"
	"chivespindle.example/daemon/internal/chance"
	"chivespindle.example/daemon/wire"
)

const (
	// responseStallTimeout is how long an agent may send nothing while a request
	// runs. It is longer than the engine's progress deadline at the agent, because
	// the outcome that the agent reports is more reliable than one assumed here.
	responseStallTimeout = 35 * time.Second
	// progressWindow is the maximum age of the latest piece of a response that
	// still makes progress.
	progressWindow = 2 * time.Second
	// notReadyRetryAfter is the retry delay sent by an entry without an active
	// configuration, and for a server that has not reported yet.
	notReadyRetryAfter = time.Second
	// busyRetryAfter is the retry delay when the entry or a workspace has reached
	// its limit of requests in flight, or no server of the service is listed.
	busyRetryAfter = time.Second
)

// Dispatch implements calls.Dispatcher.
func (e *Entry) Dispatch(ctx context.Context, r calls.Request, sink calls.Sink) (calls.Completion, error) {
	started := time.Now()
	end, err := e.dispatch(ctx, r, sink)
	err = correctOutcome(r, err)
	if errorx.IsOfType(err, calls.UnknownService) {
		return end, err
	}
	outcome := failure.Ran
	if err != nil {
		outcome = failure.OutcomeOf(err)
	}
	e.metrics.record(r.Service, outcome, time.Since(started))
	return end, err
}

func (e *Entry) dispatch(ctx context.Context, r calls.Request, sink calls.Sink) (calls.Completion, error) {
	inFlight := e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	if inFlight > int64(e.opts.MaxInFlight) {
		return calls.Completion{}, notRunError(calls.Overloaded.New("%d requests run on this entry", inFlight-1), busyRetryAfter)
	}
	snap := e.snapshot.Load()
	if snap.config == nil {
		return calls.Completion{}, notRunError(calls.NotReady.New("no text is in force yet"), notReadyRetryAfter)
	}
	service, ok := snap.config.Fleet.Service(r.Service)
	if !ok {
		return calls.Completion{}, failure.WithOutcome(calls.UnknownService.New("no service %q", r.Service), failure.NotRun)
	}
	release, err := e.acquireLimits(r)
	if err != nil {
		return calls.Completion{}, err
	}
	defer release()
	r.Priority = priorityOf(r, snap.config.Fleet)
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	return e.runAttempts(ctx, r, service, sink)
}

// correctOutcome corrects the outcome of a non-idempotent request that failed
// without a decision by the home of its key. That this request was not forwarded
// does not rule out that the home ran an earlier one with the same key. Only a
// caller that declares its first request with the key may be told "not run".
func correctOutcome(r calls.Request, err error) error {
	if r.MayBeNotRun() || failure.OutcomeOf(err) != failure.NotRun || isDecidedByHome(err) {
		return err
	}
	if typed := errorx.Cast(err); typed != nil {
		return failure.WithOutcome(typed, failure.Unknown)
	}
	return err
}

var decidedProperty = errorx.RegisterProperty("decided_by_home")

func isDecidedByHome(err error) bool {
	value, ok := errorx.ExtractProperty(err, decidedProperty)
	decided, isBool := value.(bool)
	return ok && isBool && decided
}

func notRunError(err *errorx.Error, retryAfter time.Duration) error {
	return failure.WithRetryAfter(failure.WithOutcome(err, failure.NotRun), retryAfter)
}

// priorityOf returns the priority of the request or, if it has none, the default of
// its workspace.
func priorityOf(r calls.Request, config *fleettext.Fleet) int {
	if r.Priority >= 0 {
		return r.Priority
	}
	if limits, ok := config.Limits(r.Workspace); ok {
		return limits.Priority
	}
	return fleettext.DefaultPriority
}

// runAttempts tries servers one after another while a retry is safe.
func (e *Entry) runAttempts(ctx context.Context, r calls.Request, service fleettext.Service, sink calls.Sink) (calls.Completion, error) {
	e.retryBudget.Deposit(time.Now())
	policy := retry.New(retry.Options{Budget: e.retryBudget, Rand: chance.Shared{}, MaxAttempts: service.MaxAttempts})
	home, err := e.homeOf(r)
	if err != nil {
		return calls.Completion{}, err
	}
	var tried []fleet.InstanceID
	var mayHaveRun bool // an earlier attempt may have run
	receivedAt := time.Now()
	for number := 1; ; number++ {
		a := &attempt{entry: e, request: r, sink: sink, number: number, home: home, receivedAt: receivedAt}
		end, err := a.run(ctx, tried)
		if err == nil {
			return end, nil
		}
		if mayHaveRun && failure.OutcomeOf(err) == failure.NotRun {
			err = failure.WithOutcome(calls.Interrupted.Wrap(err, "an earlier try may have run"), failure.Unknown)
		}
		if ctx.Err() != nil || a.server == "" || isDecidedByHome(err) {
			return calls.Completion{}, err
		}
		mayHaveRun = mayHaveRun || failure.OutcomeOf(err) != failure.NotRun
		tried = append(tried, a.server)
		decision := policy.MayRetry(time.Now(), retry.Attempt{
			Outcome:    failure.OutcomeOf(err),
			Idempotent: !r.NonIdempotent,
			Delivered:  a.delivered,
			Number:     number,
			Deadline:   r.Deadline,
		})
		if !decision.Retry {
			return calls.Completion{}, err
		}
		e.opts.Metrics.Counter("retries").Inc(1)
		e.opts.Logger.Info("request_retried", zap.String("request_id", r.ID),
			zap.String("server", string(a.server)), zap.Int("attempt", number), zap.Error(err))
		if !sleep(ctx, decision.Pause) {
			return calls.Completion{}, err
		}
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// attempt is one attempt of a request at one server.
type attempt struct {
	entry       *Entry
	request     calls.Request
	sink        calls.Sink
	number      int
	version     fleet.Version    // named at the beginning of the response
	home        fleet.InstanceID // of the idempotency key; empty for an idempotent request
	receivedAt  time.Time        // when the entry received the request
	server      fleet.InstanceID // empty if none could be picked
	delivered   bool             // part of the response was forwarded to the caller
	pieceCount  int              // received pieces of the response
	beganAt     time.Time        // when the response began
	lastPieceAt time.Time        // when the latest piece was received
}

func (a *attempt) run(ctx context.Context, tried []fleet.InstanceID) (calls.Completion, error) {
	e := a.entry
	ctx, span := e.opts.Tracer.Start(ctx, "entry.attempt")
	defer span.End()
	snap := e.snapshot.Load()
	choice, err := snap.servers.Pick(time.Now(), chance.Shared{}, balance.Request{
		Service:   a.request.Service,
		PrefixKey: a.request.PrefixKey,
		Priority:  a.request.Priority,
		Exclude:   tried,
		Require:   a.home,
	})
	if err != nil {
		return calls.Completion{}, err
	}
	a.server = choice.Server.ID
	end, err := a.exchange(ctx, choice.Server, snap.clocks[a.server])
	choice.Release(a.result(ctx, err))
	return end, err
}

// result returns the outcome of the attempt for the balancer, as far as it
// indicates the state of the server.
func (a *attempt) result(ctx context.Context, err error) balance.Result {
	result := balance.Result{At: time.Now(), PieceInterval: a.pace(), RetryAfter: failure.RetryAfter(err)}
	switch {
	case err == nil:
		result.Kind = balance.Succeeded
	case errors.Is(ctx.Err(), context.Canceled), errorx.IsOfType(err, calls.Overloaded), ctx.Err() != nil && a.inProgress():
		result.Kind = balance.Abandoned
	case errorx.IsOfType(err, failure.Refused):
		result.Kind = balance.Declined
	case errorx.IsOfType(err, failure.Timeout), errorx.IsOfType(err, calls.DeadlinePassed):
		result.Kind = balance.Stalled
	default:
		result.Kind = balance.Failed
	}
	return result
}

// inProgress reports whether the response was still making progress. A deadline
// that ends a long response does not count against the server: a few of them,
// counted as stalls, would eject a healthy server.
func (a *attempt) inProgress() bool { return time.Since(a.lastPieceAt) < progressWindow }

// minPacePieces is the number of pieces that a response needs for a measurement of
// its server's pace.
const minPacePieces = 8

// pace returns the mean time between two pieces of the response, or 0 if there were
// too few. It excludes the time to the first piece: an engine names its version at
// once, and the request may have been queued before that.
func (a *attempt) pace() time.Duration {
	if a.pieceCount < minPacePieces {
		return 0
	}
	return time.Since(a.beganAt) / time.Duration(a.pieceCount-1)
}

// exchange sends the request to an agent and forwards the response to the caller.
func (a *attempt) exchange(ctx context.Context, server balance.Server, clock *admission.RemoteClock) (calls.Completion, error) {
	s, err := a.entry.opts.Endpoint.Open(ctx, server.Addr, server.ID, peer.KindRequest)
	if err != nil {
		return calls.Completion{}, err
	}
	defer s.Abort()
	s.SetStallTimeout(responseStallTimeout)
	if err := a.sendRequest(ctx, s, clock); err != nil {
		return calls.Completion{}, err
	}
	end, err := a.receiveResponse(s, server)
	if err != nil && ctx.Err() != nil {
		return calls.Completion{}, a.contextError(ctx, err)
	}
	return end, err
}

// contextError reports that the deadline or the caller ended the exchange, not the
// agent. It keeps the outcome of err.
func (a *attempt) contextError(ctx context.Context, err error) error {
	outcome := failure.OutcomeOf(err)
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return failure.WithOutcome(calls.DeadlinePassed.Wrap(err, "the deadline passed while the request ran"), outcome)
	}
	return failure.WithOutcome(calls.Interrupted.Wrap(err, "the caller went away"), outcome)
}

// sendRequest sends the request and its body. Once the first byte is sent, only the
// agent can report that the request was not run.
func (a *attempt) sendRequest(ctx context.Context, s *peer.Stream, clock *admission.RemoteClock) error {
	deadline, ok := clock.Deadline(time.Now(), a.receivedAt, a.request.Deadline)
	if !ok {
		return notRunError(failure.Unavailable.New("%s has not reported yet", a.server), notReadyRetryAfter)
	}
	head := wire.Request{
		ID:             a.request.ID,
		Service:        a.request.Service,
		Path:           a.request.Path,
		Workspace:      a.request.Workspace,
		IdempotencyKey: a.request.IdempotencyKey,
		NonIdempotent:  a.request.NonIdempotent,
		Priority:       a.request.Priority,
		Traceparent:    telemetry.Inject(ctx),
		Deadline:       deadline,
		BodyBytes:      len(a.request.Body),
	}
	if err := s.Send(head); err != nil {
		return interruptedError(err, "send the request")
	}
	for body := a.request.Body; len(body) > 0; {
		n := min(len(body), peer.MaxRawFrame)
		if err := s.SendBytes(body[:n]); err != nil {
			return interruptedError(err, "send the body")
		}
		body = body[n:]
	}
	return nil
}

// interruptedError returns the error of an exchange that was cut off, so that it is
// not known whether the request ran.
func interruptedError(err error, operation string) error {
	kind := calls.Interrupted
	if errorx.IsOfType(err, failure.Timeout) {
		kind = failure.Timeout
	}
	return failure.WithOutcome(kind.Wrap(err, "%s", operation), failure.Unknown)
}

// receiveResponse forwards the response to the caller until its end.
func (a *attempt) receiveResponse(s *peer.Stream, server balance.Server) (calls.Completion, error) {
	for {
		var part wire.ResponsePart
		if err := s.Recv(&part); err != nil {
			if errors.Is(err, io.EOF) {
				err = calls.Interrupted.New("the agent ended the answer early")
			}
			return calls.Completion{}, interruptedError(err, "receive the answer")
		}
		switch {
		case !part.IsSingle():
			return calls.Completion{}, corruptError("a part of the answer is more than one step")
		case part.Header != nil:
			if err := a.handleBegin(*part.Header); err != nil {
				return calls.Completion{}, err
			}
		case part.End != nil:
			return a.handleEnd(*part.End, server)
		case !a.delivered:
			return calls.Completion{}, corruptError("the answer has a piece before its beginning")
		default:
			a.pieceCount++
			a.lastPieceAt = time.Now()
			if err := a.sink.Piece(part.Piece); err != nil {
				return calls.Completion{}, failure.WithOutcome(errorx.Cast(err), failure.Unknown)
			}
		}
	}
}

func corruptError(format string, args ...any) error {
	return failure.WithOutcome(failure.Corrupt.New(format, args...), failure.Unknown)
}

func (a *attempt) handleBegin(b wire.ResponseHeader) error {
	if a.delivered {
		return corruptError("the answer begins twice")
	}
	a.version = b.Version
	a.delivered = true
	a.beganAt = time.Now()
	if err := a.sink.Begin(calls.ResponseHeader{Status: b.Status, Version: b.Version}); err != nil {
		return failure.WithOutcome(errorx.Cast(err), failure.Unknown)
	}
	return nil
}

// handleEnd checks that the end belongs to this request and to the response that
// began. The response is aborted if the end names another request, since its pieces
// may belong to another caller, or another version, since its pieces may come from
// both.
func (a *attempt) handleEnd(end wire.ResponseEnd, server balance.Server) (calls.Completion, error) {
	if end.ID != a.request.ID {
		return calls.Completion{}, corruptError("the answer names request %q", end.ID)
	}
	if end.Outcome != wire.OutcomeRan || end.Duplicate {
		return calls.Completion{}, endError(end, server.ID)
	}
	if !a.delivered {
		return calls.Completion{}, corruptError("the answer ends without a beginning")
	}
	if end.Version != a.version {
		return calls.Completion{}, corruptError("the answer began with version %s and ends with %s", a.version, end.Version)
	}
	return calls.Completion{Version: end.Version, Server: server.ID}, nil
}

// endError converts the end of an unsuccessful response to an error.
func endError(end wire.ResponseEnd, server fleet.InstanceID) error {
	kind, outcome := calls.Interrupted, failure.Unknown
	switch {
	case end.Duplicate:
		kind = calls.Duplicate
	case end.QueueFull:
		kind = calls.Overloaded
	case end.Outcome == wire.OutcomeNotRun:
		kind = failure.Refused
	}
	switch end.Outcome {
	case wire.OutcomeRan:
		outcome = failure.Ran
	case wire.OutcomeNotRun:
		outcome = failure.NotRun
	}
	err := failure.WithOutcome(kind.New("%s: %s", server, end.Reason), outcome)
	err = err.WithProperty(decidedProperty, end.DecidedByHome)
	return failure.WithRetryAfter(err, fleet.Span(end.RetryAfterMS))
}
