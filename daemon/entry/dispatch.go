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
	// answerStall is how long an agent may send nothing while a request runs.
	// It is longer than the engine's own progress deadline at the agent, whose
	// word on the outcome is better than a guess made here.
	answerStall = 35 * time.Second
	// progressTime is how long ago the last piece of an answer in progress can
	// have come.
	progressTime = 2 * time.Second
	// notReadyRetry is when a caller may come back to an entry without a text.
	notReadyRetry = time.Second
	// fullRetry is when a caller may come back to a full entry.
	fullRetry = time.Second
)

// Dispatch implements calls.Dispatcher.
func (e *Entry) Dispatch(ctx context.Context, r calls.Request, sink calls.Sink) (calls.End, error) {
	started := time.Now()
	end, err := e.serve(ctx, r, sink)
	err = atMostOnce(r, err)
	if errorx.IsOfType(err, calls.UnknownService) {
		return end, err
	}
	outcome := failure.Ran
	if err != nil {
		outcome = failure.OutcomeOf(err)
	}
	e.metrics.ended(r.Service, outcome, time.Since(started))
	return end, err
}

func (e *Entry) serve(ctx context.Context, r calls.Request, sink calls.Sink) (calls.End, error) {
	running := e.running.Add(1)
	defer e.running.Add(-1)
	if running > int64(e.opts.MaxInFlight) {
		return calls.End{}, notRun(calls.Overloaded.New("%d requests run on this entry", running-1), fullRetry)
	}
	p := e.picture.Load()
	if p.config == nil {
		return calls.End{}, notRun(calls.NotReady.New("no text is in force yet"), notReadyRetry)
	}
	service, ok := p.config.Fleet.Service(r.Service)
	if !ok {
		return calls.End{}, failure.WithOutcome(calls.UnknownService.New("no service %q", r.Service), failure.NotRun)
	}
	leave, err := e.limit(r)
	if err != nil {
		return calls.End{}, err
	}
	defer leave()
	r.Priority = priorityOf(r, p.config.Fleet)
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	return e.attempts(ctx, r, service, sink)
}

// atMostOnce corrects what may be said of a non-idempotent request that ended
// without the word of its key's home. That this ask was not passed on says
// nothing of an earlier one with the same key, which the home may have run;
// only a caller that asks for the first time may be told "not run".
func atMostOnce(r calls.Request, err error) error {
	if !r.NonIdempotent || r.FirstAsk || failure.OutcomeOf(err) != failure.NotRun || isDecided(err) {
		return err
	}
	if typed := errorx.Cast(err); typed != nil {
		return failure.WithOutcome(typed, failure.Unknown)
	}
	return err
}

var decidedProperty = errorx.RegisterProperty("decided_by_home")

func isDecided(err error) bool {
	value, ok := errorx.ExtractProperty(err, decidedProperty)
	decided, isBool := value.(bool)
	return ok && isBool && decided
}

func notRun(err *errorx.Error, comeBack time.Duration) error {
	return failure.WithRetryAfter(failure.WithOutcome(err, failure.NotRun), comeBack)
}

// priorityOf returns the request's own urgency, else its workspace's.
func priorityOf(r calls.Request, text *fleettext.Fleet) int {
	if r.Priority >= 0 {
		return r.Priority
	}
	if limits, ok := text.Limits(r.Workspace); ok {
		return limits.Priority
	}
	return fleettext.DefaultPriority
}

