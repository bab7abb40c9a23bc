package exchange_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/adapters/exchange"
	"chivespindle.example/core/failure"
)

// waitTimeout bounds the wait for an expected event.
const waitTimeout = 5 * time.Second

// server responds to each request on a connection by a script, and counts
// connections and requests.
type server struct {
	listener    net.Listener
	connections atomic.Int64
	requests    atomic.Int64
}

// serve starts a server whose script receives each request, its connection and
// its index on the connection. The script returns false to close the
// connection.
func serve(script func(c net.Conn, r *http.Request, n int) bool) *server {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	s := &server{listener: listener}
	DeferCleanup(func() { _ = listener.Close() }) // a test may have closed it
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			s.connections.Add(1)
			go s.serveConn(c, script)
		}
	}()
	return s
}

func (s *server) serveConn(c net.Conn, script func(net.Conn, *http.Request, int) bool) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	for n := 0; ; n++ {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		s.requests.Add(1)
		if !script(c, r, n) {
			return
		}
	}
}

func (s *server) addr() netip.AddrPort { return netip.MustParseAddrPort(s.listener.Addr().String()) }

func write(c net.Conn, text string) { _, _ = io.WriteString(c, text) }

const (
	okResponse      = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"
	chunkedResponse = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n"
)

func newRequest() *http.Request {
	return &http.Request{
		Method: http.MethodGet, URL: &url.URL{Path: "/x"}, Host: "a.example", Header: http.Header{},
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
}

func waitDeadline() time.Time { return time.Now().Add(waitTimeout) }

// roundTrip completes one exchange and returns the body.
func roundTrip(p *exchange.Pool, s *server) (string, error) {
	r, err := p.Do(context.Background(), s.addr(), newRequest, waitDeadline())
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(r.Body)
	r.Close(err == nil, 0)
	if err != nil {
		return "", exchange.WrapReadError(err)
	}
	return string(body), nil
}

var _ = Describe("Pool", func() {
	It("reuses its connections", func() {
		s := serve(func(c net.Conn, _ *http.Request, _ int) bool { write(c, okResponse); return true })
		p := exchange.New()
		for range 5 {
			Expect(roundTrip(p, s)).To(Equal("hi"))
		}
		Expect(s.connections.Load()).To(Equal(int64(1)))
		Expect(p.Dialled()).To(Equal(int64(1)))
	})

	// Guards against heads of requests that are kept until their streams end.
	It("keeps no request once its response has started", func() {
		s := serve(func(c net.Conn, _ *http.Request, _ int) bool { write(c, chunkedResponse); return true })
		r, err := exchange.New().Do(context.Background(), s.addr(), newRequest, waitDeadline())
		Expect(err).NotTo(HaveOccurred())
		Expect(r.Request).To(BeNil())
		Expect(io.ReadAll(r.Body)).To(Equal([]byte("hi")))
		r.Close(true, 0)
	})

	DescribeTable("does not reuse a connection that is not reusable",
		func(response string, wantBody string) {
			s := serve(func(c net.Conn, _ *http.Request, n int) bool {
				write(c, response)
				return n > 0 || response[len(response)-1] != '!'
			})
			p := exchange.New()
			Expect(roundTrip(p, s)).To(Equal(wantBody))
			Expect(roundTrip(p, s)).To(Equal(wantBody))
			Expect(s.connections.Load()).To(Equal(int64(2)))
		},
		Entry("the server closes it", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi", "hi"),
		Entry("an extra response follows", okResponse+okResponse, "hi"),
		Entry("malformed bytes follow", okResponse+"???", "hi"),
		Entry("the body ends with the connection", "HTTP/1.1 200 OK\r\n\r\nhi!", "hi!"),
	)

	// A pooled connection breaks while a request that may not be executed twice
	// is in flight. Whether it was executed is unknown; a retry by the
	// transport could execute it twice.
	It("never retries a request by itself", func() {
		s := serve(func(c net.Conn, _ *http.Request, n int) bool {
			if n == 0 {
				write(c, okResponse)
				return true
			}
			return false
		})
		p := exchange.New()
		Expect(roundTrip(p, s)).To(Equal("hi"))
		_, err := roundTrip(p, s)
		Expect(errorx.IsOfType(err, failure.Unavailable)).To(BeTrue())
		Expect(failure.OutcomeOf(err)).To(Equal(failure.Unknown))
		Expect(s.requests.Load()).To(Equal(int64(2)))
	})

	It("reports the outcome NotRun if no connection was established", func() {
		s := serve(func(net.Conn, *http.Request, int) bool { return true })
		Expect(s.listener.Close()).To(Succeed())
		_, err := roundTrip(exchange.New(), s)
		Expect(failure.OutcomeOf(err)).To(Equal(failure.NotRun))
	})

	// Guards against a request that states a time left that has passed while
	// its connection was dialled.
	It("builds the request once the connection is established", func() {
		called := make(chan struct{})
		s := serve(func(c net.Conn, _ *http.Request, _ int) bool { write(c, okResponse); return true })
		p := exchange.New()
		buildRequest := func() *http.Request {
			Expect(p.Dialled()).To(Equal(int64(1)))
			close(called)
			return newRequest()
		}
		r, err := p.Do(context.Background(), s.addr(), buildRequest, waitDeadline())
		Expect(err).NotTo(HaveOccurred())
		Expect(called).To(BeClosed())
		r.Close(false, 0)
	})

	// Guards against a request that is started after its deadline because
	// dialling took long.
	It("sends nothing once the deadline has passed", func() {
		s := serve(func(c net.Conn, _ *http.Request, _ int) bool { write(c, okResponse); return true })
		p := exchange.New()
		_, err := p.Do(context.Background(), s.addr(), newRequest, time.Now())
		Expect(failure.OutcomeOf(err)).To(Equal(failure.NotRun))
		Expect(roundTrip(p, s)).To(Equal("hi"))
		Expect(s.requests.Load()).To(Equal(int64(1)))
	})

	DescribeTable("distinguishes a timeout from a broken connection", func(before string) {
		release := make(chan struct{})
		s := serve(func(c net.Conn, _ *http.Request, _ int) bool {
			write(c, before)
			<-release
			return false
		})
		defer close(release)
		_, err := exchange.New().Do(context.Background(), s.addr(), newRequest, time.Now().Add(30*time.Millisecond))
		Expect(errorx.IsOfType(err, failure.Timeout)).To(BeTrue(), "%v", err)
		Expect(failure.OutcomeOf(err)).To(Equal(failure.Unknown))
	},
		Entry("before any byte", ""),
		Entry("inside the status line", "HTTP/1.1 20"),
		Entry("inside a header line", "HTTP/1.1 200 OK\r\nConte"),
		Entry("after an interim response", "HTTP/1.1 103 Early Hints\r\n\r\n"),
	)

	DescribeTable("detects an incomplete response",
		func(response string) {
			s := serve(func(c net.Conn, _ *http.Request, _ int) bool { write(c, response); return false })
			_, err := roundTrip(exchange.New(), s)
			Expect(err).To(HaveOccurred())
			Expect(failure.OutcomeOf(err)).To(Equal(failure.Unknown))
		},
		Entry("shorter than its length", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhi"),
		Entry("chunks without a last chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n"),
		Entry("no response", ""),
		Entry("not HTTP", "hello\r\n\r\n"),
	)

	// Guards against the rest of a body being read as the next response.
	DescribeTable("does not reuse a connection whose body was not read to its end", func(head string) {
		s := serve(func(c net.Conn, _ *http.Request, n int) bool {
			if n == 0 {
				write(c, head)
				return true
			}
			write(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale")
			return false
		})
		p := exchange.New()
		r, err := p.Do(context.Background(), s.addr(), newRequest, waitDeadline())
		Expect(err).NotTo(HaveOccurred())
		r.Close(true, 0)
		_, err = p.Do(context.Background(), s.addr(), newRequest, waitDeadline())
		Expect(err).NotTo(HaveOccurred())
		Expect(s.connections.Load()).To(Equal(int64(2)))
	},
		Entry("of a length", "HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n"),
		Entry("in chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"),
	)

	It("skips interim responses until the deadline, and no longer", func() {
		s := serve(func(c net.Conn, _ *http.Request, _ int) bool {
			for { // fewer than the bound of a head allows
				<-time.After(time.Millisecond)
				if _, err := io.WriteString(c, "HTTP/1.1 103 Early Hints\r\n\r\n"); err != nil {
					return false
				}
			}
		})
		_, err := exchange.New().Do(context.Background(), s.addr(), newRequest, time.Now().Add(30*time.Millisecond))
		Expect(errorx.IsOfType(err, failure.Timeout)).To(BeTrue(), "%v", err)
		Expect(failure.OutcomeOf(err)).To(Equal(failure.Unknown))
	})

	// Guards against a truncated response of a killed server being taken for
	// complete.
	DescribeTable("reports whether the sender marks the end of the body",
		func(method, response, wantBody string, framed bool) {
			s := serve(func(c net.Conn, _ *http.Request, _ int) bool { write(c, response); return false })
			request := newRequest()
			request.Method = method
			r, err := exchange.New().Do(context.Background(), s.addr(), func() *http.Request { return request }, waitDeadline())
			Expect(err).NotTo(HaveOccurred())
			Expect(r.EndIsFramed()).To(Equal(framed))
			Expect(io.ReadAll(r.Body)).To(BeEquivalentTo(wantBody))
			r.Close(true, 0)
		},
		Entry("a length", http.MethodGet, okResponse, "hi", true),
		Entry("chunks", http.MethodGet, chunkedResponse, "hi", true),
		Entry("a status without a body", http.MethodGet, "HTTP/1.1 204 No Content\r\n\r\n", "", true),
		Entry("a HEAD request", http.MethodHead, "HTTP/1.1 200 OK\r\n\r\n", "", true),
		Entry("neither", http.MethodGet, "HTTP/1.1 200 OK\r\n\r\nhi", "hi", false),
		Entry("neither, in HTTP/1.0", http.MethodGet, "HTTP/1.0 200 OK\r\n\r\nhi", "hi", false),
	)

	// Guards against a prefix of a response being taken for the complete one.
	DescribeTable("detects a response that was truncated after any byte", func(response string) {
		var sent atomic.Int64
		s := serve(func(c net.Conn, _ *http.Request, _ int) bool { write(c, response[:sent.Load()]); return false })
		for n := range len(response) {
			sent.Store(int64(n))
			_, err := roundTrip(exchange.New(), s)
			Expect(failure.OutcomeOf(err)).To(Equal(failure.Unknown), "after %d bytes", n)
			Expect(err).To(HaveOccurred(), "after %d bytes", n)
		}
		sent.Store(int64(len(response)))
		Expect(roundTrip(exchange.New(), s)).To(Equal("hi"))
	},
		Entry("of a length", okResponse),
		Entry("in chunks", chunkedResponse),
		Entry("in chunks, with a trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: Sum\r\n\r\n"+
			"1\r\nh\r\n1;x=y\r\ni\r\n0\r\nSum: 1\r\n\r\n"),
		Entry("after an interim response", "HTTP/1.1 103 Early Hints\r\n\r\n"+okResponse),
	)

	// When a caller disconnects, its server must see the connection close, or
	// it would continue to work on the request.
	It("closes the connection when the caller disconnects", func() {
		closed := make(chan struct{})
		s := serve(func(c net.Conn, _ *http.Request, _ int) bool {
			write(c, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhi")
			_, _ = c.Read(make([]byte, 1))
			close(closed)
			return false
		})
		ctx, cancel := context.WithCancel(context.Background())
		r, err := exchange.New().Do(ctx, s.addr(), newRequest, waitDeadline())
		Expect(err).NotTo(HaveOccurred())
		cancel()
		Eventually(closed, waitTimeout).Should(BeClosed())
		r.Close(true, 0)
	})

	// Guards against a server working on a request whose caller has already
	// disconnected.
	It("sends nothing for a caller that has disconnected", func() {
		s := serve(func(c net.Conn, _ *http.Request, _ int) bool { write(c, okResponse); return true })
		p := exchange.New()
		canceled, cancel := context.WithCancel(context.Background())
		cancel()
		for range 20 {
			Expect(roundTrip(p, s)).To(Equal("hi"))
			_, err := p.Do(canceled, s.addr(), newRequest, waitDeadline())
			Expect(failure.OutcomeOf(err)).To(Equal(failure.NotRun))
		}
		Expect(s.requests.Load()).To(Equal(int64(20)))
		Expect(s.connections.Load()).To(Equal(int64(1)), "idle connections are not used up")
	})

	It("skips interim responses", func() {
		s := serve(func(c net.Conn, _ *http.Request, _ int) bool {
			write(c, "HTTP/1.1 103 Early Hints\r\n\r\n"+okResponse)
			return true
		})
		Expect(roundTrip(exchange.New(), s)).To(Equal("hi"))
	})

	It("closes the idle connections to servers that are no longer listed", func() {
		s := serve(func(c net.Conn, _ *http.Request, _ int) bool { write(c, okResponse); return true })
		p := exchange.New()
		Expect(roundTrip(p, s)).To(Equal("hi"))
		p.SetMaxIdle(map[netip.AddrPort]int{})
		Expect(roundTrip(p, s)).To(Equal("hi"))
		Expect(s.connections.Load()).To(Equal(int64(2)))
	})

	// After a burst with three connections, idle ones kept by every entry would
	// use up the connections that the server accepts, and it would reset those
	// of new requests.
	It("keeps at most the configured number of idle connections", func() {
		s := serve(func(c net.Conn, _ *http.Request, _ int) bool { write(c, okResponse); return true })
		p := exchange.New()
		p.SetMaxIdle(map[netip.AddrPort]int{s.addr(): 1})
		burst := func() {
			var responses []*exchange.Response
			for range 3 {
				r, err := p.Do(context.Background(), s.addr(), newRequest, waitDeadline())
				Expect(err).NotTo(HaveOccurred())
				responses = append(responses, r)
			}
			for _, r := range responses {
				_, _ = io.ReadAll(r.Body)
				r.Close(true, 0)
			}
		}
		burst()
		burst()
		Expect(s.connections.Load()).To(Equal(int64(3 + 2)))
	})

	It("closes excess idle connections when the limit is lowered", func() {
		s := serve(func(c net.Conn, _ *http.Request, _ int) bool { write(c, okResponse); return true })
		p := exchange.New()
		Expect(roundTrip(p, s)).To(Equal("hi"))
		p.SetMaxIdle(map[netip.AddrPort]int{s.addr(): 0})
		Expect(roundTrip(p, s)).To(Equal("hi"))
		Expect(s.connections.Load()).To(Equal(int64(2)))
	})

	// Guards against sending to a server's replaced process: a request on a
	// connection to the former process is lost, and cannot be retried if it may
	// be executed only once.
	It("dials new connections to a server whose process was replaced", func() {
		s := serve(func(c net.Conn, _ *http.Request, _ int) bool { write(c, okResponse); return true })
		p := exchange.New()
		Expect(roundTrip(p, s)).To(Equal("hi"))
		p.CloseIdle(s.addr())
		Expect(roundTrip(p, s)).To(Equal("hi"))
		Expect(s.connections.Load()).To(Equal(int64(2)))
	})

	// Guards against a request that reaches a server which no longer wants it because it
	// waited for the connection.
	It("sends nothing for a request that is revoked once a connection is available", func() {
		received := make(chan struct{}, 2)
		s := serve(func(c net.Conn, _ *http.Request, _ int) bool {
			received <- struct{}{}
			write(c, okResponse)
			return true
		})
		p := exchange.New()
		_, err := p.Do(context.Background(), s.addr(), func() *http.Request { return nil }, waitDeadline())
		Expect(errorx.IsOfType(err, exchange.Revoked)).To(BeTrue())
		Expect(failure.OutcomeOf(err)).To(Equal(failure.NotRun))
		Expect(roundTrip(p, s)).To(Equal("hi"))
		Expect(received).To(HaveLen(1))
		Expect(s.connections.Load()).To(Equal(int64(1)))
	})

	It("does not reuse a connection beyond the server's idle timeout", func() {
		s := serve(func(c net.Conn, _ *http.Request, _ int) bool { write(c, okResponse); return true })
		p := exchange.New()
		r, err := p.Do(context.Background(), s.addr(), newRequest, waitDeadline())
		Expect(err).NotTo(HaveOccurred())
		_, _ = io.ReadAll(r.Body)
		r.Close(true, time.Second) // less than the margin
		Expect(roundTrip(p, s)).To(Equal("hi"))
		Expect(s.connections.Load()).To(Equal(int64(2)))
	})
})

var _ = Describe("A server that may have ended", func() {
	response := func(c net.Conn, _ *http.Request, _ int) bool { write(c, okResponse); return true }

	It("refuses connections once its listener is closed", func() {
		s := serve(response)
		Expect(s.listener.Close()).To(Succeed())
		refused, known := exchange.New().ProbeRefused(context.Background(), s.addr())
		Expect([]bool{refused, known}).To(Equal([]bool{true, true}))
		request := func() *http.Request { return httptest.NewRequest(http.MethodGet, "/", nil) }
		_, err := exchange.New().Do(context.Background(), s.addr(), request, time.Now().Add(waitTimeout))
		Expect(errorx.IsOfType(err, exchange.Refused)).To(BeTrue(), "%v", err)
		Expect(failure.OutcomeOf(err)).To(Equal(failure.NotRun))
	})

	It("accepts connections, and the probe's connection is reused", func() {
		s := serve(response)
		p := exchange.New()
		refused, known := p.ProbeRefused(context.Background(), s.addr())
		Expect([]bool{refused, known}).To(Equal([]bool{false, true}))
		Expect(roundTrip(p, s)).To(Equal("hi"))
		Expect(p.Dialled()).To(Equal(int64(1)))
	})

	It("is not considered ended if the check was cancelled", func() {
		s := serve(response)
		Expect(s.listener.Close()).To(Succeed())
		canceled, cancel := context.WithCancel(context.Background())
		cancel()
		refused, known := exchange.New().ProbeRefused(canceled, s.addr())
		Expect([]bool{refused, known}).To(Equal([]bool{false, false}))
	})
})
