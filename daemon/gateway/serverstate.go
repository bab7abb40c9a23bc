package gateway

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"chivespindle.example/core/placement"
)

// send sends one attempt of the call. All attempts go through it, so that what any response
// states about its server is recorded.
func (j *job) send(ctx context.Context, now time.Time, assignment *placement.Assignment, opts SendOptions) (Response, error) {
	opts.OnSilence = func(now time.Time) (time.Time, bool) { return j.handleSilence(ctx, now, assignment) }
	response, err := j.g.opts.Backend.Send(ctx, j.call, opts)
	if err != nil {
		return nil, err
	}
	j.recordServerState(now, opts.Server, response)
	if !response.NotRun() && !response.Misdirected() && !response.State().Backoff.Requested && assignment.Accepted(time.Now()) {
		j.g.log.serverBackoffEnded(opts.Server)
	}
	return response, nil
}

// recordServerState records what a response states about its server. sent is when the call
// was sent.
func (j *job) recordServerState(sent time.Time, server placement.Server, response Response) {
	state := response.State()
	j.g.log.unknownHeaders(server, state.UnknownHeaders)
	if response.Misdirected() {
		return // another server may have answered
	}
	j.recordLimit(sent, server, response.Status(), state.Limit)
	j.g.recordLeaving(server, state)
	j.g.recordCold(sent, server, state.Cold)
	j.g.recordBackoff(server, response.NotRun() && !rejectsCall(response), state.Backoff)
}

// recordLeaving records that a server states that it is shutting down.
func (g *Gateway) recordLeaving(server placement.Server, state ServerState) {
	if state.Leaving && g.balancer.RecordLeaving(time.Now(), server.ID) {
		g.log.serverLeaving(server)
	}
}

// recordBackoff records that a server rejected a call, or the backoff that it requests.
func (g *Gateway) recordBackoff(server placement.Server, rejected bool, backoff ServerBackoff) {
	if backoff.Malformed != "" {
		g.log.malformedBackoff(server, backoff.Malformed)
	}
	switch {
	case backoff.Requested && backoff.Duration > 0:
		if until, started := g.balancer.RecordBackoff(time.Now(), server.ID, backoff.Duration); started {
			g.log.serverBackoff(server, backoff.Duration, until)
		}
	case rejected:
		g.balancer.RecordRejection(time.Now(), server.ID)
	}
}

func (l *requestLog) serverLeaving(server placement.Server) {
	l.metrics.Counter("servers_leaving_by_response").Inc(1)
	if l.allowed() {
		l.logger.Info("server_leaving", serverFields(server, zap.String("source", "response"))...)
	}
}

// serverBackoff logs the start of a backoff.
func (l *requestLog) serverBackoff(server placement.Server, requested time.Duration, until time.Time) {
	l.metrics.Counter("server_backoffs").Inc(1)
	if l.allowed() {
		l.logger.Info("server_backoff", serverFields(server, zap.Duration("requested", requested), zap.Time("until", until))...)
	}
}

func (l *requestLog) serverBackoffEnded(server placement.Server) {
	if l.allowed() {
		l.logger.Info("server_backoff_ended", serverFields(server)...)
	}
}

// malformedBackoff logs a backoff that is not a number of seconds. It has no effect.
func (l *requestLog) malformedBackoff(server placement.Server, text string) {
	l.metrics.Counter("server_backoffs_malformed").Inc(1)
	if l.allowed() {
		l.logger.Warn("server_backoff_malformed", serverFields(server, zap.String("retry_after", shorten(text)))...)
	}
}

// unknownHeaders logs each header that the adapter does not know once: it may be a statement
// of the server that this version ignores.
func (l *requestLog) unknownHeaders(server placement.Server, names []string) {
	for _, name := range names {
		if l.headersSeen.add(name) {
			l.logger.Warn("response_header_unknown", serverFields(server, zap.String("header", shorten(name)))...)
		}
	}
}

func serverFields(server placement.Server, fields ...zap.Field) []zap.Field {
	return append([]zap.Field{zap.String("server", string(server.ID)), zap.Stringer("addr", server.Addr)}, fields...)
}

// shorten bounds the text of a server in a log line.
func shorten(text string) string {
	const shown = 40
	return text[:min(shown, len(text))]
}

// maxHeadersSeen bounds headerSet, since a server may send any number of headers.
const maxHeadersSeen = 64

// headerSet is a bounded set of header names. It is safe for concurrent use.
type headerSet struct {
	mu    sync.Mutex
	names map[string]struct{}
}

// add reports whether the name is new and was added.
func (s *headerSet) add(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.names[name]; known || len(s.names) >= maxHeadersSeen {
		return false
	}
	if s.names == nil {
		s.names = make(map[string]struct{})
	}
	s.names[name] = struct{}{}
	return true
}
