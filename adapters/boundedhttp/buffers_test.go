package boundedhttp_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"chivespindle.example/adapters/boundedhttp"
	"chivespindle.example/core/connlimit"
)

// serveWith starts a server with a handler and returns its address.
func serveWith(opts boundedhttp.Options, handler http.HandlerFunc) string {
	opts.Port, opts.Logger, opts.Metrics, opts.Handler = "test", zap.NewNop(), tally.NoopScope, handler
	if opts.BodyTimeout == 0 {
		opts.BodyTimeout = hangGuard
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	server := boundedhttp.New(opts)
	go func() { defer GinkgoRecover(); Expect(server.Serve(l)).To(MatchError(http.ErrServerClosed)) }()
	DeferCleanup(func() { _ = server.Close() })
	return l.Addr().String()
}

func dialTo(addr string) net.Conn {
	c, err := net.Dial("tcp", addr)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = c.Close() })
	Expect(c.SetDeadline(time.Now().Add(hangGuard))).To(Succeed())
	return c
}

func respond(status int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }
}

// heapOfRequests returns how much of the heap requests with trailers take while they are being
// served.
func heapOfRequests(n int, trailers string) int64 {
	received, release := make(chan struct{}), make(chan struct{})
	free := sync.OnceFunc(func() { close(release) })
	addr := serveWith(boundedhttp.Options{}, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		received <- struct{}{}
		<-release
	})
	DeferCleanup(free)
	request := "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n" + trailers + "\r\n"
	var clients []net.Conn
	before := heapSize()
	for range n {
		c := dialTo(addr)
		clients = append(clients, c)
		_, err := io.WriteString(c, request)
		Expect(err).NotTo(HaveOccurred())
		Eventually(received, hangGuard).Should(Receive())
	}
	size := heapSize() - before
	free()
	for _, c := range clients { // so that their end does not change the next measurement
		Expect(status(c)).To(Equal(http.StatusOK))
	}
	return size
}

func heapSize() int64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

