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

// AnyPort is the address for Start that lets the kernel choose a port.
const AnyPort = "127.0.0.1:0"

// readHeaderTimeout bounds how long a client may take over a request's header.
const readHeaderTimeout = 10 * time.Second

// Server serves one handler on one local TCP address.
type Server struct {
	addr     netip.AddrPort
	http     *http.Server
	cancel   context.CancelFunc
	handlers sync.WaitGroup
	served   chan struct{}
}

// Start listens on addr, which must be an address of 127.0.0.0/8 such as
// AnyPort, and serves handler until Stop. Failures are failure.Invalid for
// the address and failure.Unavailable when it cannot be listened on.
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

// URL returns the base URL of the server, without a slash at the end.
func (s *Server) URL() string { return "http://" + s.addr.String() }

// Stop closes the listener and every connection, and returns once no handler
// runs. It may be called more than once.
func (s *Server) Stop() {
	s.cancel()
	// The only failure is that the listener was closed before.
	_ = s.http.Close()
	<-s.served
	s.handlers.Wait()
}

func (s *Server) serve(listener net.Listener) {
	defer close(s.served)
	// Serve ends only by Stop; a local listener has no other end.
	_ = s.http.Serve(listener)
}

// track counts the running handlers, since http.Server.Close does not wait
// for them: without it a test could end while a handler still writes.
//
// A handler that Stop ends before its answer is aborted. net/http would
// otherwise send an empty 200 for it, which no service that dies does.
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
