package entry

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
)

// requestMetrics counts requests by service and outcome. The scopes are kept,
// since making one for each request costs more than counting does.
type requestMetrics struct {
	scope  tally.Scope
	scopes sync.Map // of requestTags to requestScope
}

type requestTags struct {
	service fleet.ServiceName
	outcome failure.Outcome
}

type requestScope struct {
	count tally.Counter
	took  tally.Timer
}

// ended counts a request of a known service.
func (m *requestMetrics) ended(service fleet.ServiceName, outcome failure.Outcome, took time.Duration) {
	s := m.of(requestTags{service: service, outcome: outcome})
	s.count.Inc(1)
	s.took.Record(took)
}

func (m *requestMetrics) of(tags requestTags) requestScope {
	if known, ok := m.scopes.Load(tags); ok {
		return known.(requestScope)
	}
	scope := m.scope.Tagged(map[string]string{"service": string(tags.service), "outcome": tags.outcome.String()})
	made := requestScope{count: scope.Counter("entry_requests"), took: scope.Timer("entry_request_time")}
	known, _ := m.scopes.LoadOrStore(tags, made)
	return known.(requestScope)
}
