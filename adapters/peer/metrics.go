package peer

import (
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"golang.org/x/time/rate"
)

// Reasons of refusals: a tag of the counter "refusals" and a field of the log
// event.
const (
	refusedHandshakeFailed = "handshake"        // certificate missing or not accepted, or the peer disconnected
	refusedHandshakeLimit  = "handshake_limit"  // too many pending handshakes
	refusedConnectionLimit = "connection_limit" // too many connections, in all or of one address
	refusedStreamLimit     = "stream_limit"     // too many streams of all peers
	refusedMessageMemory   = "message_memory"   // messages that are being received take too much memory
	refusedRole            = "role"             // refused by Options.Allow
	refusedKind            = "kind"             // unknown kind
	refusedCertificate     = "certificate"      // accepted before, but not since the keys were reloaded or it expired
)

// Unauthenticated peers can cause refusals at any rate, so the log is
// rate-limited. The counter includes all of them.
const (
	refusalLogsPerSecond = 1
	refusalLogBurst      = 5
)

// metrics are the endpoint's counters. The sides are "dialled" and "accepted".
type metrics struct {
	scope      tally.Scope
	logger     *zap.Logger
	logLimiter *rate.Limiter
	dialled    sideMetrics
	accepted   sideMetrics
	dialFailed tally.Counter
	kinds      map[Kind]*kindMetrics
}

type sideMetrics struct {
	opened tally.Counter
	closed tally.Counter
	live   tally.Gauge
}

type kindMetrics struct {
	opened   tally.Counter
	served   tally.Counter
	sent     tally.Counter // bytes of frames
	received tally.Counter // bytes of frames
}

func newMetrics(scope tally.Scope, logger *zap.Logger) *metrics {
	m := &metrics{
		scope:      scope,
		logger:     logger,
		logLimiter: rate.NewLimiter(rate.Every(time.Second/refusalLogsPerSecond), refusalLogBurst),
		dialled:    newSideMetrics(scope, "dialled"),
		accepted:   newSideMetrics(scope, "accepted"),
		dialFailed: scope.Counter("dials_failed"),
		kinds:      make(map[Kind]*kindMetrics),
	}
	for kind, name := range kindNames {
		m.kinds[kind] = newKindMetrics(scope.Tagged(map[string]string{"kind": name}))
	}
	return m
}

func newSideMetrics(scope tally.Scope, side string) sideMetrics {
	tagged := scope.Tagged(map[string]string{"side": side})
	return sideMetrics{
		opened: tagged.Counter("connections_opened"),
		closed: tagged.Counter("connections_closed"),
		live:   tagged.Gauge("connections"),
	}
}

func newKindMetrics(scope tally.Scope) *kindMetrics {
	return &kindMetrics{
		opened:   scope.Counter("streams_opened"),
		served:   scope.Counter("streams_served"),
		sent:     scope.Counter("bytes_sent"),
		received: scope.Counter("bytes_received"),
	}
}

func (m *metrics) refused(reason string, fields ...zap.Field) {
	m.scope.Tagged(map[string]string{"reason": reason}).Counter("refusals").Inc(1)
	if !m.logLimiter.Allow() {
		return
	}
	m.logger.Warn("peer_refused", append([]zap.Field{zap.String("reason", reason)}, fields...)...)
}

// outdated records that a connection takes no new streams any more. For a
// dialled one that is the normal effect of a reload, for an accepted one it is
// a refusal.
func (m *metrics) outdated(c *connection) {
	if !c.dialled {
		m.refused(refusedCertificate, zap.Stringer("peer", c.peer), zap.Stringer("from", c.addr))
		return
	}
	m.logger.Info("peer_connection_outdated", zap.Stringer("peer", c.peer), zap.Stringer("addr", c.addr))
}
