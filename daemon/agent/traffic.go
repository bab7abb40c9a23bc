package agent

import (
	"context"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"chivespindle.example/adapters/keys"
	"chivespindle.example/adapters/peer"
	"chivespindle.example/adapters/telemetry"
	"chivespindle.example/core/admission"
	"chivespindle.example/core/calls"
	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/serving"
	"chivespindle.example/daemon/wire"
)

const (
	// requestStall is the progress deadline of the exchange with an entry,
	// apart from the time in which the backend server works.
	requestStall = 10 * time.Second
	// reportEvery is the time between two reports without an urgent change.
	reportEvery = 500 * time.Millisecond
	// busyRetry is when a caller may come back to a full server.
	busyRetry = 500 * time.Millisecond
)

// ServeStream implements peer.Handler.
func (a *Agent) ServeStream(ctx context.Context, from keys.Identity, kind peer.Kind, s *peer.Stream) {
	switch kind {
	case peer.KindGossip:
		a.node.ServeGossip(ctx, from, s)
	case peer.KindConfig:
		a.node.ServeConfig(ctx, from, s)
	case peer.KindChunk:
		if a.swarm != nil {
			a.swarm.ServeChunk(ctx, from, s)
		}
	case peer.KindReport:
		a.serveReport(ctx, s)
	case peer.KindRequest:
		if from.Role == fleet.RoleEntry {
			a.serveRequest(ctx, from, s)
		}
	}
}

// serveReport pushes reports until the entry goes away.
func (a *Agent) serveReport(ctx context.Context, s *peer.Stream) {
	s.SetStall(requestStall)
	ticker := time.NewTicker(reportEvery)
	defer ticker.Stop()
	for {
		p := a.report.Load()
		report := p.Report
		report.Clock = a.clock()
		report.Load = a.presentLoad(report.Load)
		if err := s.Send(report); err != nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-p.next:
		case <-ticker.C:
		}
	}
}

// presentLoad is the engine's report, which lags, with the requests that this
// agent itself knows of.
func (a *Agent) presentLoad(reported serving.Load) serving.Load {
	running, waiting := a.room.waiting.Load()
	reported.Running = max(reported.Running, running)
	reported.Waiting += waiting
	return reported
}

// clock is the agent's own clock, which entries echo.
func (a *Agent) clock() admission.ClockReading {
	return admission.ClockReading{Incarnation: a.opts.Incarnation, Elapsed: time.Since(a.started)}
}

func (a *Agent) serveRequest(ctx context.Context, from keys.Identity, s *peer.Stream) {
	s.SetStall(requestStall)
	var req wire.Request
	if err := s.Recv(&req); err != nil {
		return
	}
	body, err := a.readBody(s, req)
	if err != nil {
		return
	}
	// Counted until its last byte is handed to the transport: a planned stop
	// that began between the work's end and the answer's would cut it.
	a.work.enter()
	defer a.work.exit()
	ctx, span := a.opts.Tracer.Start(telemetry.Extract(ctx, req.Traceparent), "agent.request")
	defer span.End()
	started := time.Now()
	end := a.run(ctx, s, req, body)
	a.logRequest(from, req, end, started)
	if err := s.Send(wire.ResponsePart{End: &end}); err != nil {
		return
	}
	_ = s.CloseSend()
}

func (a *Agent) readBody(s *peer.Stream, req wire.Request) ([]byte, error) {
	if req.BodyBytes < 0 || req.BodyBytes > a.opts.MaxBody {
		return nil, failure.Invalid.New("body of %d bytes, at most %d", req.BodyBytes, a.opts.MaxBody)
	}
	body := make([]byte, 0, req.BodyBytes)
	buf := make([]byte, peer.MaxRawFrame)
	for len(body) < req.BodyBytes {
		piece, err := s.RecvBytes(buf)
		if err != nil {
			return nil, err
		}
		body = append(body, piece...)
	}
	a.traffic.down.Add(int64(len(body)))
	return body, nil
}

func (a *Agent) logRequest(from keys.Identity, req wire.Request, end wire.ResponseEnd, started time.Time) {
	a.opts.Metrics.Tagged(map[string]string{"outcome": outcomeOf(end).String()}).Counter("requests").Inc(1)
	a.opts.Logger.Info("request", zap.String("request_id", req.ID), zap.String("entry", string(from.ID)),
		zap.Stringer("outcome", outcomeOf(end)), zap.String("reason", end.Reason),
		zap.Stringer("version", end.Version), zap.Duration("took", time.Since(started)))
}

func outcomeOf(end wire.ResponseEnd) failure.Outcome {
	switch end.Outcome {
	case wire.OutcomeRan:
		return failure.Ran
	case wire.OutcomeNotRun:
		return failure.NotRun
	default:
		return failure.Unknown
	}
}

// run serves one request and returns how it ended. The answer's pieces go to
// the entry as they come.
func (a *Agent) run(ctx context.Context, s *peer.Stream, req wire.Request, body []byte) wire.ResponseEnd {
	if req.NonIdempotent {
		return a.runOnce(ctx, s, req, body)
	}
	version, err := a.admit(time.Now(), req)
	if err != nil {
		return notRun(req, err)
	}
	ctx, cancel := context.WithTimeout(ctx, a.remaining(req))
	defer cancel()
	leave, err := a.enterRoom(ctx, req)
	if err != nil {
		return notRun(req, err)
	}
	out := newAnswerStream(s, version)
	end := a.passTo(ctx, req, body, version, out.piece)
	leave(out.first)
	return out.finish(req, end)
}

