package entry

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
)

// requestMetrics counts requests by service and outcome. Tagged scopes are cached
// because creating one costs more than counting a request.
type requestMetrics struct {
	scope  tally.Scope
	scopes sync.Map // requestTags to requestScope
}

type requestTags struct {
	service fleet.ServiceName
	outcome failure.Outcome
}

type requestScope struct {
	count    tally.Counter
	duration tally.Timer
}

// record counts a request of a known service.
func (m *requestMetrics) record(service fleet.ServiceName, outcome failure.Outcome, duration time.Duration) {
	s := m.scopeFor(requestTags{service: service, outcome: outcome})
	s.count.Inc(1)
	s.duration.Record(duration)
}

func (m *requestMetrics) scopeFor(tags requestTags) requestScope {
	if known, ok := m.scopes.Load(tags); ok {
		return known.(requestScope)
	}
	scope := m.scope.Tagged(map[string]string{"service": string(tags.service), "outcome": tags.outcome.String()})
	created := requestScope{count: scope.Counter("entry_requests"), duration: scope.Timer("entry_request_time")}
	known, _ := m.scopes.LoadOrStore(tags, created)
	return known.(requestScope)
}
