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
	// requestStallTimeout is the stall timeout of the stream with an entry, apart
	// from the time in which the backend server processes the request.
	requestStallTimeout = 10 * time.Second
	// reportInterval is the time between two reports without an urgent change.
	reportInterval = 500 * time.Millisecond
	// busyRetryAfter is the retry delay when the agent is at its limit of requests.
	busyRetryAfter = 500 * time.Millisecond
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

// serveReport sends reports until the entry disconnects.
func (a *Agent) serveReport(ctx context.Context, s *peer.Stream) {
	s.SetStallTimeout(requestStallTimeout)
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		p := a.report.Load()
		report := p.Report
		report.Clock = a.clockReading()
		report.Load = a.currentLoad(report.Load)
		if err := s.Send(report); err != nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-p.urgent:
		case <-ticker.C:
		}
	}
}

// currentLoad returns the engine's report, which lags, updated with the requests
// that this agent has in progress.
func (a *Agent) currentLoad(reported serving.Load) serving.Load {
	running, waiting := a.queue.pending.Load()
	reported.Running = max(reported.Running, running)
	reported.Waiting += waiting
	return reported
}

// clockReading reads the agent's own clock, which entries send back with requests.
func (a *Agent) clockReading() admission.ClockReading {
	return admission.ClockReading{Incarnation: a.opts.Incarnation, Elapsed: time.Since(a.started)}
}

func (a *Agent) serveRequest(ctx context.Context, from keys.Identity, s *peer.Stream) {
	s.SetStallTimeout(requestStallTimeout)
	var req wire.Request
	if err := s.Recv(&req); err != nil {
		return
	}
	body, err := a.readBody(s, req)
	if err != nil {
		return
	}
	a.undelivered.enter()
	defer a.undelivered.exit()
	if a.respond(ctx, from, s, req, body) == nil {
		awaitRead(s)
	}
}

// respond handles a request and sends the response.
func (a *Agent) respond(ctx context.Context, from keys.Identity, s *peer.Stream, req wire.Request, body []byte) error {
	// The request is counted until the last byte of its response is passed to the
	// transport: a planned stop between the end of the processing and that of the
	// response would abort it.
	a.inFlight.enter()
	defer a.inFlight.exit()
	ctx, span := a.opts.Tracer.Start(telemetry.Extract(ctx, req.Traceparent), "agent.request")
	defer span.End()
	started := time.Now()
	end := a.handleRequest(ctx, s, req, body)
	a.logRequest(from, req, end, started)
	if err := s.Send(wire.ResponsePart{End: &end}); err != nil {
		return err
	}
	return s.CloseSend()
}

// awaitRead waits until the entry has read the response, which it shows by ending the stream, or
// until the connection ends. Whatever the entry has received and not read is lost when this
// process ends: its caller may read slowly.
func awaitRead(s *peer.Stream) {
	s.SetStallTimeout(0)
	_ = s.Recv(&struct{}{}) // entries send nothing more, so it fails
}

