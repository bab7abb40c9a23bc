package callerhttp

import (
	"encoding/json"
	"hash/fnv"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"chivespindle.example/adapters/telemetry"
	"chivespindle.example/core/calls"
	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/fleettext"
	"chivespindle.example/core/memlimit"
)

// Header names of the callers' interface.
const (
	HeaderWorkspace     = "Chivespindle-Workspace"
	HeaderNonIdempotent = "Chivespindle-Non-Idempotent"
	HeaderFirstAttempt  = "Chivespindle-First-Ask"
	HeaderDeadline      = "Chivespindle-Deadline"
	HeaderPrefix        = "Chivespindle-Prefix"
	HeaderKey           = "Idempotency-Key"
	HeaderPriority      = "Priority"
	HeaderOutcome       = "Request-Outcome"
	HeaderVersion       = "Model-Version"
	HeaderRequestID     = "Request-Id"
)

// maxKeyBytes limits the memory that a home uses for each key.
const maxKeyBytes = 256

const (
	minUrgency = 0
	maxUrgency = 7
	noPriority = -1
)

// serveRequest serves POST /v1/services/{service}/{path...}.
func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request) {
	id := uuid.NewString()
	w.Header().Set(HeaderRequestID, id)
	ctx, span := s.opts.Tracer.Start(telemetry.Extract(r.Context(), r.Header.Get("Traceparent")), "entry.request")
	defer span.End()
	hold := s.opts.Bodies.NewHold()
	defer hold.Release()
	req, err := s.parse(w, r, id, &hold)
	if err != nil {
		s.writeError(w, id, err)
		return
	}
	response := &sink{w: w}
	defer s.countAborted(response)
	startTime := time.Now()
	completion, err := s.opts.Dispatcher.Dispatch(ctx, req, response)
	if err == nil {
		err = response.finish()
	}
	if err != nil {
		response.abort()
	}
	s.logRequest(req, startTime, completion, response.stage, err)
	switch response.stage {
	case refused:
		s.writeError(w, id, err)
	case aborted:
		// Returning normally would terminate the body as if the response were
		// complete.
		panic(http.ErrAbortHandler)
	}
}

// countAborted runs at the end of a request. A response that is still in progress
// then was ended by a panic, and net/http closes its connection.
func (s *Server) countAborted(response *sink) {
	if response.stage == started || response.stage == aborted {
		s.aborted.Inc(1)
	}
}

func (s *Server) logRequest(req calls.Request, startTime time.Time, completion calls.Completion, stageReached stage, err error) {
	fields := []zap.Field{
		zap.String("request_id", req.ID),
		zap.String("service", string(req.Service)),
		zap.String("workspace", loggedName(string(req.Workspace))),
		zap.Duration("took", time.Since(startTime)),
	}
	if err != nil {
		fields = append(fields, zap.Stringer("answer", stageReached), zap.Stringer("outcome", failure.OutcomeOf(err)), zap.Error(err))
		s.opts.Logger.Info("request_failed", fields...)
		return
	}
	fields = append(fields, zap.String("server", string(completion.Server)), zap.Stringer("version", completion.Version))
	s.opts.Logger.Info("request_answered", fields...)
}

// loggedName returns a name that a caller has chosen as it is logged: a longer one than any in
// the configuration is shortened.
func loggedName(name string) string { return name[:min(len(name), fleettext.MaxNameBytes)] }

// parse reads a request with its body, which is counted in hold.
func (s *Server) parse(w http.ResponseWriter, r *http.Request, id string, hold *memlimit.Hold) (calls.Request, error) {
	req, timeout, err := s.parseHead(r, id)
	if err != nil {
		return calls.Request{}, err
	}
	if req.Body, err = s.receiveBody(w, r, req, hold); err != nil {
		return calls.Request{}, err
	}
	req.Deadline = time.Now().Add(timeout)
	return req, nil
}

