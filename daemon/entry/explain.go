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

// ExplainHandler answers GET /explain?service=&prefix=&priority= with an
// Explanation. Only service is needed. Safe for any goroutine: it reads what
// requests read.
func (e *Entry) ExplainHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		question, err := parseExplain(r.URL.Query())
		if err != nil {
			declineExplain(w, err)
			return
		}
		explanation, err := explain(time.Now(), e.opts.Self.ID, e.picture.Load(), e.node.View(), question)
		if err != nil {
			declineExplain(w, err)
			return
		}
		writeExplain(w, http.StatusOK, explanation)
	})
}

// explainQuestion is a checked query.
type explainQuestion struct {
	service  fleet.ServiceName
	prefix   string
	priority int
}

func parseExplain(query url.Values) (explainQuestion, error) {
	const lastPriority = 7
	q := explainQuestion{
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

// explain asks the balancer's snapshot, and adds the replicas that are not in
// it.
func explain(now time.Time, self fleet.InstanceID, p *picture, view *gossip.View, q explainQuestion) (status.Explanation, error) {
	if p.config == nil {
		return status.Explanation{}, calls.NotReady.New("no text is in force yet")
	}
	if _, known := p.config.Fleet.Service(q.service); !known {
		return status.Explanation{}, calls.UnknownService.New("no service %q in revision %d", q.service, p.config.Revision)
	}
	answer := status.Explanation{
		Entry:      self,
		Revision:   p.config.Revision,
		Service:    q.service,
		Prefix:     q.prefix,
		Priority:   q.priority,
		Candidates: []status.Candidate{},
		Unknown:    []status.UnknownServer{},
	}
	request := balance.Request{Service: q.service, PrefixKey: prefixKey(q.prefix), Priority: q.priority}
	known := make(map[fleet.InstanceID]bool)
	for _, c := range p.servers.Explain(now, request) {
		known[c.ID] = true
		answer.Candidates = append(answer.Candidates, candidate(c))
	}
	replicas := view.Service(q.service)
	for _, r := range replicas {
		if !known[r.ID] {
			reason := whyUnknown(r, len(replicas))
			answer.Unknown = append(answer.Unknown, status.UnknownServer{ID: r.ID, Place: r.Place, Reason: reason})
		}
	}
	return answer, nil
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

// whyUnknown says why a replica sends this entry no load reports.
func whyUnknown(r gossip.Peer, replicas int) string {
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

// prefixKey folds a prefix name as callerhttp does for a request; a spec holds
// the two together. With another fold the page would name a server that no
// request prefers.
func prefixKey(name string) uint64 {
	if name == "" {
		return 0
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	return h.Sum64()
}

// explainDecline is the body of an answer that is no Explanation.
type explainDecline struct {
	Error  string `json:"error"` // type of the failure
	Reason string `json:"reason"`
}

func declineExplain(w http.ResponseWriter, err error) {
	status := http.StatusBadRequest
	switch {
	case errorx.IsOfType(err, calls.NotReady):
		status = http.StatusServiceUnavailable
	case errorx.IsOfType(err, calls.UnknownService):
		status = http.StatusNotFound
	}
	decline := explainDecline{Error: failure.Internal.FullName(), Reason: err.Error()}
	if typed := errorx.Cast(err); typed != nil {
		decline.Error = typed.Type().FullName()
		decline.Reason = typed.Message()
	}
	writeExplain(w, status, decline)
}

func writeExplain(w http.ResponseWriter, status int, body any) {
	page, err := json.MarshalIndent(body, "", "  ")
	if err != nil {
		http.Error(w, "the explanation cannot be encoded", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(page, '\n')) // a reader that has gone needs no answer
}
