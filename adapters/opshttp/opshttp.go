// Package opshttp serves the operators' port of a process: its metrics, its
// status, and whether it lives and is ready. It has no part in the traffic.
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

	"go.uber.org/zap"
	"golang.org/x/net/netutil"

	"chivespindle.example/core/failure"
)

// Bounds on what readers of the port may take from the process.
const (
	maxConnections    = 64
	maxHeaderBytes    = 16 << 10
	maxBodyBytes      = 64 << 10
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 10 * time.Second
	writeTimeout      = 30 * time.Second
	idleTimeout       = 30 * time.Second
	// answerTimeout bounds Status and Ready, which may wait for the control
	// loop. A loop that hangs must show as a failing probe, not as a silent one.
	answerTimeout = 5 * time.Second
	// stopTimeout bounds the wait for answers in progress at the end.
	stopTimeout = 5 * time.Second
)

// Options are the parts of the port. Status, Ready and the handlers are called
// from many goroutines at once.
type Options struct {
	// Listen is the TCP address. With port 0 the system chooses one; see Addr.
	Listen netip.AddrPort
	// Metrics serves /metrics; nil for none.
	Metrics http.Handler
	// Status returns what /status shows as JSON; nil for none.
	Status func() any
	// Ready reports whether the process should get work, and if not, why. nil
	// means always.
	Ready func() (ready bool, reason string)
	// Extra holds further handlers by pattern of http.ServeMux.
	Extra map[string]http.Handler
	// Logger takes the events of the port; nil for none.
	Logger *zap.Logger
}

// Server is the operators' port of one process.
type Server struct {
	listener net.Listener
	server   *http.Server
	logger   *zap.Logger
	stop     context.CancelFunc
	stopped  context.Context // done once Close was called
}

// New opens the port and serves nothing yet; Run does. It fails with
// failure.Unavailable if the address cannot be listened on, and with
// failure.Invalid if a pattern of Extra is malformed or taken.
func New(opts Options) (*Server, error) {
	if opts.Logger == nil {
		opts.Logger = zap.NewNop()
	}
	mux, err := newMux(opts)
	if err != nil {
		return nil, err
	}
	errorLog, err := zap.NewStdLogAt(opts.Logger, zap.WarnLevel)
	if err != nil {
		return nil, failure.Internal.Wrap(err, "no logger for the operators' port")
	}
	listener, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(opts.Listen))
	if err != nil {
		return nil, failure.Unavailable.Wrap(err, "cannot listen for operators")
	}
	stopped, stop := context.WithCancel(context.Background())
	return &Server{
		listener: netutil.LimitListener(listener, maxConnections),
		logger:   opts.Logger,
		stop:     stop,
		stopped:  stopped,
		server: &http.Server{
			Handler:           http.MaxBytesHandler(mux, maxBodyBytes),
			MaxHeaderBytes:    maxHeaderBytes,
			ReadHeaderTimeout: readHeaderTimeout,
			ReadTimeout:       readTimeout,
			WriteTimeout:      writeTimeout,
			IdleTimeout:       idleTimeout,
			ErrorLog:          errorLog,
		},
	}, nil
}

// Addr returns the address that the port listens on.
func (s *Server) Addr() netip.AddrPort {
	return s.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Run serves until ctx ends or Close is called, lets answers in progress end
// within five seconds, and returns nil. It is called once. Any other end is a
// failure.Unavailable.
func (s *Server) Run(ctx context.Context) error {
	defer s.stop()
	served := make(chan error, 1)
	go func() { served <- s.server.Serve(s.listener) }()
	select {
	case err := <-served:
		if s.stopped.Err() == nil {
			return failure.Unavailable.Wrap(err, "the operators' port ended")
		}
		// Close took the listener away, which Serve may tell first.
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
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if err := s.server.Shutdown(ctx); err != nil {
		s.logger.Warn("ops_answers_cut", zap.Error(err))
		_ = s.server.Close() // what it says was said by Shutdown
	}
}

// Close ends Run, and frees the port if Run was never called. It does not
// wait, and may be called at any time and more than once.
func (s *Server) Close() error {
	s.stop()
	if err := s.listener.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		return failure.Internal.Wrap(err, "closing the operators' port")
	}
	return nil
}

// newMux returns the handlers of the port.
func newMux(opts Options) (*http.ServeMux, error) {
	routes := map[string]http.Handler{
		"GET /healthz": http.HandlerFunc(serveHealth),
		"GET /readyz":  withTimeout(serveReady(opts.Ready)),
	}
	if opts.Metrics != nil {
		routes["GET /metrics"] = opts.Metrics
	}
	if opts.Status != nil {
		routes["GET /status"] = withTimeout(serveStatus(opts.Status, opts.Logger))
	}
	mux := http.NewServeMux()
	patterns := slices.Sorted(maps.Keys(routes))
	for _, pattern := range patterns {
		mux.Handle(pattern, routes[pattern])
	}
	for _, pattern := range slices.Sorted(maps.Keys(opts.Extra)) {
		if err := register(mux, pattern, opts.Extra[pattern]); err != nil {
			return nil, err
		}
		patterns = append(patterns, pattern)
	}
	mux.Handle("GET /{$}", serveIndex(patterns))
	return mux, nil
}

// register adds a handler. The mux panics over a pattern that it cannot take;
// the process should rather say so and stop.
func register(mux *http.ServeMux, pattern string, handler http.Handler) (err error) {
	defer func() {
		if reason := recover(); reason != nil {
			err = failure.Invalid.New("pattern %q of the operators' port: %v", pattern, reason)
		}
	}()
	mux.Handle(pattern, handler)
	return nil
}

func withTimeout(handler http.HandlerFunc) http.Handler {
	return http.TimeoutHandler(handler, answerTimeout, "no answer from the process in time\n")
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
		_, _ = page.WriteTo(w) // a reader that has gone needs no answer
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
	_, _ = io.WriteString(w, text) // a reader that has gone needs no answer
}