// parseHead returns a request without its body, and the time until its deadline.
func (s *Server) parseHead(r *http.Request, id string) (req calls.Request, timeout time.Duration, err error) {
	if !r.ProtoAtLeast(1, 1) {
		return req, 0, badRequest("%s has no trailer to mark a complete answer", r.Proto)
	}
	req = calls.Request{
		ID:             id,
		Service:        fleet.ServiceName(r.PathValue("service")),
		Path:           r.PathValue("path"),
		Workspace:      fleet.Workspace(r.Header.Get(HeaderWorkspace)),
		IdempotencyKey: r.Header.Get(HeaderKey),
		PrefixKey:      PrefixKey(r.Header.Get(HeaderPrefix)),
	}
	if len(req.Service) > fleettext.MaxNameBytes {
		return req, 0, failure.WithOutcome(calls.UnknownService.New("no service has a name of %d bytes", len(req.Service)), failure.NotRun)
	}
	if len(req.IdempotencyKey) > maxKeyBytes {
		return req, 0, badRequest("%s is longer than %d bytes", HeaderKey, maxKeyBytes)
	}
	if req.NonIdempotent, err = parseBool(r.Header, HeaderNonIdempotent); err != nil {
		return req, 0, err
	}
	if req.FirstAttempt, err = parseBool(r.Header, HeaderFirstAttempt); err != nil {
		return req, 0, err
	}
	if req.NonIdempotent && req.IdempotencyKey == "" {
		return req, 0, badRequest("a non-idempotent request needs an %s", HeaderKey)
	}
	if req.Priority, err = parsePriority(r.Header.Get(HeaderPriority)); err != nil {
		return req, 0, err
	}
	timeout, err = s.parseDeadline(r.Header.Get(HeaderDeadline))
	return req, timeout, err
}

func badRequest(format string, args ...any) error {
	return failure.WithOutcome(calls.BadRequest.New(format, args...), failure.NotRun)
}

// PrefixKey hashes the name of a prompt prefix to a number; 0 means no prefix.
func PrefixKey(name string) uint64 {
	if name == "" {
		return 0
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	return h.Sum64()
}

func parseBool(header http.Header, name string) (bool, error) {
	text := header.Get(name)
	switch text {
	case "", "?0":
		return false, nil
	case "?1":
		return true, nil
	}
	return false, badRequest("%s must be ?1 or ?0, got %q", name, text)
}

// parsePriority returns the urgency of an RFC 9218 Priority field. Other parameters
// that the RFC allows are ignored.
func parsePriority(text string) (int, error) {
	for _, part := range strings.Split(text, ",") {
		value, found := strings.CutPrefix(strings.TrimSpace(part), "u=")
		if !found {
			continue
		}
		urgency, err := strconv.Atoi(value)
		if err != nil || urgency < minUrgency || urgency > maxUrgency {
			return 0, badRequest("%s must have u=%d to u=%d, got %q", HeaderPriority, minUrgency, maxUrgency, text)
		}
		return urgency, nil
	}
	return noPriority, nil
}

func (s *Server) parseDeadline(text string) (time.Duration, error) {
	if text == "" {
		return s.opts.DefaultDeadline, nil
	}
	const maxDeadline = time.Hour
	timeout, err := time.ParseDuration(text)
	if err != nil || timeout <= 0 || timeout > maxDeadline {
		return 0, badRequest("%s must be a duration up to %s such as 5s, got %q", HeaderDeadline, maxDeadline, text)
	}
	return timeout, nil
}

// ErrorResponse is the JSON body of an error response of the entry itself, not of the
// backend server.
type ErrorResponse struct {
	RequestID    string `json:"request_id"`
	Outcome      string `json:"outcome"` // ran, not_run or unknown
	Error        string `json:"error"`   // failure type
	Reason       string `json:"reason"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
}

func (s *Server) writeError(w http.ResponseWriter, id string, err error) {
	s.writeErrorStatus(w, id, statusOf(err), err)
}

func (s *Server) writeErrorStatus(w http.ResponseWriter, id string, status int, err error) {
	outcome := failure.OutcomeOf(err)
	body := ErrorResponse{
		RequestID: id,
		Outcome:   outcome.String(),
		Error:     typeName(err),
		Reason:    reasonText(err),
	}
	if retryAfter := failure.RetryAfter(err); retryAfter > 0 {
		body.RetryAfterMS = retryAfter.Milliseconds()
		w.Header().Set("Retry-After", strconv.Itoa(ceilSeconds(retryAfter)))
	}
	w.Header().Set(HeaderOutcome, outcome.String())
	writeJSON(w, status, body)
}

// reasonText returns the message of an error without its type name, which has a
// field of its own.
func reasonText(err error) string {
	return strings.TrimPrefix(err.Error(), typeName(err)+": ")
}

// ceilSeconds rounds up, since Retry-After has no fractions and a caller that
// retries early is rejected again.
func ceilSeconds(d time.Duration) int {
	return int((d + time.Second - 1) / time.Second)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