// attempts tries a request at one server after another while that is safe.
func (e *Entry) attempts(ctx context.Context, r calls.Request, service fleettext.Service, sink calls.Sink) (calls.End, error) {
	e.budget.Deposit(time.Now())
	policy := retry.New(retry.Options{Budget: e.budget, Rand: chance.Shared{}, MaxAttempts: service.MaxAttempts})
	home, err := e.homeOf(r)
	if err != nil {
		return calls.End{}, err
	}
	var tried []fleet.InstanceID
	var maybe bool // an earlier try may have run
	asked := time.Now()
	for number := 1; ; number++ {
		a := &attempt{entry: e, request: r, sink: sink, number: number, home: home, asked: asked}
		end, err := a.run(ctx, tried)
		if err == nil {
			return end, nil
		}
		if maybe && failure.OutcomeOf(err) == failure.NotRun {
			err = failure.WithOutcome(calls.Interrupted.Wrap(err, "an earlier try may have run"), failure.Unknown)
		}
		if ctx.Err() != nil || a.server == "" || isDecided(err) {
			return calls.End{}, err
		}
		maybe = maybe || failure.OutcomeOf(err) != failure.NotRun
		tried = append(tried, a.server)
		decision := policy.MayRetry(time.Now(), retry.Attempt{
			Outcome:    failure.OutcomeOf(err),
			Idempotent: !r.NonIdempotent,
			Delivered:  a.delivered,
			Number:     number,
			Deadline:   r.Deadline,
		})
		if !decision.Retry {
			return calls.End{}, err
		}
		e.opts.Metrics.Counter("retries").Inc(1)
		e.opts.Logger.Info("request_retried", zap.String("request_id", r.ID),
			zap.String("server", string(a.server)), zap.Int("attempt", number), zap.Error(err))
		if !sleep(ctx, decision.Pause) {
			return calls.End{}, err
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

// attempt is one try of a request at one server.
type attempt struct {
	entry     *Entry
	request   calls.Request
	sink      calls.Sink
	number    int
	version   fleet.Version    // that the answer began with
	home      fleet.InstanceID // of the key of a non-idempotent request, else empty
	asked     time.Time        // when the caller's ask came
	server    fleet.InstanceID // empty if none could be picked
	delivered bool             // the caller has a part of the answer
	pieces    int              // of the answer that came
	first     time.Time        // when it began
	lastPiece time.Time        // when the newest piece came
}

func (a *attempt) run(ctx context.Context, tried []fleet.InstanceID) (calls.End, error) {
	e := a.entry
	ctx, span := e.opts.Tracer.Start(ctx, "entry.attempt")
	defer span.End()
	p := e.picture.Load()
	choice, err := p.servers.Pick(time.Now(), chance.Shared{}, balance.Request{
		Service:   a.request.Service,
		PrefixKey: a.request.PrefixKey,
		Priority:  a.request.Priority,
		Exclude:   tried,
		Require:   a.home,
	})
	if err != nil {
		return calls.End{}, err
	}
	a.server = choice.Server.ID
	end, err := a.exchange(ctx, choice.Server, p.clocks[a.server])
	choice.Release(a.result(ctx, err))
	return end, err
}

// result tells the balancer how the attempt went, as far as it says something
// of the server.
func (a *attempt) result(ctx context.Context, err error) balance.Result {
	result := balance.Result{At: time.Now(), Pace: a.pace(), RetryAfter: failure.RetryAfter(err)}
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

// inProgress reports whether pieces of the answer came until now. A caller
// whose deadline ends a long answer says nothing against the server: counted
// as stalls, a few of them would eject a server that works.
func (a *attempt) inProgress() bool { return time.Since(a.lastPiece) < progressTime }

// minPacePieces is how many pieces an answer must have to tell its server's
// pace.
const minPacePieces = 8

// pace is the mean time between two pieces of the answer, 0 if there are too
// few to tell. The time to the first one is left out: an engine names its
// version at once, and a request may have waited before that.
func (a *attempt) pace() time.Duration {
	if a.pieces < minPacePieces {
		return 0
	}
	return time.Since(a.first) / time.Duration(a.pieces-1)
}

// exchange sends the request to an agent and hands the answer to the caller.
func (a *attempt) exchange(ctx context.Context, server balance.Server, clock *admission.RemoteClock) (calls.End, error) {
	s, err := a.entry.opts.Endpoint.Open(ctx, server.Addr, server.ID, peer.KindRequest)
	if err != nil {
		return calls.End{}, err
	}
	defer s.Abort()
	s.SetStall(answerStall)
	if err := a.send(ctx, s, clock); err != nil {
		return calls.End{}, err
	}
	end, err := a.receive(s, server)
	if err != nil && ctx.Err() != nil {
		return calls.End{}, a.endedBy(ctx, err)
	}
	return end, err
}

// endedBy says that the deadline or the caller ended the exchange, not the
// agent. What the agent had said of the outcome stands.
func (a *attempt) endedBy(ctx context.Context, err error) error {
	outcome := failure.OutcomeOf(err)
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return failure.WithOutcome(calls.DeadlinePassed.Wrap(err, "the deadline passed while the request ran"), outcome)
	}
	return failure.WithOutcome(calls.Interrupted.Wrap(err, "the caller went away"), outcome)
}

// send sends the request and its body. Once the first byte is out, only the
// agent can say that the request was not run.
func (a *attempt) send(ctx context.Context, s *peer.Stream, clock *admission.RemoteClock) error {
	deadline, ok := clock.Deadline(time.Now(), a.asked, a.request.Deadline)
	if !ok {
		return notRun(failure.Unavailable.New("%s has not reported yet", a.server), notReadyRetry)
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
		return interrupted(err, "send the request")
	}
	for body := a.request.Body; len(body) > 0; {
		n := min(len(body), peer.MaxRawFrame)
		if err := s.SendBytes(body[:n]); err != nil {
			return interrupted(err, "send the body")
		}
		body = body[n:]
	}
	return nil
}

// interrupted says that the exchange broke off: whether the request ran is not
// known.
func interrupted(err error, doing string) error {
	kind := calls.Interrupted
	if errorx.IsOfType(err, failure.Timeout) {
		kind = failure.Timeout
	}
	return failure.WithOutcome(kind.Wrap(err, "%s", doing), failure.Unknown)
}

// receive hands the answer on until its end.
func (a *attempt) receive(s *peer.Stream, server balance.Server) (calls.End, error) {
	for {
		var part wire.ResponsePart
		if err := s.Recv(&part); err != nil {
			if errors.Is(err, io.EOF) {
				err = calls.Interrupted.New("the agent ended the answer early")
			}
			return calls.End{}, interrupted(err, "receive the answer")
		}
		switch {
		case !part.IsSingle():
			return calls.End{}, corrupt("a part of the answer is more than one step")
		case part.Header != nil:
			if err := a.begin(*part.Header); err != nil {
				return calls.End{}, err
			}
		case part.End != nil:
			return a.finish(*part.End, server)
		case !a.delivered:
			return calls.End{}, corrupt("the answer has a piece before its beginning")
		default:
			a.pieces++
			a.lastPiece = time.Now()
			if err := a.sink.Piece(part.Piece); err != nil {
				return calls.End{}, failure.WithOutcome(errorx.Cast(err), failure.Unknown)
			}
		}
	}
}

func corrupt(format string, args ...any) error {
	return failure.WithOutcome(failure.Corrupt.New(format, args...), failure.Unknown)
}

func (a *attempt) begin(b wire.ResponseHeader) error {
	if a.delivered {
		return corrupt("the answer begins twice")
	}
	a.version = b.Version
	a.delivered = true
	a.first = time.Now()
	if err := a.sink.Begin(calls.Begin{Status: b.Status, Version: b.Version}); err != nil {
		return failure.WithOutcome(errorx.Cast(err), failure.Unknown)
	}
	return nil
}

// finish checks that the end is that of this request and of the answer that
// began. An answer that names another request is cut, since its pieces may be
// another caller's, and one that names another version, since its pieces may
// be of both.
func (a *attempt) finish(end wire.ResponseEnd, server balance.Server) (calls.End, error) {
	if end.ID != a.request.ID {
		return calls.End{}, corrupt("the answer names request %q", end.ID)
	}
	if end.Outcome != wire.OutcomeRan || end.Duplicate {
		return calls.End{}, endFailure(end, server.ID)
	}
	if !a.delivered {
		return calls.End{}, corrupt("the answer ends without a beginning")
	}
	if end.Version != a.version {
		return calls.End{}, corrupt("the answer began with version %s and ends with %s", a.version, end.Version)
	}
	return calls.End{Version: end.Version, Server: server.ID}, nil
}

// endFailure turns the end of an answer that is none into an error.
func endFailure(end wire.ResponseEnd, server fleet.InstanceID) error {
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
	return failure.WithRetryAfter(err, time.Duration(end.RetryAfterMS)*time.Millisecond)
}
