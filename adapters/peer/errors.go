package peer

import (
	"context"
	"errors"
	"net"

	"github.com/joomcode/errorx"
	"github.com/quic-go/quic-go"

	"chivespindle.example/core/failure"
)

// Failures of this package, beside failure.Unavailable, Timeout, Refused and
// Corrupt.
var (
	// AddressInUse: another process holds the UDP address.
	AddressInUse = failure.Invalid.NewSubtype("address_in_use")
	// WrongPeer: another instance than the wanted one answers at the address.
	WrongPeer = failure.Unavailable.NewSubtype("wrong_peer")
	// ConnectionLost: the connection ended while the exchange ran.
	ConnectionLost = failure.Unavailable.NewSubtype("connection_lost")
	// Aborted: this side or the other gave the exchange up.
	Aborted = failure.Unavailable.NewSubtype("stream_aborted")
	// TooLarge: a frame is over its bound.
	TooLarge = failure.Namespace.NewType("frame_too_large")
	// Closed: the endpoint was closed.
	Closed = failure.Unavailable.NewSubtype("endpoint_closed")
)

// Codes on streams, part of the wire format.
const (
	streamFinished quic.StreamErrorCode = 0 // the reader needs no more
	streamAborted  quic.StreamErrorCode = 1 // the exchange was given up
	streamRefused  quic.StreamErrorCode = 2 // the role may not open this kind; no handler saw it
	streamCorrupt  quic.StreamErrorCode = 3 // the frames cannot be read
	streamRetired  quic.StreamErrorCode = 4 // the connection takes no new streams; no handler saw it
)

// Codes on connections, part of the wire format.
const (
	connClosing quic.ApplicationErrorCode = 0 // the process ends
	connUnused  quic.ApplicationErrorCode = 1 // no stream for a while
	connRefused quic.ApplicationErrorCode = 2 // the certificate is not accepted any more
)

// notOpened makes the failure of Open: nothing of the request was sent.
func notOpened(err *errorx.Error) error {
	return failure.WithOutcome(err, failure.NotRun)
}

// streamFailure turns an error of quic-go into a failure of the system.
//
// Outcomes are Unknown but for the cases in which the other side itself says
// that no handler saw the stream: it refused the kind, it takes no new streams
// on the connection, or it refused the connection during the handshake. TLS 1.3
// lets a client send before the server has judged its certificate, so the last
// reaches the client here.
func streamFailure(err error, doing string) error {
	if known := errorx.Cast(err); known != nil {
		return known
	}
	if streamErr, ok := errors.AsType[*quic.StreamError](err); ok {
		if streamErr.Remote && streamErr.ErrorCode == streamRefused {
			return notOpened(failure.Refused.Wrap(err, "%s: the peer refused the stream", doing))
		}
		if isRetired(streamErr) {
			return notOpened(ConnectionLost.Wrap(err, "%s: the peer takes no new streams on this connection", doing))
		}
		return Aborted.Wrap(err, "%s", doing)
	}
	if transportErr, ok := errors.AsType[*quic.TransportError](err); ok && refusedHandshake(transportErr) {
		return notOpened(ConnectionLost.Wrap(err, "%s: the peer refused the connection", doing))
	}
	if isStreamDeadline(err) {
		return failure.Timeout.Wrap(err, "%s: no progress in time", doing)
	}
	return ConnectionLost.Wrap(err, "%s", doing)
}

// isFinished tells a peer that reads no more from one that gave up.
func isFinished(err error) bool {
	streamErr, ok := errors.AsType[*quic.StreamError](err)
	return ok && streamErr.Remote && streamErr.ErrorCode == streamFinished
}

func isRetired(err *quic.StreamError) bool {
	return err.Remote && err.ErrorCode == streamRetired
}

func refusedHandshake(err *quic.TransportError) bool {
	return err.Remote && (err.ErrorCode.IsCryptoError() || err.ErrorCode == quic.ConnectionRefused)
}

// isStreamDeadline tells the deadline of one stream from the timeouts of a
// connection, which satisfy net.Error, too.
func isStreamDeadline(err error) bool {
	if _, ok := errors.AsType[*quic.IdleTimeoutError](err); ok {
		return false
	}
	if _, ok := errors.AsType[*quic.HandshakeTimeoutError](err); ok {
		return false
	}
	netErr, ok := errors.AsType[net.Error](err)
	return ok && netErr.Timeout() && !errors.Is(err, context.DeadlineExceeded)
}
