// Package callerhttp is the HTTP interface for callers. docs/CALLERS.md is its
// contract; this package translates between it and core/calls and decides
// nothing else.
package callerhttp

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"path"
	"time"

	"github.com/uber-go/tally/v4"
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
	Metrics         tally.Scope
}

// Server serves callers until it is shut down.
type Server struct {
	opts     Options
	listener net.Listener
	http     *http.Server
	cut      tally.Counter // answers that had begun
}

// New binds the callers' address. The server takes no connection until Run.
func New(opts Options) (*Server, error) {
	errorLog, err := zap.NewStdLogAt(opts.Logger, zap.WarnLevel)
	if err != nil {
		return nil, failure.Internal.Wrap(err, "no logger for the callers' port")
	}
	listener, err := net.Listen("tcp", opts.Listen.String())
	if err != nil {
		return nil, failure.Unavailable.Wrap(err, "listen for callers on %s", opts.Listen)
	}
	s := &Server{opts: opts, listener: listener, cut: opts.Metrics.Counter("answers_cut")}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/addresses", s.addresses)
	mux.HandleFunc("POST /v1/keys/{service}", s.issueKey)
	mux.HandleFunc("POST /v1/services/{service}", s.request)
	mux.HandleFunc("POST /v1/services/{service}/{path...}", s.request)
	const headerTimeout = 5 * time.Second
	s.http = &http.Server{Handler: s.route(mux), ReadHeaderTimeout: headerTimeout, ErrorLog: errorLog}
	return s, nil
}

// route answers what is on no page of the callers' interface with a refusal.
//
// http.ServeMux would answer in plain text, and send a request whose path has
// an empty or relative segment elsewhere. To a caller that is neither an answer
// nor a refusal, so it could not tell that nothing was run.
func (s *Server) route(mux *http.ServeMux) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if cleaned := path.Clean(r.URL.Path); r.URL.Path != cleaned && r.URL.Path != cleaned+"/" {
			s.refuse(w, "", badRequest("path %q has an empty or relative segment", r.URL.Path))
			return
		}
		if _, pattern := mux.Handler(r); pattern == "" {
			s.noPage(w, r, mux)
			return
		}
		mux.ServeHTTP(w, r)
	})
}

// noPage tells a page that is none from one that has another method.
func (s *Server) noPage(w http.ResponseWriter, r *http.Request, mux *http.ServeMux) {
	status := http.StatusNotFound
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		other := r.Clone(r.Context())
		other.Method = method
		if _, pattern := mux.Handler(other); pattern != "" {
			w.Header().Set("Allow", method)
			status = http.StatusMethodNotAllowed
		}
	}
	s.refuseAs(w, "", status, badRequest("%s %s is no page of the callers' interface", r.Method, r.URL.Path))
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
