package entry

import (
	"encoding/json"
	"hash/fnv"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/joomcode/errorx"

	"chivespindle.example/core/balance"
	"chivespindle.example/core/calls"
	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/fleettext"
	"chivespindle.example/core/gossip"
	"chivespindle.example/core/status"
)

// ExplainHandler serves GET /explain?service=&prefix=&priority= with an
// Explanation. Only service is required. It reads the same snapshot as requests and
// is safe for concurrent use.
func (e *Entry) ExplainHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		query, err := parseExplainQuery(r.URL.Query())
		if err != nil {
			writeExplainError(w, err)
			return
		}
		explanation, err := explain(time.Now(), e.opts.Self.ID, e.snapshot.Load(), e.node.View(), query)
		if err != nil {
			writeExplainError(w, err)
			return
		}
		writeExplain(w, http.StatusOK, explanation)
	})
}

// explainQuery holds the validated parameters of a request for an explanation.
type explainQuery struct {
	service  fleet.ServiceName
	prefix   string
	priority int
}

func parseExplainQuery(query url.Values) (explainQuery, error) {
	const lastPriority = 7
	q := explainQuery{
		service:  fleet.ServiceName(query.Get("service")),
		prefix:   query.Get("prefix"),
		priority: fleettext.DefaultPriority,
	}
	if q.service == "" {
		return q, failure.Invalid.New("service is required: /explain?service=NAME")
	}
	if text := query.Get("priority"); text != "" {
		priority, err := strconv.Atoi(text)
		if err != nil || priority < 0 || priority > lastPriority {
			return q, failure.Invalid.New("priority must be 0 to %d, got %q", lastPriority, text)
		}
		q.priority = priority
	}
	return q, nil
}

// explain returns the candidates in the balancer's snapshot and the replicas that
// are missing from it.
func explain(now time.Time, self fleet.InstanceID, snap *snapshot, view *gossip.View, q explainQuery) (status.Explanation, error) {
	if snap.config == nil {
		return status.Explanation{}, calls.NotReady.New("no text is in force yet")
	}
	if _, known := snap.config.Fleet.Service(q.service); !known {
		return status.Explanation{}, calls.UnknownService.New("no service %q in revision %d", q.service, snap.config.Revision)
	}
	explanation := status.Explanation{
		Entry:      self,
		Revision:   snap.config.Revision,
		Service:    q.service,
		Prefix:     q.prefix,
		Priority:   q.priority,
		Candidates: []status.Candidate{},
		Unknown:    []status.UnknownServer{},
	}
	request := balance.Request{Service: q.service, PrefixKey: prefixKey(q.prefix), Priority: q.priority}
	known := make(map[fleet.InstanceID]bool)
	for _, c := range snap.servers.Explain(now, request) {
		known[c.ID] = true
		explanation.Candidates = append(explanation.Candidates, candidate(c))
	}
	replicas := view.Service(q.service)
	for _, r := range replicas {
		if !known[r.ID] {
			reason := unknownReason(r, len(replicas))
			explanation.Unknown = append(explanation.Unknown, status.UnknownServer{ID: r.ID, Place: r.Place, Reason: reason})
		}
	}
	return explanation, nil
}

func candidate(c balance.Candidate) status.Candidate {
	return status.Candidate{
		ID:            c.ID,
		Tier:          c.Tier.String(),
		Verdict:       c.Verdict,
		InFlight:      c.InFlight,
		OtherInFlight: c.OtherInFlight,
		Slots:         c.Slots,
		Cost:          c.Cost,
		ReportAgeMS:   c.ReportAge.Milliseconds(),
		EjectedMS:     c.EjectionLeft.Milliseconds(),
		Preferred:     c.Preferred,
	}
}

// unknownReason returns why this entry receives no load reports of a replica.
func unknownReason(r gossip.Peer, replicas int) string {
	switch {
	case r.Silent:
		return "its agent is silent"
	case r.IsLeaving():
		return "it leaves"
	case replicas > subsetSize:
		return "no load report; this entry follows a part of the replicas only"
	default:
		return "its agent sends no load report"
	}
}

// prefixKey hashes a prefix name as callerhttp does for a request, which a test
// verifies. With another hash the explanation would name a server that no request
// prefers.
func prefixKey(name string) uint64 {
	if name == "" {
		return 0
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	return h.Sum64()
}

// explainError is the body of an error response.
type explainError struct {
	Error  string `json:"error"` // errorx type of the error
	Reason string `json:"reason"`
}

func writeExplainError(w http.ResponseWriter, err error) {
	status := http.StatusBadRequest
	switch {
	case errorx.IsOfType(err, calls.NotReady):
		status = http.StatusServiceUnavailable
	case errorx.IsOfType(err, calls.UnknownService):
		status = http.StatusNotFound
	}
	body := explainError{Error: failure.Internal.FullName(), Reason: err.Error()}
	if typed := errorx.Cast(err); typed != nil {
		body.Error = typed.Type().FullName()
		body.Reason = typed.Message()
	}
	writeExplain(w, status, body)
}

func writeExplain(w http.ResponseWriter, status int, body any) {
	encoded, err := json.MarshalIndent(body, "", "  ")
	if err != nil {
		http.Error(w, "the explanation cannot be encoded", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(encoded, '\n')) // the client may have disconnected
}
