package exchange

import (
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"chivespindle.example/core/failure"
)

// Truncated is the type of the error of a response that would end with its connection, if that
// did not end in order or ended before the server had received the request.
var Truncated = failure.Unavailable.NewSubtype("response_truncated")

const (
	// deliveryTimeout bounds the wait until a server has received the rest of a request after
	// the end of its response.
	deliveryTimeout = writeTimeout
	// deliveryPollInterval is the time between two checks of that.
	deliveryPollInterval = 5 * time.Millisecond
)

// How far a request has been written to its connection.
const (
	requestSending int32 = iota
	requestSent
	requestFailed
)

// connEnd decides whether the end of a connection is that of a complete response.
//
// io.EOF does not show that. The kernel reports a reset to one call only: if that is a write,
// the next read returns io.EOF. A read does so too if the reset follows the end of the server's
// side.
type connEnd struct {
	socket net.Conn // the TCP connection
	// endsBody is true while a body is read that ends with the connection.
	endsBody atomic.Bool
	// request is requestSending, requestSent or requestFailed.
	request atomic.Int32
}

// expectResponse begins the exchange of a request that is about to be sent.
func (e *connEnd) expectResponse() {
	e.endsBody.Store(false)
	e.request.Store(requestSending)
}

// recordSend records the end of sending the request, or an error of it.
func (e *connEnd) recordSend(err error) {
	if err != nil {
		e.request.Store(requestFailed)
		return
	}
	e.request.CompareAndSwap(requestSending, requestSent)
}

// expectBody records that the head of a response was read, and its body follows.
func (e *connEnd) expectBody(response *http.Response) {
	e.endsBody.Store(!EndIsFramed(response))
}

// check returns the error of a read, Truncated instead of a reset or an io.EOF that does not end a
// complete response. It waits until the server has received the request, for deliveryTimeout at most and
// not beyond deadline; the zero deadline is none.
func (e *connEnd) check(err error, deadline time.Time) error {
	switch {
	case !e.endsBody.Load():
		return err
	case errors.Is(err, syscall.ECONNRESET):
		return Truncated.Wrap(err, "the connection was reset")
	case err != io.EOF:
		return err
	}
	until := time.Now().Add(deliveryTimeout)
	if !deadline.IsZero() && deadline.Before(until) {
		until = deadline
	}
	for {
		isReceived, err := e.isRequestReceived()
		switch {
		case err != nil:
			return err
		case isReceived:
			return io.EOF
		case !time.Now().Before(until):
			return Truncated.New("the response ended before its request was received")
		}
		time.Sleep(deliveryPollInterval)
	}
}

// isRequestReceived reports whether the server's kernel has acknowledged the entire request. It
// fails if that will not happen, or the connection was reset.
func (e *connEnd) isRequestReceived() (bool, error) {
	request := e.request.Load() // first, since what is written later is not yet in the state below
	if request == requestFailed {
		return false, Truncated.New("the response ended while its request could not be sent")
	}
	state, err := readTCPState(e.socket)
	if err != nil {
		return false, Truncated.Wrap(err, "check the end of the response")
	}
	if state.isClosed {
		return false, Truncated.New("the connection was reset")
	}
	return request == requestSent && !state.isUnacknowledged, nil
}

// tcpState is the state of a TCP connection whose peer has ended its side.
type tcpState struct {
	// isClosed is true if the connection was reset or given up.
	isClosed bool
	// isUnacknowledged is true if the peer has not acknowledged all bytes that were written.
	isUnacknowledged bool
}

// tcpClose is TCP_CLOSE, which package unix does not define.
const tcpClose = 7

// readTCPState returns the state of a connection, the zero value if the system does not tell it, so
// that only what is known to be truncated is rejected. It fails if this process has closed the
// connection.
func readTCPState(c net.Conn) (tcpState, error) {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return tcpState{}, nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return tcpState{}, err
	}
	var info *unix.TCPInfo
	var infoErr error
	if err := raw.Control(func(fd uintptr) {
		info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	}); err != nil {
		return tcpState{}, err
	}
	if infoErr != nil {
		return tcpState{}, nil
	}
	return tcpState{
		isClosed:         info.State == tcpClose,
		isUnacknowledged: info.Unacked > 0 || info.Notsent_bytes > 0,
	}, nil
}