func (a *Agent) readBody(s *peer.Stream, req wire.Request) ([]byte, error) {
	if req.BodyBytes < 0 || req.BodyBytes > a.opts.MaxBody {
		return nil, failure.Invalid.New("request body of %d bytes, want at most %d", req.BodyBytes, a.opts.MaxBody)
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

// handleRequest serves one request and returns how it ended. The pieces of the
// response are sent to the entry as they arrive.
func (a *Agent) handleRequest(ctx context.Context, s *peer.Stream, req wire.Request, body []byte) wire.ResponseEnd {
	if req.NonIdempotent {
		return a.runOnce(ctx, s, req, body)
	}
	version, err := a.admit(time.Now(), req)
	if err != nil {
		return notRunEnd(req, err)
	}
	ctx, cancel := context.WithTimeout(ctx, a.remaining(req))
	defer cancel()
	release, err := a.waitForSlot(ctx, req)
	if err != nil {
		return notRunEnd(req, err)
	}
	out := newResponseStream(s, version)
	end := a.forward(ctx, req, body, version, out.sendPiece)
	release(out.firstPieceDelay)
	return out.finish(req, end)
}

// admit returns the version that serves a request, or why it is not forwarded. The
// request is already counted, see inFlightCounter.
func (a *Agent) admit(now time.Time, req wire.Request) (fleet.Version, error) {
	if running := a.inFlight.count(); running > int64(a.opts.MaxInFlight) {
		return fleet.Version{}, failure.WithRetryAfter(calls.Overloaded.New("%d requests run here", running-1), busyRetryAfter)
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

// waitForSlot waits for a slot of the backend server. It checks the gate again
// afterwards, since it may have closed during the wait.
func (a *Agent) waitForSlot(ctx context.Context, req wire.Request) (release func(firstPiece time.Duration), err error) {
	deadline, _ := ctx.Deadline()
	release, err = a.queue.enter(ctx, req.Priority, deadline)
	if err != nil {
		return nil, err
	}
	if _, err := a.gate.Load().Admit(time.Now()); err != nil {
		release(0)
		return nil, err
	}
	return release, nil
}

// remaining returns the time left for a request. It is not positive if the deadline
// has passed or refers to another incarnation of this process. Delays on the way
// are subtracted: otherwise a request from an entry that was paused between reading
// its clock and sending would be run although its caller no longer waits.
func (a *Agent) remaining(req wire.Request) time.Duration {
	late, ok := req.Deadline.Lateness(a.clockReading())
	if !ok {
		return 0
	}
	return -late
}

func notRunEnd(req wire.Request, err error) wire.ResponseEnd {
	return wire.ResponseEnd{
		Outcome:      wire.OutcomeNotRun,
		ID:           req.ID,
		Reason:       err.Error(),
		RetryAfterMS: failure.RetryAfter(err).Milliseconds(),
		QueueFull:    errorx.IsOfType(err, calls.Overloaded),
	}
}

// forward sends the request to the backend server and passes the pieces of its
// response to emit. The response must name the request and the version for which it
// was admitted; otherwise it is aborted, neither reported to the entry as complete
// nor kept in the record.
func (a *Agent) forward(ctx context.Context, req wire.Request, body []byte, version fleet.Version, emit func(serving.Piece) error) wire.ResponseEnd {
	call := serving.Call{
		ID:             req.ID,
		IdempotencyKey: req.IdempotencyKey,
		Traceparent:    telemetry.Inject(ctx),
		Path:           req.Path,
		Priority:       req.Priority,
		Body:           body,
	}
	response, err := a.opts.Backend.Do(ctx, call, func(p serving.Piece) error {
		a.traffic.up.Add(int64(len(p.Data)))
		return emit(p)
	})
	if err == nil {
		err = checkResponse(req, version, response)
	}
	if err != nil {
		return failedEnd(req, err)
	}
	return wire.ResponseEnd{Outcome: wire.OutcomeRan, ID: response.ID, Status: response.Status, Version: response.Version}
}

func checkResponse(req wire.Request, version fleet.Version, response serving.Response) error {
	if response.ID != req.ID {
		err := failure.Corrupt.New("the answer names request %q", response.ID)
		return failure.WithOutcome(err, failure.Unknown)
	}
	return serving.CheckResponse(version, response.Version)
}

// responseStream sends a response to the entry. It sends nothing after a part that
// could not be sent, so that no response with a gap is reported as complete.
type responseStream struct {
	stream          *peer.Stream
	version         fleet.Version
	hasBegun        bool
	sendErr         error // error of the part that could not be sent
	startedAt       time.Time
	firstPieceDelay time.Duration // time to the first piece, 0 if none came
}

func newResponseStream(s *peer.Stream, version fleet.Version) *responseStream {
	return &responseStream{stream: s, version: version, startedAt: time.Now()}
}

// sendBegin sends the beginning of the response unless it was sent before.
func (o *responseStream) sendBegin(status int) error {
	if o.hasBegun {
		return o.sendErr
	}
	o.hasBegun = true
	o.firstPieceDelay = time.Since(o.startedAt)
	return o.send(wire.ResponsePart{Header: &wire.ResponseHeader{Status: statusOr200(status), Version: o.version}})
}

func (o *responseStream) sendPiece(p serving.Piece) error {
	if err := o.sendBegin(p.Status); err != nil {
		return err
	}
	return o.send(wire.ResponsePart{Piece: p.Data})
}

func (o *responseStream) send(part wire.ResponsePart) error {
	if o.sendErr == nil {
		o.sendErr = o.stream.Send(part)
	}
	return o.sendErr
}

// finish returns the end of the response for the entry. It reports completion only
// if all parts were sent.
func (o *responseStream) finish(req wire.Request, end wire.ResponseEnd) wire.ResponseEnd {
	if end.Outcome != wire.OutcomeRan {
		return end
	}
	if err := o.sendBegin(end.Status); err != nil {
		return failedEnd(req, failure.WithOutcome(calls.Interrupted.Wrap(err, "the answer was not sent whole"), failure.Unknown))
	}
	return end
}

// CheckVersion rejects a response whose first line names a version other than the
// one to be served, before any of it is forwarded to the caller.
func (a *Agent) CheckVersion(responseVersion fleet.Version) error {
	return a.gate.Load().CheckResponse(responseVersion)
}

func statusOr200(status int) int {
	const ok = 200
	if status == 0 {
		return ok
	}
	return status
}

// failedEnd returns the end of a response that failed. Only a complete response
// ends as run.
func failedEnd(req wire.Request, err error) wire.ResponseEnd {
	end := notRunEnd(req, err)
	if failure.OutcomeOf(err) != failure.NotRun {
		end.Outcome = wire.OutcomeUnknown
	}
	return end
}
