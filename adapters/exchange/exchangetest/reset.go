package exchangetest

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

// Reset is how a server that responds before it has read a request resets the connection.
type Reset struct {
	Name      string
	ReadBytes int           // of the request, before the response
	EndsFirst bool          // the server ends its side of the connection after the response
	Delay     time.Duration // until the reset
}

// Resets are resets at different moments of a request that is being sent.
var Resets = []Reset{
	{Name: "reset at once", ReadBytes: 1 << 10},
	{Name: "reset after a while", ReadBytes: 1 << 10, Delay: 20 * time.Millisecond},
	{Name: "reset after a part of the request", ReadBytes: 50 << 10, Delay: 20 * time.Millisecond},
	{Name: "ended and reset at once", ReadBytes: 1 << 10, EndsFirst: true},
	{Name: "ended and reset after a while", ReadBytes: 1 << 10, EndsFirst: true, Delay: 20 * time.Millisecond},
	{Name: "ended and reset later", ReadBytes: 50 << 10, EndsFirst: true, Delay: 100 * time.Millisecond},
}

// UploadBytes are lengths of requests that exceed the receive buffer of an EarlyServer. The
// first ones fit into the send buffer of a connection, so that writing them succeeds.
var UploadBytes = []int{200 << 10, 3 << 20, 8 << 20}

// receiveBufferBytes is the receive buffer of an EarlyServer.
const receiveBufferBytes = 32 << 10

// EarlyServer responds to each request before it has read it.
type EarlyServer struct {
	Addr     netip.AddrPort
	Requests atomic.Int64
	behavior atomic.Pointer[earlyBehavior]
}

// earlyBehavior is what an EarlyServer does with a request.
type earlyBehavior struct {
	readBytes int // after the first one and before respond
	respond   func(*net.TCPConn)
}

// ServeReset starts a server like that of SetReset, until the end of the test.
func ServeReset(response string, reset Reset) *EarlyServer {
	ginkgo.GinkgoHelper()
	s := &EarlyServer{}
	s.SetReset(response, reset)
	s.start()
	return s
}

// SetReset lets the server send a response and reset the connection.
func (s *EarlyServer) SetReset(response string, reset Reset) {
	s.behavior.Store(&earlyBehavior{readBytes: reset.ReadBytes, respond: func(c *net.TCPConn) {
		_, _ = io.WriteString(c, response)
		if reset.EndsFirst {
			_ = c.CloseWrite()
		}
		time.Sleep(reset.Delay)
		_ = c.SetLinger(0)
	}})
}

// ServeThenReset starts a server that answers the first request on each connection, which has no
// body, with Sound, and the second one like a server of ServeReset, until the end of the test.
func ServeThenReset(response string, reset Reset) *EarlyServer {
	ginkgo.GinkgoHelper()
	s := ServeReset(response, reset)
	second := s.behavior.Load().respond
	s.behavior.Store(&earlyBehavior{respond: func(c *net.TCPConn) {
		if _, err := c.Read(make([]byte, 4<<10)); err != nil {
			return
		}
		_, _ = io.WriteString(c, Sound("", "hi").Begin)
		if _, err := io.CopyN(io.Discard, c, int64(reset.ReadBytes)); err == nil {
			s.Requests.Add(1)
			second(c)
		}
	}})
	return s
}

// ServeBeforeReading starts a server that sends a response, ends its side of the connection and
// then reads the request to its end, until the end of the test.
func ServeBeforeReading(response string) *EarlyServer {
	ginkgo.GinkgoHelper()
	s := &EarlyServer{}
	s.behavior.Store(&earlyBehavior{respond: func(c *net.TCPConn) {
		_, _ = io.WriteString(c, response)
		_ = c.CloseWrite()
		_, _ = io.Copy(io.Discard, c)
	}})
	s.start()
	return s
}

func (s *EarlyServer) start() {
	ginkgo.GinkgoHelper()
	config := net.ListenConfig{Control: setReceiveBuffer}
	listener, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(listener.Close)
	s.Addr = netip.MustParseAddrPort(listener.Addr().String())
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
}

func (s *EarlyServer) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	if _, err := io.CopyN(io.Discard, c, 1); err != nil {
		return // a connection without a request
	}
	s.Requests.Add(1)
	b := s.behavior.Load()
	if _, err := io.CopyN(io.Discard, c, int64(b.readBytes)); err == nil {
		b.respond(c.(*net.TCPConn))
	}
}

// setReceiveBuffer bounds the receive buffer of the connections that a listener accepts.
func setReceiveBuffer(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBufferBytes)
	})
	return errors.Join(err, optionErr)
}