// admit returns the version that a request is answered from, or why it is not
// passed on. The request is counted already, see inFlight.
func (a *Agent) admit(now time.Time, req wire.Request) (fleet.Version, error) {
	if running := a.work.count(); running > int64(a.opts.MaxInFlight) {
		return fleet.Version{}, failure.WithRetryAfter(calls.Overloaded.New("%d requests run here", running-1), busyRetry)
	}
	version, err := a.gate.Load().Admit(now)
	if err != nil {
		return fleet.Version{}, err
	}
	if a.remaining(req) <= 0 {
		return fleet.Version{}, calls.DeadlinePassed.New("the deadline passed on the way here")
	}
	return version, nil
}

// enterRoom waits for a slot of the backend server. The gate is asked again
// after the wait, since it may have closed meanwhile.
func (a *Agent) enterRoom(ctx context.Context, req wire.Request) (leave func(firstPiece time.Duration), err error) {
	deadline, _ := ctx.Deadline()
	leave, err = a.room.enter(ctx, req.Priority, deadline)
	if err != nil {
		return nil, err
	}
	if _, err := a.gate.Load().Admit(time.Now()); err != nil {
		leave(0)
		return nil, err
	}
	return leave, nil
}

// remaining is the time left for a request, at most 0 if its deadline has
// passed or names another life of this process. What the request lost on the
// way is subtracted: an entry that was paused between reading its clock and
// sending would otherwise have work done that nobody waits for any more.
func (a *Agent) remaining(req wire.Request) time.Duration {
	late, ok := req.Deadline.Lateness(a.clock())
	if !ok {
		return 0
	}
	return -late
}

func notRun(req wire.Request, err error) wire.ResponseEnd {
	return wire.ResponseEnd{
		Outcome:      wire.OutcomeNotRun,
		ID:           req.ID,
		Reason:       err.Error(),
		RetryAfterMS: failure.RetryAfter(err).Milliseconds(),
		QueueFull:    errorx.IsOfType(err, calls.Overloaded),
	}
}

// passTo sends the request to the backend server and hands its answer's pieces
// to emit. The answer must name the request, and the version that it was
// admitted for; otherwise it is cut, and the entry does not see the end that
// makes it whole, nor does the record keep it.
func (a *Agent) passTo(ctx context.Context, req wire.Request, body []byte, version fleet.Version, emit func(serving.Piece) error) wire.ResponseEnd {
	call := serving.Call{
		ID:             req.ID,
		IdempotencyKey: req.IdempotencyKey,
		Traceparent:    telemetry.Inject(ctx),
		Path:           req.Path,
		Priority:       req.Priority,
		Body:           body,
	}
	answer, err := a.opts.Backend.Do(ctx, call, func(p serving.Piece) error {
		a.traffic.up.Add(int64(len(p.Data)))
		return emit(p)
	})
	if err == nil {
		err = checkAnswer(req, version, answer)
	}
	if err != nil {
		return failed(req, err)
	}
	return wire.ResponseEnd{Outcome: wire.OutcomeRan, ID: answer.ID, Status: answer.Status, Version: answer.Version}
}

func checkAnswer(req wire.Request, version fleet.Version, answer serving.Answer) error {
	if answer.ID != req.ID {
		err := failure.Corrupt.New("the answer names request %q", answer.ID)
		return failure.WithOutcome(err, failure.Unknown)
	}
	return serving.CheckAnswer(version, answer.Version)
}

// answerStream sends an answer to the entry. Nothing follows a part that could not be
// sent, so that no answer with a gap is called whole.
type answerStream struct {
	stream  *peer.Stream
	version fleet.Version
	begun   bool
	failed  error // of the part that could not be sent
	began   time.Time
	first   time.Duration // time to the first piece, 0 if none came
}

func newAnswerStream(s *peer.Stream, version fleet.Version) *answerStream {
	return &answerStream{stream: s, version: version, began: time.Now()}
}

// begin opens the answer unless a piece has.
func (o *answerStream) begin(status int) error {
	if o.begun {
		return o.failed
	}
	o.begun = true
	o.first = time.Since(o.began)
	return o.send(wire.ResponsePart{Header: &wire.ResponseHeader{Status: statusOr200(status), Version: o.version}})
}

func (o *answerStream) piece(p serving.Piece) error {
	if err := o.begin(p.Status); err != nil {
		return err
	}
	return o.send(wire.ResponsePart{Piece: p.Data})
}

func (o *answerStream) send(part wire.ResponsePart) error {
	if o.failed == nil {
		o.failed = o.stream.Send(part)
	}
	return o.failed
}

// finish returns the end of the answer for the entry: that of a whole one only if all
// of it was sent.
func (o *answerStream) finish(req wire.Request, end wire.ResponseEnd) wire.ResponseEnd {
	if end.Outcome != wire.OutcomeRan {
		return end
	}
	if err := o.begin(end.Status); err != nil {
		return failed(req, failure.WithOutcome(calls.Interrupted.Wrap(err, "the answer was not sent whole"), failure.Unknown))
	}
	return end
}

// CheckVersion refuses an answer whose first line names another version than
// the one that is to be served, before any of it goes to the caller.
func (a *Agent) CheckVersion(answered fleet.Version) error {
	return a.gate.Load().CheckAnswer(answered)
}

func statusOr200(status int) int {
	const ok = 200
	if status == 0 {
		return ok
	}
	return status
}

// failed ends a request whose answer failed. Only a whole answer ends as run.
func failed(req wire.Request, err error) wire.ResponseEnd {
	end := notRun(req, err)
	if failure.OutcomeOf(err) != failure.NotRun {
		end.Outcome = wire.OutcomeUnknown
	}
	return end
}