var _ = Describe("Bounds that net/http's buffers bypass", func() {
	limits := connlimit.Limits{HeadBytes: 10 << 10}
	manyFields := strings.Repeat("a:\n", 1000)

	// Guards against heads that arrive with an earlier request and are not counted.
	It("counts a head that is read together with an earlier request", func() {
		s := serve(boundedhttp.Options{Limits: limits})
		c := s.dial("GET / HTTP/1.1\r\nHost: a\r\n\r\nGET / HTTP/1.1\r\nHost: a\r\n" + manyFields + "\r\n")
		in := bufio.NewReader(c)
		first, err := http.ReadResponse(in, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(first.StatusCode).To(Equal(http.StatusOK))
		_, err = io.Copy(io.Discard, first.Body)
		Expect(err).NotTo(HaveOccurred())
		second, err := http.ReadResponse(in, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(second.StatusCode).To(Equal(http.StatusServiceUnavailable))
	})

	// Guards against heads without end in net/http's buffer, which no later read counts.
	It("counts a head that begins with an earlier request and doesn't end", func() {
		for _, first := range []string{
			"GET / HTTP/1.1\r\nHost: a\r\n\r\n",
			"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5000\r\n\r\n" + strings.Repeat("a", 5000),
		} {
			s := serve(boundedhttp.Options{Limits: limits})
			in := bufio.NewReader(s.dial(first + "GET / HTTP/1.1\r\nHost: a\r\n" + manyFields))
			for _, want := range []int{http.StatusOK, http.StatusServiceUnavailable} {
				response, err := http.ReadResponse(in, nil)
				Expect(err).NotTo(HaveOccurred())
				Expect(response.StatusCode).To(Equal(want))
				_, err = io.Copy(io.Discard, response.Body)
				Expect(err).NotTo(HaveOccurred())
			}
		}
	})

	// Guards against requests that net/http responds to itself, without any bound.
	It("bounds the time for the body of a request for the options of the server", func() {
		s := serve(boundedhttp.Options{BodyTimeout: time.Millisecond})
		c := s.dial("OPTIONS * HTTP/1.1\r\nHost: a\r\nContent-Length: 10000\r\n\r\n")
		_, err := io.Copy(io.Discard, c) // until the server closes the connection
		Expect(err).NotTo(HaveOccurred())
	})

	// Guards against a refused request whose body is awaited without end.
	It("bounds the time for the body of a request whose head is refused", func() {
		s := serve(boundedhttp.Options{Limits: limits, BodyTimeout: time.Millisecond})
		c := s.dial("GET / HTTP/1.1\r\nHost: a\r\n\r\nPOST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n" + manyFields + "\r\n")
		in := bufio.NewReader(c)
		for _, want := range []int{http.StatusOK, http.StatusServiceUnavailable} {
			response, err := http.ReadResponse(in, nil)
			Expect(err).NotTo(HaveOccurred())
			Expect(response.StatusCode).To(Equal(want))
			_, err = io.Copy(io.Discard, response.Body) // the second one ends with the connection
			Expect(err).NotTo(HaveOccurred())
		}
		_, err := in.ReadByte()
		Expect(err).To(MatchError(io.EOF))
	})

	// Guards against heads without end that take the idle timeout, since they begin in net/http's buffer.
	It("bounds the time for a head that begins with an earlier request", func() {
		var isServed atomic.Bool
		addr := serveWith(boundedhttp.Options{ClientLimits: func() boundedhttp.ClientLimits {
			limits := boundedhttp.ClientLimits{HeadBytes: 4096, HeadTimeout: hangGuard, IdleTimeout: 3 * hangGuard}
			if isServed.Load() {
				limits.HeadTimeout = time.Millisecond
			}
			return limits
		}}, func(http.ResponseWriter, *http.Request) { isServed.Store(true) })
		c := dialTo(addr)
		_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\nGET / HTTP/1.1\r\nHost")
		Expect(err).NotTo(HaveOccurred())
		in := bufio.NewReader(c)
		first, err := http.ReadResponse(in, nil)
		Expect(err).NotTo(HaveOccurred())
		_, err = io.Copy(io.Discard, first.Body)
		Expect(err).NotTo(HaveOccurred())
		_, err = io.Copy(io.Discard, in) // until the server closes the connection
		Expect(err).NotTo(HaveOccurred())
	})

	// Guards against heads without end whose fields are not counted, since an empty line precedes them.
	It("counts a head after an empty line", func() {
		s := serve(boundedhttp.Options{Limits: limits})
		c := s.dial("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n")
		in := bufio.NewReader(c)
		first, err := http.ReadResponse(in, nil)
		Expect(err).NotTo(HaveOccurred())
		_, err = io.Copy(io.Discard, first.Body)
		Expect(err).NotTo(HaveOccurred())
		_, err = io.WriteString(c, "\r\nGET / HTTP/1.1\r\nHost: a\r\n"+manyFields)
		Expect(err).NotTo(HaveOccurred())
		second, err := http.ReadResponse(in, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(second.StatusCode).To(Equal(http.StatusServiceUnavailable))
	})

	// Guards against trailers that are kept while a request is served and are not counted.
	It("keeps little of the trailers of requests", func() {
		const requests, perRequest = 32, 16 << 10
		var trailers strings.Builder
		for i := range 400 {
			_, _ = fmt.Fprintf(&trailers, "a%x:\r\n", i)
		}
		with, without := heapOfRequests(requests, trailers.String()), heapOfRequests(requests, "")
		Expect(with - without).To(BeNumerically("<", requests*perRequest))
	})

	// Guards against a refusal that is lost since the close with unread bytes resets the connection.
	It("lets the client read the response to a request whose body is not read", func() {
		arrived := make(chan struct{})
		addr := serveWith(boundedhttp.Options{}, func(w http.ResponseWriter, _ *http.Request) {
			<-arrived
			w.WriteHeader(http.StatusServiceUnavailable)
		})
		c := dialTo(addr)
		_, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1000000\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		_, err = c.Write(make([]byte, 12<<10)) // less than the receive buffer
		Expect(err).NotTo(HaveOccurred())
		close(arrived)
		in := bufio.NewReader(c)
		response, err := http.ReadResponse(in, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
		_, err = in.ReadByte()
		Expect(err).To(MatchError(io.EOF))
	})

	// Guards against a client that waits for "100 Continue" and gets no response until the body's timeout.
	It("responds at once to a client that waits before it sends the body", func() {
		addr := serveWith(boundedhttp.Options{BodyTimeout: 3 * hangGuard}, respond(http.StatusServiceUnavailable))
		c := dialTo(addr)
		_, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 5\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		Expect(status(c)).To(Equal(http.StatusServiceUnavailable))
	})

	// Guards against responses that are not read and take the kernel's memory.
	It("bounds what a client that reads nothing makes the kernel hold", func() {
		var written atomic.Int64
		ended := make(chan struct{})
		addr := serveWith(boundedhttp.Options{}, func(w http.ResponseWriter, _ *http.Request) {
			defer close(ended)
			for {
				n, err := w.Write(make([]byte, 4<<10))
				if err != nil {
					return
				}
				written.Add(int64(n))
			}
		})
		l, err := net.Dial("tcp", addr)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = l.Close() })
		Expect(l.(*net.TCPConn).SetReadBuffer(4 << 10)).To(Succeed())
		_, err = io.WriteString(l, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		Eventually(ended, 3*hangGuard).Should(BeClosed())
		Expect(written.Load()).To(BeNumerically("<=", 256<<10))
	})

	// Guards against idle clients whose newcomers close the upload of an ordinary client.
	It("closes an idle connection before one whose body arrives steadily", func() {
		const (
			age   = time.Second // from which a request without progress may be evicted
			idle  = 7
			tries = 20
		)
		received := make(chan struct{})
		addr := serveWith(boundedhttp.Options{Limits: connlimit.Limits{Connections: idle + 1, Requests: idle - 1}}, func(_ http.ResponseWriter, r *http.Request) {
			for piece := make([]byte, 1); r.ContentLength > 0; received <- struct{}{} {
				if _, err := io.ReadFull(r.Body, piece); err != nil {
					return
				}
			}
		})
		get := func() net.Conn {
			c := dialTo(addr)
			_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
			Expect(err).NotTo(HaveOccurred())
			Expect(status(c)).To(Equal(http.StatusOK))
			return c
		}
		for range idle {
			get()
		}
		// attempt reports whether the newcomer came within age of the last byte that it knows
		// was received. If the machine stood still in between, either may be evicted.
		attempt := func() bool {
			upload := dialTo(addr)
			_, err := io.WriteString(upload, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1000000\r\n\r\n")
			Expect(err).NotTo(HaveOccurred())
			send := func() bool {
				if _, err := upload.Write([]byte("a")); err != nil {
					return false
				}
				select {
				case <-received:
					return true
				case <-time.After(hangGuard):
					return false
				}
			}
			Expect(send()).To(BeTrue())
			for began := time.Now(); time.Since(began) <= age; {
				Expect(send()).To(BeTrue())
				<-time.After(20 * time.Millisecond) // the pace of the body
			}
			sent := time.Now()
			Expect(send()).To(BeTrue())
			get()
			if time.Since(sent) >= age {
				_ = upload.Close()
				return false
			}
			Expect(send()).To(BeTrue(), "the upload goes on")
			return true
		}
		for range tries {
			if attempt() {
				return
			}
		}
		Fail("each newcomer came too late after the body's last byte")
	})
})
