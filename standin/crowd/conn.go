package crowd

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"
)

// writeSize is the largest piece that is written at once, so that progress is noticed.
const writeSize = 16 << 10

// Conn is a client's connection. Only Speak may use it.
type Conn struct {
	net.Conn
	// Number is the number of the client, from 0.
	Number int

	ctx    context.Context
	client *client
	tcp    *net.TCPConn
	in     *bufio.Reader
}

// Write implements io.Writer.
func (c *Conn) Write(p []byte) (int, error) {
	written := 0
	for {
		n, err := c.Conn.Write(p[written:min(len(p), written+writeSize)])
		written += n
		c.client.crowd.counters.written.Add(int64(n))
		c.client.progressed()
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// Send writes a text.
func (c *Conn) Send(text string) error {
	_, err := c.Write([]byte(text))
	return err
}

// Repeat writes a text again and again, size bytes in all.
func (c *Conn) Repeat(text string, size int) error {
	piece := make([]byte, 0, writeSize+len(text))
	for len(piece) < writeSize {
		piece = append(piece, text...)
	}
	for size > 0 {
		n, err := c.Write(piece[:min(len(piece), size)])
		if err != nil {
			return err
		}
		size -= n
	}
	return nil
}

// Trickle writes a text again and again, one byte per interval, and discards what it receives,
// until the connection or the crowd ends. The client counts as settled meanwhile.
func (c *Conn) Trickle(text string, interval time.Duration) error {
	c.Hold()
	for i := 0; ; i++ {
		if _, err := c.Write([]byte{text[i%len(text)]}); err != nil {
			return err
		}
		if err := c.SetReadDeadline(time.Now().Add(interval)); err != nil {
			return err
		}
		if _, err := io.Copy(io.Discard, c.Conn); !errors.Is(err, os.ErrDeadlineExceeded) {
			return io.EOF
		}
	}
}

// Exchange writes a request and reads the response completely. It returns the status.
func (c *Conn) Exchange(request string) (int, error) {
	if err := c.Send(request); err != nil {
		return 0, err
	}
	if c.in == nil {
		c.in = bufio.NewReader(c.Conn)
	}
	response, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	c.client.progressed()
	return response.StatusCode, err
}

// Hold marks the client as settled although Speak has not returned.
func (c *Conn) Hold() { c.client.enter(holding) }

// awaitEnd returns when the connection has ended.
func (c *Conn) awaitEnd() {
	if !c.client.crowd.ReadsNothing {
		_, _ = io.Copy(io.Discard, c.Conn) // until its end
		return
	}
	ticker := time.NewTicker(stateInterval)
	defer ticker.Stop()
	for c.isEstablished() {
		select {
		case <-c.ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// tcpEstablished is the state of an open connection in the first byte of Linux's TCP_INFO.
const tcpEstablished = 1

// isEstablished reports whether neither side has closed the connection. Unlike a read, it
// leaves the received bytes where they are.
func (c *Conn) isEstablished() bool {
	raw, err := c.tcp.SyscallConn()
	if err != nil {
		return false
	}
	established := false
	err = raw.Control(func(fd uintptr) {
		info, err := syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_INFO)
		established = err == nil && info&0xff == tcpEstablished
	})
	return err == nil && established
}

func setReceiveBuffer(size int) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var failed error
		err := c.Control(func(fd uintptr) {
			failed = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, size)
		})
		if err != nil {
			return err
		}
		return failed
	}
}
