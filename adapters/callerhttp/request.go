package callerhttp

import (
	"encoding/json"
	"errors"
	"hash/fnv"
	"io"
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
)

// Header names of the callers' interface.
const (
	HeaderWorkspace     = "Chivespindle-Workspace"
	HeaderNonIdempotent = "Chivespindle-Non-Idempotent"
	HeaderFirstAsk      = "Chivespindle-First-Ask"
	HeaderDeadline      = "Chivespindle-Deadline"
	HeaderPrefix        = "Chivespindle-Prefix"
	HeaderKey           = "Idempotency-Key"
	HeaderPriority      = "Priority"
	HeaderOutcome       = "Request-Outcome"
	HeaderVersion       = "Model-Version"
	HeaderRequestID     = "Request-Id"
)

// maxKeyBytes bounds what a home keeps for each key.
const maxKeyBytes = 256

const (
	minUrgency = 0
	maxUrgency = 7
	noPriority = -1
)

// request serves POST /v1/services/{service}/{path...}.
func (s *Server) request(w http.ResponseWriter, r *http.Request) {
	id := uuid.NewString()
	w.Header().Set(HeaderRequestID, id)
	ctx, span := s.opts.Tracer.Start(telemetry.Extract(r.Context(), r.Header.Get("Traceparent")), "entry.request")
	defer span.End()
	req, err := s.parse(w, r, id)
	if err != nil {
		s.refuse(w, id, err)
		return
	}
	answer := &sink{w: w}
	defer s.countCut(answer)
	started := time.Now()
	end, err := s.opts.Dispatcher.Dispatch(ctx, req, answer)
	if err == nil {
		err = answer.finish()
	}
	if err != nil {
		answer.giveUp()
	}
	s.logRequest(req, started, end, answer.stage, err)
	switch answer.stage {
	case refused:
		s.refuse(w, id, err)
	case cut:
		// Ending the answer in order would make a part of it look whole.
		panic(http.ErrAbortHandler)
	}
}

// countCut follows a request. An answer that is still going on then ended by a panic,
// upon which net/http closes the connection.
func (s *Server) countCut(answer *sink) {
	if answer.stage == begun || answer.stage == cut {
		s.cut.Inc(1)
	}
}

func (s *Server) logRequest(req calls.Request, started time.Time, end calls.Completion, got stage, err error) {
	fields := []zap.Field{
		zap.String("request_id", req.ID),
		zap.String("service", string(req.Service)),
		zap.String("workspace", string(req.Workspace)),
		zap.Duration("took", time.Since(started)),
	}
	if err != nil {
		fields = append(fields, zap.Stringer("answer", got), zap.Stringer("outcome", failure.OutcomeOf(err)), zap.Error(err))
		s.opts.Logger.Info("request_failed", fields...)
		return
	}
	fields = append(fields, zap.String("server", string(end.Server)), zap.Stringer("version", end.Version))
	s.opts.Logger.Info("request_answered", fields...)
}

func (s *Server) parse(w http.ResponseWriter, r *http.Request, id string) (calls.Request, error) {
	if !r.ProtoAtLeast(1, 1) {
		return calls.Request{}, badRequest("%s has no trailer to mark a complete answer", r.Proto)
	}
	body, err := s.readBody(w, r)
	if err != nil {
		return calls.Request{}, err
	}
	req := calls.Request{
		ID:             id,
		Service:        fleet.ServiceName(r.PathValue("service")),
		Path:           r.PathValue("path"),
		Workspace:      fleet.Workspace(r.Header.Get(HeaderWorkspace)),
		IdempotencyKey: r.Header.Get(HeaderKey),
		Body:           body,
		PrefixKey:      PrefixKey(r.Header.Get(HeaderPrefix)),
	}
	if len(req.IdempotencyKey) > maxKeyBytes {
		return calls.Request{}, badRequest("%s is longer than %d bytes", HeaderKey, maxKeyBytes)
	}
	if req.NonIdempotent, err = parseMark(r.Header, HeaderNonIdempotent); err != nil {
		return calls.Request{}, err
	}
	if req.FirstAttempt, err = parseMark(r.Header, HeaderFirstAsk); err != nil {
		return calls.Request{}, err
	}
	if req.NonIdempotent && req.IdempotencyKey == "" {
		return calls.Request{}, badRequest("a non-idempotent request needs an %s", HeaderKey)
	}
	if req.Priority, err = parsePriority(r.Header.Get(HeaderPriority)); err != nil {
		return calls.Request{}, err
	}
	wait, err := s.parseDeadline(r.Header.Get(HeaderDeadline))
	if err != nil {
		return calls.Request{}, err
	}
	req.Deadline = time.Now().Add(wait)
	return req, nil
}

func (s *Server) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.opts.MaxBody))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, badRequest("body is larger than %d bytes", s.opts.MaxBody)
	}
	if err != nil {
		return nil, badRequest("body could not be read: %v", err)
	}
	return body, nil
}

func badRequest(format string, args ...any) error {
	return failure.WithOutcome(calls.BadRequest.New(format, args...), failure.NotRun)
}

// PrefixKey folds a caller's prefix name to a number; 0 stands for none.
func PrefixKey(name string) uint64 {
	if name == "" {
		return 0
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	return h.Sum64()
}

func parseMark(header http.Header, name string) (bool, error) {
	text := header.Get(name)
	switch text {
	case "", "?0":
		return false, nil
	case "?1":
		return true, nil
	}
	return false, badRequest("%s must be ?1 or ?0, got %q", name, text)
}

// parsePriority reads the urgency of an RFC 9218 Priority field. Parameters
// that the RFC allows and this system does not use are passed over.
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
	const longest = time.Hour
	wait, err := time.ParseDuration(text)
	if err != nil || wait <= 0 || wait > longest {
		return 0, badRequest("%s must be a duration up to %s such as 5s, got %q", HeaderDeadline, longest, text)
	}
	return wait, nil
}

// Refusal is the JSON body of an answer that is not the backend server's.
type Refusal struct {
	RequestID    string `json:"request_id"`
	Outcome      string `json:"outcome"` // ran, not_run or unknown
	Error        string `json:"error"`   // type of the failure
	Reason       string `json:"reason"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
}

func (s *Server) refuse(w http.ResponseWriter, id string, err error) {
	s.refuseAs(w, id, statusOf(err), err)
}

func (s *Server) refuseAs(w http.ResponseWriter, id string, status int, err error) {
	outcome := failure.OutcomeOf(err)
	refusal := Refusal{
		RequestID: id,
		Outcome:   outcome.String(),
		Error:     typeName(err),
		Reason:    reasonText(err),
	}
	if pause := failure.RetryAfter(err); pause > 0 {
		refusal.RetryAfterMS = pause.Milliseconds()
		w.Header().Set("Retry-After", strconv.Itoa(wholeSeconds(pause)))
	}
	w.Header().Set(HeaderOutcome, outcome.String())
	writeJSON(w, status, refusal)
}

// reasonText is the message of a failure without its type, which has a field
// of its own.
func reasonText(err error) string {
	return strings.TrimPrefix(err.Error(), typeName(err)+": ")
}

// wholeSeconds rounds up, since Retry-After has no fractions and a caller that
// comes back early is refused again.
func wholeSeconds(pause time.Duration) int {
	return int((pause + time.Second - 1) / time.Second)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
