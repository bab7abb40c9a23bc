// Package backend holds the code shared by the stand-ins of backend servers:
// the listener, fault injection, the admin calls and the counters.
package backend

import (
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"chivespindle.example/core/failure"
)

// Headers of the protocol (docs/PLATFORM-ENGINE.md).
const (
	HeaderRequestID      = "Request-Id"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderPriority       = "Priority"
	HeaderOutcome        = "Request-Outcome"
)

// MaxBody bounds the request body of one call in bytes.
const MaxBody = 8 << 20

// Clock is the source of time, replaced in tests.
type Clock interface {
	Now() time.Time
	After(delay time.Duration) <-chan time.Time
}

// WallClock is the Clock of the operating system.
type WallClock struct{}

// Now implements Clock.
func (WallClock) Now() time.Time { return time.Now() }

// After implements Clock.
func (WallClock) After(delay time.Duration) <-chan time.Time { return time.After(delay) }

// Server serves a handler on a loopback address.
type Server struct {
	mu       sync.Mutex
	server   *http.Server
	listener net.Listener
	served   chan struct{} // closed when Serve has returned
	addr     netip.AddrPort
}

// Start listens on listen ("127.0.0.1:0" chooses a free port) and serves
// handler until Close. A stand-in is reachable from its own machine only: an
// address outside 127.0.0.0/8 is failure.Invalid.
func (s *Server) Start(listen string, handler http.Handler) (netip.AddrPort, error) {
	addr, err := netip.ParseAddrPort(listen)
	if err != nil {
		return netip.AddrPort{}, failure.Invalid.Wrap(err, "listen address %q", listen)
	}
	if !addr.Addr().Is4() || !addr.Addr().IsLoopback() {
		return netip.AddrPort{}, failure.Invalid.New("listen address %q is outside 127.0.0.0/8", listen)
	}
	listener, err := net.Listen("tcp4", listen)
	if err != nil {
		return netip.AddrPort{}, failure.Unavailable.Wrap(err, "listen on %s", listen)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	served := make(chan struct{})
	s.mu.Lock()
	s.server = server
	s.listener = listener
	s.served = served
	s.addr = netip.MustParseAddrPort(listener.Addr().String())
	s.mu.Unlock()
	go func() {
		defer close(served)
		_ = server.Serve(listener)
	}()
	return s.Addr(), nil
}

// Addr returns the address that Start listens on; zero before Start.
func (s *Server) Addr() netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.addr
}

// URL returns the base URL of the server, without a trailing slash.
func (s *Server) URL() string { return "http://" + s.Addr().String() }

// Close stops listening and closes all connections, as if the process were
// killed. New connections are refused once it has returned. The listener is
// closed explicitly because http.Server closes only listeners that Serve has
// reached: a server closed right after Start would accept connections for a
// moment longer, and its clients would not learn that their requests were not
// run.
func (s *Server) Close() error {
	s.mu.Lock()
	server, listener, served := s.server, s.listener, s.served
	s.server = nil
	s.mu.Unlock()
	if server == nil {
		return nil
	}
	_ = listener.Close()
	err := server.Close()
	<-served
	if err != nil && !errors.Is(err, net.ErrClosed) {
		return failure.Unavailable.Wrap(err, "close the listener")
	}
	return nil
}

// WriteJSON responds with status and value as JSON.
func WriteJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

// ErrorResponse is the body of an error response.
type ErrorResponse struct {
	Error string `json:"error"`
}

// WriteError responds with status and the reason of the error.
func WriteError(w http.ResponseWriter, status int, reason string) {
	WriteJSON(w, status, ErrorResponse{Error: reason})
}

// WriteNotRun responds with status and reports that the request was not run.
func WriteNotRun(w http.ResponseWriter, status int, reason string) {
	w.Header().Set(HeaderOutcome, failure.NotRun.String())
	WriteError(w, status, reason)
}

const (
	defaultUrgency = 3 // RFC 9218, section 4.1
	maxUrgency     = 7
)

// ParseUrgency parses the urgency in a Priority header (RFC 9218), from 0
// (highest) to 7. If it is missing or invalid, ParseUrgency returns the default
// of 3.
func ParseUrgency(header string) int {
	for _, member := range strings.Split(header, ",") {
		value, found := strings.CutPrefix(strings.TrimSpace(member), "u=")
		if !found {
			continue
		}
		urgency, err := strconv.Atoi(value)
		if err == nil && urgency >= 0 && urgency <= maxUrgency {
			return urgency
		}
	}
	return defaultUrgency
}
