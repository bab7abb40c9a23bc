// Package callerhttp is the HTTP interface for callers. docs/CALLERS.md is its
// contract; this package translates between it and core/calls and decides
// nothing else.
package callerhttp

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"chivespindle.example/adapters/telemetry"
	"chivespindle.example/core/calls"
	"chivespindle.example/core/failure"
)

// Options of a Server.
type Options struct {
	Listen     netip.AddrPort
	Dispatcher calls.Dispatcher
	Addresses  calls.AddressBook
	Keys       calls.KeyIssuer
	// MaxBody is the largest request body in bytes.
	MaxBody int64
	// DefaultDeadline holds for requests that name none.
	DefaultDeadline time.Duration
	Tracer          *telemetry.Tracer
	Logger          *zap.Logger
}

// Server serves callers until it is shut down.
type Server struct {
	opts     Options
	listener net.Listener
	http     *http.Server
}

// New binds the callers' address. The server takes no connection until Run.
func New(opts Options) (*Server, error) {
	listener, err := net.Listen("tcp", opts.Listen.String())
	if err != nil {
		return nil, failure.Unavailable.Wrap(err, "listen for callers on %s", opts.Listen)
	}
	s := &Server{opts: opts, listener: listener}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/addresses", s.addresses)
	mux.HandleFunc("POST /v1/keys/{service}", s.issueKey)
	mux.HandleFunc("POST /v1/services/{service}", s.request)
	mux.HandleFunc("POST /v1/services/{service}/{path...}", s.request)
	const headerTimeout = 5 * time.Second
	s.http = &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
	return s, nil
}

// Addr returns the bound address.
func (s *Server) Addr() netip.AddrPort {
	return s.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Run serves until Shutdown or Close.
func (s *Server) Run() error {
	err := s.http.Serve(s.listener)
	if err == http.ErrServerClosed {
		return nil
	}
	return failure.Unavailable.Wrap(err, "serve callers")
}

// Shutdown takes no new connection and waits for running requests until ctx
// ends; then it cuts what is left.
func (s *Server) Shutdown(ctx context.Context) error {
	if err := s.http.Shutdown(ctx); err != nil {
		_ = s.http.Close()
		return failure.Timeout.Wrap(err, "callers' requests did not end in time")
	}
	return nil
}
