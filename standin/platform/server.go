package platform

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"chivespindle.example/core/failure"
)

// AnyPort is an address for Start with which the operating system chooses a
// free port.
const AnyPort = "127.0.0.1:0"

// readHeaderTimeout bounds the time for reading the header of a request.
const readHeaderTimeout = 10 * time.Second

// Server serves one handler on one local TCP address.
type Server struct {
	addr     netip.AddrPort
	http     *http.Server
	cancel   context.CancelFunc
	handlers sync.WaitGroup
	served   chan struct{}
}

// Start listens on addr, which must be an address in 127.0.0.0/8 such as
// AnyPort, and serves handler until Stop. It returns failure.Invalid for an
// invalid address and failure.Unavailable if listening fails.
func Start(handler http.Handler, addr string) (*Server, error) {
	local, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, failure.Invalid.Wrap(err, "listen address %q", addr)
	}
	if !local.Addr().Is4() || !local.Addr().IsLoopback() {
		return nil, failure.Invalid.New("listen address %s is not in 127.0.0.0/8", local)
	}
	listener, err := net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(local))
	if err != nil {
		return nil, failure.Unavailable.Wrap(err, "listen on %s", local)
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{
		addr:   listener.Addr().(*net.TCPAddr).AddrPort(),
		cancel: cancel,
		served: make(chan struct{}),
	}
	s.http = &http.Server{
		Handler:           s.track(handler),
		BaseContext:       func(net.Listener) context.Context { return ctx },
		ReadHeaderTimeout: readHeaderTimeout,
	}
	go s.serve(listener)
	return s, nil
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() netip.AddrPort { return s.addr }

// URL returns the base URL of the server, without a trailing slash.
func (s *Server) URL() string { return "http://" + s.addr.String() }

// Stop closes the listener and all connections and waits until no handler runs.
// It may be called more than once.
func (s *Server) Stop() {
	s.cancel()
	// Close fails only if the listener is closed already.
	_ = s.http.Close()
	<-s.served
	s.handlers.Wait()
}

func (s *Server) serve(listener net.Listener) {
	defer close(s.served)
	// Serve on a local listener ends only through Stop.
	_ = s.http.Serve(listener)
}

// track counts the running handlers, because http.Server.Close does not wait
// for them: without it a test could end while a handler still writes.
//
// A handler that Stop ends before it has responded is aborted. Otherwise
// net/http would send an empty 200 response, which a service that is killed
// does not do.
func (s *Server) track(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.handlers.Add(1)
		defer s.handlers.Done()
		next.ServeHTTP(w, r)
		if r.Context().Err() != nil {
			panic(http.ErrAbortHandler)
		}
	})
}
