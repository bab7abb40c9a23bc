// Package callerhttp is the HTTP server for callers. docs/CALLERS.md is its
// specification; this package translates between it and core/calls and makes no
// other decisions.
package callerhttp

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"path"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"chivespindle.example/adapters/boundedhttp"
	"chivespindle.example/adapters/telemetry"
	"chivespindle.example/core/calls"
	"chivespindle.example/core/connlimit"
	"chivespindle.example/core/failure"
	"chivespindle.example/core/memlimit"
)

// Options configures a Server.
type Options struct {
	Listen     netip.AddrPort
	Dispatcher calls.Dispatcher
	Addresses  calls.AddressBook
	Keys       calls.KeyIssuer
	// MaxBody is the maximum size of a request body in bytes.
	MaxBody int64
	// BodyTimeout bounds the receipt of a request body.
	BodyTimeout time.Duration
	// Bodies is the memory for request bodies; nil for no bound.
	Bodies *memlimit.Budget
	// Limits bound what all callers use together.
	Limits connlimit.Limits
	// DefaultDeadline applies to requests that specify none.
	DefaultDeadline time.Duration
	Tracer          *telemetry.Tracer
	Logger          *zap.Logger
	Metrics         tally.Scope
}

// Server serves callers until it is shut down.
type Server struct {
	opts     Options
	listener net.Listener
	http     *boundedhttp.Server
	aborted  tally.Counter // responses aborted after their start

	keepAlivesDisabled atomic.Bool
	isStopping         atomic.Bool
}

// New binds the callers' address. The server accepts connections once Run is
// called.
func New(opts Options) (*Server, error) {
	s := &Server{opts: opts, aborted: opts.Metrics.Counter("answers_cut")}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/addresses", s.serveAddresses)
	mux.HandleFunc("POST /v1/keys/{service}", s.serveKey)
	mux.HandleFunc("POST /v1/services/{service}", s.serveRequest)
	mux.HandleFunc("POST /v1/services/{service}/{path...}", s.serveRequest)
	s.http = boundedhttp.New(boundedhttp.Options{
		Port: "callers", Handler: s.route(mux), Limits: opts.Limits, ClientLimits: clientLimits,
		BodyTimeout: opts.BodyTimeout, Logger: opts.Logger, Metrics: opts.Metrics,
	})
	var err error
	if s.listener, err = s.http.Listen(opts.Listen.String()); err != nil {
		return nil, failure.Unavailable.Wrap(err, "listen for callers on %s", opts.Listen)
	}
	return s, nil
}

// clientLimits returns the bounds for one caller that docs/CALLERS.md states.
func clientLimits() boundedhttp.ClientLimits {
	return boundedhttp.ClientLimits{HeadBytes: 64 << 10, HeadTimeout: 5 * time.Second, IdleTimeout: 2 * time.Minute}
}

// route sends an error response for a request that matches no route.
//
// http.ServeMux would respond in plain text, and would redirect a request whose
// path has an empty or relative segment. A caller could not tell from either that
// nothing was run.
func (s *Server) route(mux *http.ServeMux) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.keepAlivesDisabled.Load() {
			w.Header().Set("Connection", "close")
		}
		if cleaned := path.Clean(r.URL.Path); r.URL.Path != cleaned && r.URL.Path != cleaned+"/" {
			s.writeError(w, "", badRequest("path %q has an empty or relative segment", r.URL.Path))
			return
		}
		if _, pattern := mux.Handler(r); pattern == "" {
			s.notFound(w, r, mux)
			return
		}
		mux.ServeHTTP(w, r)
	})
}

// notFound responds with 405 if the path exists with another method, with 404
// otherwise.
func (s *Server) notFound(w http.ResponseWriter, r *http.Request, mux *http.ServeMux) {
	status := http.StatusNotFound
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		other := r.Clone(r.Context())
		other.Method = method
		if _, pattern := mux.Handler(other); pattern != "" {
			w.Header().Set("Allow", method)
			status = http.StatusMethodNotAllowed
		}
	}
	s.writeErrorStatus(w, "", status, badRequest("%s %s is no page of the callers' interface", r.Method, r.URL.Path))
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() netip.AddrPort {
	return s.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Run serves requests until Shutdown or Close.
func (s *Server) Run() error {
	err := s.http.Serve(s.listener)
	if err == http.ErrServerClosed {
		return nil
	}
	return failure.Unavailable.Wrap(err, "serve callers")
}

// DisableKeepAlives makes every further response the last one on its connection, so that
// callers move to other entries without losing a request that is in transit.
func (s *Server) DisableKeepAlives() { s.keepAlivesDisabled.Store(true) }

// Shutdown stops accepting connections and waits for running requests until ctx
// ends; then it closes the remaining connections. Requests that are received
// meanwhile are refused as not run, since the end could cut them off.
func (s *Server) Shutdown(ctx context.Context) error {
	s.isStopping.Store(true)
	if err := s.http.Shutdown(ctx); err != nil {
		_ = s.http.Close()
		return failure.Timeout.Wrap(err, "callers' requests did not complete before the shutdown deadline")
	}
	return nil
}
