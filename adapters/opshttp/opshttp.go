// Package opshttp serves the operators' port of a process: metrics, status,
// liveness and readiness. It is not involved in the traffic.
package opshttp

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"chivespindle.example/adapters/boundedhttp"
	"chivespindle.example/core/connlimit"
	"chivespindle.example/core/failure"
)

// Limits on the resources that clients of the port can use.
const (
	maxConnections = 64
	maxRequests    = 48
	// maxHeadMemory bounds the memory of all request heads, beyond a few kilobytes for each.
	maxHeadMemory = 2 << 20
	// maxPages is the number of pages that are composed and sent at a time, apart from those of
	// probes. The status of a large fleet takes megabytes for each client until it is sent.
	maxPages          = 8
	maxHeaderBytes    = 16 << 10
	maxBodyBytes      = 64 << 10
	readHeaderTimeout = 5 * time.Second
	readBodyTimeout   = 10 * time.Second
	writeTimeout      = 30 * time.Second
	idleTimeout       = 30 * time.Second
	// responseTimeout limits Status and Ready, which may wait for the control loop.
	// If the loop hangs, the probe must fail rather than wait.
	responseTimeout = 5 * time.Second
	// shutdownTimeout limits the wait for responses in progress at shutdown.
	shutdownTimeout = 5 * time.Second
)

// Options configures a Server. Status, Ready and the handlers are called
// concurrently.
type Options struct {
	// Listen is the TCP address. With port 0 the system chooses a port; see Addr.
	Listen netip.AddrPort
	// Metrics serves /metrics; nil for none.
	Metrics http.Handler
	// Status returns the value that /status shows as JSON; nil for none.
	Status func() any
	// Ready reports whether the process is ready for work and, if not, the reason.
	// nil means always ready.
	Ready func() (ready bool, reason string)
	// Extra contains additional handlers by http.ServeMux pattern.
	Extra map[string]http.Handler
	// Logger receives the log events of the port; nil for none.
	Logger *zap.Logger
	// Scope receives the metrics of the port itself; nil for none.
	Scope tally.Scope
}

// Server is the operators' port of one process.
type Server struct {
	listener net.Listener
	server   *boundedhttp.Server
	logger   *zap.Logger
	stop     context.CancelFunc
	stopped  context.Context // canceled by Close and at the end of Run
}

// New opens the port; Run serves it. New fails with failure.Unavailable if it
// cannot listen on the address, and with failure.Invalid if a pattern of Extra is
// malformed or conflicts with another one.
func New(opts Options) (*Server, error) {
	if opts.Logger == nil {
		opts.Logger = zap.NewNop()
	}
	if opts.Scope == nil {
		opts.Scope = tally.NoopScope
	}
	mux, err := newMux(opts)
	if err != nil {
		return nil, err
	}
	server := boundedhttp.New(boundedhttp.Options{
		Port:         "ops",
		Handler:      withWriteTimeout(http.MaxBytesHandler(mux, maxBodyBytes)),
		Limits:       connlimit.Limits{Connections: maxConnections, Requests: maxRequests, HeadBytes: maxHeadMemory},
		ClientLimits: clientLimits,
		BodyTimeout:  readBodyTimeout,
		Logger:       opts.Logger,
		Metrics:      opts.Scope,
	})
	listener, err := server.Listen(opts.Listen.String())
	if err != nil {
		return nil, failure.Unavailable.Wrap(err, "listen on the operators' port")
	}
	stopped, stop := context.WithCancel(context.Background())
	return &Server{listener: listener, logger: opts.Logger, stop: stop, stopped: stopped, server: server}, nil
}

func clientLimits() boundedhttp.ClientLimits {
	return boundedhttp.ClientLimits{HeadBytes: maxHeaderBytes, HeadTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}
}

// withWriteTimeout bounds the time for a response to a client that reads slowly.
func withWriteTimeout(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// It fails only on a closed connection.
		_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
		handler.ServeHTTP(w, r)
	})
}

