package callerhttp

import (
	"net/http"
	"net/netip"
	"strconv"

	"github.com/joomcode/errorx"

	"chivespindle.example/core/calls"
	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
)

// AddressResponse is the response body of GET /v1/addresses, best address first.
type AddressResponse struct {
	Addresses  []netip.AddrPort `json:"addresses"`
	TTLSeconds int              `json:"ttl_seconds"`
}

func (s *Server) serveAddresses(w http.ResponseWriter, r *http.Request) {
	place := fleet.Place{
		Zone:   fleet.Zone(r.URL.Query().Get("zone")),
		Region: fleet.Region(r.URL.Query().Get("region")),
	}
	result := s.opts.Addresses.Addresses(place)
	response := AddressResponse{TTLSeconds: ceilSeconds(result.TTL), Addresses: []netip.AddrPort{}}
	response.Addresses = append(response.Addresses, result.Addresses...)
	w.Header().Set("Cache-Control", "max-age="+strconv.Itoa(response.TTLSeconds))
	writeJSON(w, http.StatusOK, response)
}

// KeyResponse is the response body of POST /v1/keys/{service}.
type KeyResponse struct {
	Key string `json:"idempotency_key"`
}

func (s *Server) serveKey(w http.ResponseWriter, r *http.Request) {
	key, err := s.opts.Keys.IssueKey(fleet.ServiceName(r.PathValue("service")))
	if err != nil {
		s.writeError(w, "", err)
		return
	}
	writeJSON(w, http.StatusOK, KeyResponse{Key: key})
}

// statusByType maps failure types to HTTP statuses. All other failures are 503 if
// the request did not run, so that a retry is safe, and 502 otherwise.
var statusByType = []struct {
	kind   *errorx.Type
	status int
}{
	{calls.UnknownService, http.StatusNotFound},
	{calls.BadRequest, http.StatusBadRequest},
	{calls.OverLimit, http.StatusTooManyRequests},
	{calls.DeadlinePassed, http.StatusGatewayTimeout},
	{failure.Timeout, http.StatusGatewayTimeout},
	{calls.Duplicate, http.StatusConflict},
}

func statusOf(err error) int {
	for _, row := range statusByType {
		if errorx.IsOfType(err, row.kind) {
			return row.status
		}
	}
	if failure.OutcomeOf(err) == failure.NotRun {
		return http.StatusServiceUnavailable
	}
	return http.StatusBadGateway
}

func typeName(err error) string {
	if e := errorx.Cast(err); e != nil {
		return e.Type().FullName()
	}
	return failure.Internal.FullName()
}
