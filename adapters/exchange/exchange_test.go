package exchange_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
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

// patience bounds what must happen soon.
const patience = 5 * time.Second

// server answers each request on a connection by script, and counts both.
type server struct {
	listener    net.Listener
	connections atomic.Int64
	requests    atomic.Int64
}

// serve starts a server whose script gets each request, its connection and its
// number on the connection. The script returns false to close.
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
			go s.answer(c, script)
		}
	}()
	return s
}

func (s *server) answer(c net.Conn, script func(net.Conn, *http.Request, int) bool) {
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

func say(c net.Conn, text string) { _, _ = io.WriteString(c, text) }

const (
	ok       = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"
	inChunks = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n"
)

func get() *http.Request {
	return &http.Request{
		Method: http.MethodGet, URL: &url.URL{Path: "/x"}, Host: "a.example", Header: http.Header{},
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
}

func soon() time.Time { return time.Now().Add(patience) }

// whole runs one exchange to its end and returns the body.
func whole(p *exchange.Pool, s *server) (string, error) {
	r, err := p.Do(context.Background(), s.addr(), get, soon())
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(r.Body)
	r.Close(err == nil, 0)
	if err != nil {
		return "", exchange.Failure(err)
	}
	return string(body), nil
}

var _ = Describe("Pool", func() {
	It("keeps its connections", func() {
		s := serve(func(c net.Conn, _ *http.Request, _ int) bool { say(c, ok); return true })
		p := exchange.New()
		for range 5 {
			Expect(whole(p, s)).To(Equal("hi"))
		}
		Expect(s.connections.Load()).To(Equal(int64(1)))
		Expect(p.Dialled()).To(Equal(int64(1)))
	})

	DescribeTable("does not use a connection again that may not be used",
		func(answer string, wantBody string) {
			s := serve(func(c net.Conn, _ *http.Request, n int) bool {
				say(c, answer)
				return n > 0 || answer[len(answer)-1] != '!'
			})
			p := exchange.New()
			Expect(whole(p, s)).To(Equal(wantBody))
			Expect(whole(p, s)).To(Equal(wantBody))
			Expect(s.connections.Load()).To(Equal(int64(2)))
		},
		Entry("the server closes it", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi", "hi"),
		Entry("a second answer lies in it", ok+ok, "hi"),
		Entry("bytes that are no answer lie in it", ok+"???", "hi"),
		Entry("the body ends with it", "HTTP/1.1 200 OK\r\n\r\nhi!", "hi!"),
	)

	// A kept connection dies while a request that may not run twice is on its
	// way. Whether it ran is unknown; a second sending by the transport would run
	// it twice.
	It("never sends a request again by itself", func() {
		s := serve(func(c net.Conn, _ *http.Request, n int) bool {
			if n == 0 {
				say(c, ok)
				return true
			}
			return false
		})
		p := exchange.New()
		Expect(whole(p, s)).To(Equal("hi"))
		_, err := whole(p, s)
		Expect(errorx.IsOfType(err, failure.Unavailable)).To(BeTrue())
		Expect(failure.OutcomeOf(err)).To(Equal(failure.Unknown))
		Expect(s.requests.Load()).To(Equal(int64(2)))
	})

	It("says that nothing ran when no connection was made", func() {
		s := serve(func(net.Conn, *http.Request, int) bool { return true })
		Expect(s.listener.Close()).To(Succeed())
		_, err := whole(exchange.New(), s)
		Expect(failure.OutcomeOf(err)).To(Equal(failure.NotRun))
	})

	// Guards against a request that tells a time left that has passed while its
	// connection was made.
	It("makes the request once the connection is there", func() {
		called := make(chan struct{})
		s := serve(func(c net.Conn, _ *http.Request, _ int) bool { say(c, ok); return true })
		p := exchange.New()
		made := func() *http.Request {
			Expect(p.Dialled()).To(Equal(int64(1)))
			close(called)
			return get()
		}
		r, err := p.Do(context.Background(), s.addr(), made, soon())
		Expect(err).NotTo(HaveOccurred())
		Expect(called).To(BeClosed())
		r.Close(false, 0)
	})

	// Guards against work that begins after its time, since a connection took long.
	It("sends nothing once the time for the answer is over", func() {
		s := serve(func(c net.Conn, _ *http.Request, _ int) bool { say(c, ok); return true })
		p := exchange.New()
		_, err := p.Do(context.Background(), s.addr(), get, time.Now())
		Expect(failure.OutcomeOf(err)).To(Equal(failure.NotRun))
		Expect(whole(p, s)).To(Equal("hi"))
		Expect(s.requests.Load()).To(Equal(int64(1)))
	})

	DescribeTable("tells silence from a broken connection", func(before string) {
		release := make(chan struct{})
		s := serve(func(c net.Conn, _ *http.Request, _ int) bool {
			say(c, before)
			<-release
			return false
		})
		defer close(release)
		_, err := exchange.New().Do(context.Background(), s.addr(), get, time.Now().Add(30*time.Millisecond))
		Expect(errorx.IsOfType(err, failure.Timeout)).To(BeTrue(), "%v", err)
		Expect(failure.OutcomeOf(err)).To(Equal(failure.Unknown))
	},
		Entry("after nothing", ""),
		Entry("inside the status line", "HTTP/1.1 20"),
		Entry("inside a header line", "HTTP/1.1 200 OK\r\nConte"),
		Entry("after an interim answer", "HTTP/1.1 103 Early Hints\r\n\r\n"),
	)

	DescribeTable("finds out that a body is not whole",
		func(answer string) {
			s := serve(func(c net.Conn, _ *http.Request, _ int) bool { say(c, answer); return false })
			_, err := whole(exchange.New(), s)
			Expect(err).To(HaveOccurred())
			Expect(failure.OutcomeOf(err)).To(Equal(failure.Unknown))
		},
		Entry("shorter than its length", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhi"),
		Entry("chunks without an end", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n"),
		Entry("no answer at all", ""),
		Entry("no protocol", "hello\r\n\r\n"),
	)

	// Guards against the rest of a body that is taken for the next answer.
	DescribeTable("keeps no connection on which a body was not read to its end", func(head string) {
		s := serve(func(c net.Conn, _ *http.Request, n int) bool {
			if n == 0 {
				say(c, head)
				return true
			}
			say(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale")
			return false
		})
		p := exchange.New()
		r, err := p.Do(context.Background(), s.addr(), get, soon())
		Expect(err).NotTo(HaveOccurred())
		r.Close(true, 0)
		_, err = p.Do(context.Background(), s.addr(), get, soon())
		Expect(err).NotTo(HaveOccurred())
		Expect(s.connections.Load()).To(Equal(int64(2)))
	},
		Entry("of a length", "HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n"),
		Entry("in chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"),
	)

	It("passes over interim answers until the time for the answer is over, and no longer", func() {
		s := serve(func(c net.Conn, _ *http.Request, _ int) bool {
			for {
				if _, err := io.WriteString(c, "HTTP/1.1 103 Early Hints\r\n\r\n"); err != nil {
					return false
				}
			}
		})
		_, err := exchange.New().Do(context.Background(), s.addr(), get, time.Now().Add(30*time.Millisecond))
		Expect(errorx.IsOfType(err, failure.Timeout)).To(BeTrue(), "%v", err)
		Expect(failure.OutcomeOf(err)).To(Equal(failure.Unknown))
	})

	// Guards against an answer of a killed server that is taken for complete.
	DescribeTable("tells whether the sender marks the end of the body",
		func(method, answer, wantBody string, framed bool) {
			s := serve(func(c net.Conn, _ *http.Request, _ int) bool { say(c, answer); return false })
			request := get()
			request.Method = method
			r, err := exchange.New().Do(context.Background(), s.addr(), func() *http.Request { return request }, soon())
			Expect(err).NotTo(HaveOccurred())
			Expect(r.EndIsFramed()).To(Equal(framed))
			Expect(io.ReadAll(r.Body)).To(BeEquivalentTo(wantBody))
			r.Close(true, 0)
		},
		Entry("a length", http.MethodGet, ok, "hi", true),
		Entry("chunks", http.MethodGet, inChunks, "hi", true),
		Entry("a status without a body", http.MethodGet, "HTTP/1.1 204 No Content\r\n\r\n", "", true),
		Entry("a request for no body", http.MethodHead, "HTTP/1.1 200 OK\r\n\r\n", "", true),
		Entry("neither", http.MethodGet, "HTTP/1.1 200 OK\r\n\r\nhi", "hi", false),
		Entry("neither, in HTTP/1.0", http.MethodGet, "HTTP/1.0 200 OK\r\n\r\nhi", "hi", false),
		Entry("chunks, which HTTP/1.0 does not know", http.MethodGet,
			"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
			"2\r\nhi\r\n0\r\n\r\n", false),
	)

	// Guards against a prefix of an answer that is taken for the whole.
	DescribeTable("takes no answer for complete that was cut after any byte", func(answer string) {
		var sent atomic.Int64
		s := serve(func(c net.Conn, _ *http.Request, _ int) bool { say(c, answer[:sent.Load()]); return false })
		for n := range len(answer) {
			sent.Store(int64(n))
			_, err := whole(exchange.New(), s)
			Expect(failure.OutcomeOf(err)).To(Equal(failure.Unknown), "after %d bytes", n)
			Expect(err).To(HaveOccurred(), "after %d bytes", n)
		}
		sent.Store(int64(len(answer)))
		Expect(whole(exchange.New(), s)).To(Equal("hi"))
	},
		Entry("of a length", ok),
		Entry("in chunks", inChunks),
		Entry("in chunks, with a trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: Sum\r\n\r\n"+
			"1\r\nh\r\n1;x=y\r\ni\r\n0\r\nSum: 1\r\n\r\n"),
		Entry("after an interim answer", "HTTP/1.1 103 Early Hints\r\n\r\n"+ok),
	)

	// A caller leaves. Its server must see the connection close, or it works on
	// for nobody.
	It("closes the connection when the caller leaves", func() {
		gone := make(chan struct{})
		s := serve(func(c net.Conn, _ *http.Request, _ int) bool {
			say(c, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhi")
			_, _ = c.Read(make([]byte, 1))
			close(gone)
			return false
		})
		ctx, cancel := context.WithCancel(context.Background())
		r, err := exchange.New().Do(ctx, s.addr(), get, soon())
		Expect(err).NotTo(HaveOccurred())
		cancel()
		Eventually(gone, patience).Should(BeClosed())
		r.Close(true, 0)
	})

	// Guards against work that a server begins for a caller who has left already.
	It("sends nothing for a caller who has left", func() {
		s := serve(func(c net.Conn, _ *http.Request, _ int) bool { say(c, ok); return true })
		p := exchange.New()
		left, leave := context.WithCancel(context.Background())
		leave()
		for range 20 {
			Expect(whole(p, s)).To(Equal("hi"))
			_, err := p.Do(left, s.addr(), get, soon())
			Expect(failure.OutcomeOf(err)).To(Equal(failure.NotRun))
		}
		Expect(s.requests.Load()).To(Equal(int64(20)))
		Expect(s.connections.Load()).To(Equal(int64(1)), "those that are kept are not spent")
	})

	It("passes over interim answers", func() {
		s := serve(func(c net.Conn, _ *http.Request, _ int) bool {
			say(c, "HTTP/1.1 103 Early Hints\r\n\r\n"+ok)
			return true
		})
		Expect(whole(exchange.New(), s)).To(Equal("hi"))
	})

	It("drops what it keeps of servers that are not listed any more", func() {
		s := serve(func(c net.Conn, _ *http.Request, _ int) bool { say(c, ok); return true })
		p := exchange.New()
		Expect(whole(p, s)).To(Equal("hi"))
		p.Keep(map[netip.AddrPort]int{})
		Expect(whole(p, s)).To(Equal("hi"))
		Expect(s.connections.Load()).To(Equal(int64(2)))
	})

	// A burst needed three connections. Kept by every entry, they would use up
	// what the server accepts, and it would reset those of new requests.
	It("keeps no more unused connections than it is told", func() {
		s := serve(func(c net.Conn, _ *http.Request, _ int) bool { say(c, ok); return true })
		p := exchange.New()
		p.Keep(map[netip.AddrPort]int{s.addr(): 1})
		burst := func() {
			var answers []*exchange.Response
			for range 3 {
				r, err := p.Do(context.Background(), s.addr(), get, soon())
				Expect(err).NotTo(HaveOccurred())
				answers = append(answers, r)
			}
			for _, r := range answers {
				_, _ = io.ReadAll(r.Body)
				r.Close(true, 0)
			}
		}
		burst()
		burst()
		Expect(s.connections.Load()).To(Equal(int64(3 + 2)))
	})

	It("closes the unused connections beyond a lower bound", func() {
		s := serve(func(c net.Conn, _ *http.Request, _ int) bool { say(c, ok); return true })
		p := exchange.New()
		Expect(whole(p, s)).To(Equal("hi"))
		p.Keep(map[netip.AddrPort]int{s.addr(): 0})
		Expect(whole(p, s)).To(Equal("hi"))
		Expect(s.connections.Load()).To(Equal(int64(2)))
	})

	// A server's process was replaced under its address. What is sent on a
	// connection to its predecessor is lost, and may not be sent again if it may
	// run only once.
	It("makes new connections to a server whose process was replaced", func() {
		s := serve(func(c net.Conn, _ *http.Request, _ int) bool { say(c, ok); return true })
		p := exchange.New()
		Expect(whole(p, s)).To(Equal("hi"))
		p.Drop(s.addr())
		Expect(whole(p, s)).To(Equal("hi"))
		Expect(s.connections.Load()).To(Equal(int64(2)))
	})

	It("does not keep a connection for longer than its server does", func() {
		s := serve(func(c net.Conn, _ *http.Request, _ int) bool { say(c, ok); return true })
		p := exchange.New()
		r, err := p.Do(context.Background(), s.addr(), get, soon())
		Expect(err).NotTo(HaveOccurred())
		_, _ = io.ReadAll(r.Body)
		r.Close(true, time.Second) // less than the margin
		Expect(whole(p, s)).To(Equal("hi"))
		Expect(s.connections.Load()).To(Equal(int64(2)))
	})
})

var _ = Describe("A server that may have ended", func() {
	answer := func(c net.Conn, _ *http.Request, _ int) bool { say(c, ok); return true }

	It("refuses connections once its listener is closed", func() {
		s := serve(answer)
		Expect(s.listener.Close()).To(Succeed())
		refuses, known := exchange.New().Refuses(context.Background(), s.addr())
		Expect([]bool{refuses, known}).To(Equal([]bool{true, true}))
	})

	It("does not if it accepts them, and the connection is used", func() {
		s := serve(answer)
		p := exchange.New()
		refuses, known := p.Refuses(context.Background(), s.addr())
		Expect([]bool{refuses, known}).To(Equal([]bool{false, true}))
		Expect(whole(p, s)).To(Equal("hi"))
		Expect(p.Dialled()).To(Equal(int64(1)))
	})

	It("is not taken for ended if the check was cut short", func() {
		s := serve(answer)
		Expect(s.listener.Close()).To(Succeed())
		gone, cancel := context.WithCancel(context.Background())
		cancel()
		refuses, known := exchange.New().Refuses(gone, s.addr())
		Expect([]bool{refuses, known}).To(Equal([]bool{false, false}))
	})
})