// Addr returns the address that the port listens on.
func (s *Server) Addr() netip.AddrPort {
	return s.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Run serves until ctx ends or Close is called, waits up to five seconds for
// responses in progress, and returns nil. It may be called once. If serving ends
// for another reason, it returns failure.Unavailable.
func (s *Server) Run(ctx context.Context) error {
	defer s.stop()
	served := make(chan error, 1)
	go func() { served <- s.server.Serve(s.listener) }()
	select {
	case err := <-served:
		if s.stopped.Err() == nil {
			return failure.Unavailable.Wrap(err, "serve the operators' port")
		}
		// Close closed the listener, and Serve may report that first.
		s.shutdown()
		return nil
	case <-ctx.Done():
	case <-s.stopped.Done():
	}
	s.shutdown()
	<-served
	return nil
}

func (s *Server) shutdown() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := s.server.Shutdown(ctx); err != nil {
		s.logger.Warn("ops_answers_cut", zap.Error(err))
		_ = s.server.Close() // the error of Shutdown is already logged
	}
}

// Close ends Run, or frees the port if Run was never called. It does not wait, and
// may be called at any time and more than once.
func (s *Server) Close() error {
	s.stop()
	if err := s.listener.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		return failure.Internal.Wrap(err, "close the operators' port")
	}
	return nil
}

// newMux returns the request multiplexer of the port.
func newMux(opts Options) (*http.ServeMux, error) {
	pages, composed := make(chan struct{}, maxPages), make(chan struct{}, maxPages)
	routes := map[string]http.Handler{
		"GET /healthz": http.HandlerFunc(serveHealth),
		"GET /readyz":  withTimeout(serveReady(opts.Ready)),
	}
	if opts.Metrics != nil {
		routes["GET /metrics"] = limited(pages, opts.Metrics)
	}
	if opts.Status != nil {
		// When its client disconnects, withTimeout returns while the page is still being composed.
		routes["GET /status"] = limited(pages, withTimeout(limited(composed, serveStatus(opts.Status, opts.Logger))))
	}
	mux := http.NewServeMux()
	patterns := slices.Sorted(maps.Keys(routes))
	for _, pattern := range patterns {
		mux.Handle(pattern, routes[pattern])
	}
	for _, pattern := range slices.Sorted(maps.Keys(opts.Extra)) {
		if err := register(mux, pattern, limited(pages, opts.Extra[pattern])); err != nil {
			return nil, err
		}
		patterns = append(patterns, pattern)
	}
	mux.Handle("GET /{$}", serveIndex(patterns))
	return mux, nil
}

// register adds a handler. It returns an error for a pattern for which the mux
// panics, so that the process can report it and stop.
func register(mux *http.ServeMux, pattern string, handler http.Handler) (err error) {
	defer func() {
		if reason := recover(); reason != nil {
			err = failure.Invalid.New("pattern %q of the operators' port: %v", pattern, reason)
		}
	}()
	mux.Handle(pattern, handler)
	return nil
}

// limited responds with 503 while as many pages are being sent as places has room for.
func limited(places chan struct{}, handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case places <- struct{}{}:
		default:
			w.Header().Set("Retry-After", "1")
			writeText(w, http.StatusServiceUnavailable, "too many pages are being sent\n")
			return
		}
		defer func() { <-places }()
		handler.ServeHTTP(w, r)
	})
}

func withTimeout(handler http.Handler) http.Handler {
	return http.TimeoutHandler(handler, responseTimeout, "no answer from the process in time\n")
}

func serveHealth(w http.ResponseWriter, _ *http.Request) {
	writeText(w, http.StatusOK, "ok\n")
}

func serveReady(ready func() (bool, string)) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if ready == nil {
			writeText(w, http.StatusOK, "ready\n")
			return
		}
		isReady, reason := ready()
		if !isReady {
			writeText(w, http.StatusServiceUnavailable, "not ready: "+reason+"\n")
			return
		}
		writeText(w, http.StatusOK, "ready\n")
	}
}

func serveStatus(status func() any, logger *zap.Logger) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		var page bytes.Buffer
		encoder := json.NewEncoder(&page)
		encoder.SetIndent("", "  ")
		if err := encoder.Encode(status()); err != nil {
			logger.Error("ops_status_failed", zap.Error(err))
			writeText(w, http.StatusInternalServerError, "the status cannot be encoded\n")
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_, _ = page.WriteTo(w) // fails only if the client has disconnected
	}
}

func serveIndex(patterns []string) http.HandlerFunc {
	text := fmt.Sprintf("chivespindle\n\n%s\n", strings.Join(patterns, "\n"))
	return func(w http.ResponseWriter, _ *http.Request) {
		writeText(w, http.StatusOK, text)
	}
}

func writeText(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(status)
	_, _ = io.WriteString(w, text) // fails only if the client has disconnected
}
