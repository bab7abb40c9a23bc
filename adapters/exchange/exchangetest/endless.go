// Package exchangetest is a stand-in for servers in trouble.
package exchangetest

import (
	"context"
	"net"
	"net/netip"
	"runtime"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"chivespindle.example/core/failure"
)

// sentBytes is how much an endless response has. It is more than any bound, and little enough
// for a reader without one. Afterwards the server is silent and keeps the connection open, so
// a reader without a bound waits until its deadline.
const sentBytes = 40 << 20

const chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

// Response is a response that begins and then repeats a text. Without the latter, its server
// sends nothing more.
type Response struct{ Name, Begin, Repeat string }

// Heads are responses whose head has no end.
var Heads = []Response{
	{"one header line", "HTTP/1.1 200 OK\r\nX: ", "x"},
	{"bytes without one", "", "\x00"},
	{"status line", "HTTP/1.1 200 ", "O"},
	{"header lines", "HTTP/1.1 200 OK\r\n", "X: \r\n"},
	{"folded line", "HTTP/1.1 200 OK\r\nX: a\r\n", " a\r\n"},
	{"interim responses", "", "HTTP/1.1 103 Early Hints\r\n\r\n"},
}

// Frames are responses in chunks whose framing has no end.
var Frames = []Response{
	{"chunk extension", chunkedHead + "1;", "x"},
	{"chunk extensions", chunkedHead, "1;" + strings.Repeat("x", 1<<10) + "\r\nx\r\n"},
	{"chunk size", chunkedHead, "0"},
	{"trailer line", chunkedHead + "1\r\nx\r\n0\r\nX: ", "x"},
	{"trailer lines", chunkedHead + "1\r\nx\r\n0\r\n", "X: \r\n"},
}

// Bodies are responses whose body has no end.
var Bodies = []Response{
	{"without a length", "HTTP/1.1 200 OK\r\n\r\n", " "},
	{"in chunks", chunkedHead, "400\r\n" + strings.Repeat(" ", 1<<10) + "\r\n"},
	{"of a great length", "HTTP/1.1 200 OK\r\nContent-Length: 9000000000000000000\r\n\r\n", " "},
}

const streamHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"

// Streams are responses with an event that has no end.
var Streams = []Response{
	{"line of an event", streamHead + "data: ", "x"},
	{"lines of an event", streamHead, "data: x\n"},
	{"empty lines", streamHead, "\n"},
}

// Server answers each request with the next one of its responses, again from the first after the
// last, and keeps the connection open.
type Server struct {
	Addr netip.AddrPort
	// Closed receives a value when a client has closed the connection of a request.
	Closed    chan struct{}
	Requests  atomic.Int64
	listener  net.Listener
	responses []Response
}

// Serve starts a server until the end of the test.
func Serve(responses ...Response) *Server {
	ginkgo.GinkgoHelper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(func() { _ = listener.Close() })
	s := &Server{
		Addr:      netip.MustParseAddrPort(listener.Addr().String()),
		Closed:    make(chan struct{}, 1<<10),
		listener:  listener,
		responses: responses,
	}
	go s.accept()
	return s
}

// Limits of what a call allocates together with the stand-in. net/http allows heads of 10 MB by
// default. A body is collected in buffers of growing sizes.
const (
	maxHeadAllocated = 8 << 20
	maxBodyAllocated = 256 << 20
)

// ExpectBounded expects that a call to a server fails because of each of the responses in a
// bounded memory, not at its deadline, and that its connection is closed.
func ExpectBounded(call func(context.Context, netip.AddrPort) error) {
	ginkgo.GinkgoHelper()
	ExpectBoundedHead(call)
	expectBounded(call, maxBodyAllocated, Bodies)
}

// ExpectBoundedHead is ExpectBounded for a call that passes the body on.
func ExpectBoundedHead(call func(context.Context, netip.AddrPort) error) {
	ginkgo.GinkgoHelper()
	expectBounded(call, maxHeadAllocated, slices.Concat(Heads, Frames))
}

func expectBounded(call func(context.Context, netip.AddrPort) error, maxAllocated uint64, responses []Response) {
	ginkgo.GinkgoHelper()
	const timeout = 20 * time.Second // of a call that is not bounded
	for _, response := range responses {
		ginkgo.By(response.Name)
		s := Serve(response)
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		before := allocated()
		err := call(ctx, s.Addr)
		gomega.Expect(allocated()-before).To(gomega.BeNumerically("<", maxAllocated), response.Name)
		gomega.Expect(err).To(gomega.HaveOccurred(), response.Name)
		gomega.Expect(errorx.IsOfType(err, failure.Timeout)).To(gomega.BeFalse(), "%s: %v", response.Name, err)
		gomega.Expect(ctx.Err()).NotTo(gomega.HaveOccurred(), response.Name)
		gomega.Eventually(s.Closed, timeout).Should(gomega.Receive())
		cancel()
	}
}

// allocated returns the bytes that were allocated so far, released ones included.
func allocated() uint64 {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.TotalAlloc
}

func (s *Server) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(c)
	}
}

func (s *Server) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	request := make([]byte, 64<<10)
	if _, err := c.Read(request); err != nil {
		return // a connection without a request
	}
	index := s.Requests.Add(1) - 1
	response := s.responses[index%int64(len(s.responses))]
	_, err := c.Write([]byte(response.Begin))
	if response.Repeat != "" && err == nil {
		err = writeRepeated(c, response.Repeat)
	}
	for err == nil {
		_, err = c.Read(request)
	}
	s.Closed <- struct{}{}
}

// writeRepeated writes sentBytes that repeat a text.
func writeRepeated(c net.Conn, text string) error {
	const pieceBytes = 16 << 10
	piece := []byte(strings.Repeat(text, max(1, pieceBytes/len(text))))
	for sent := 0; sent < sentBytes; sent += len(piece) {
		if _, err := c.Write(piece); err != nil {
			return err
		}
	}
	return nil
}
