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
	// AddressInUse: another process has bound the UDP address.
	AddressInUse = failure.Invalid.NewSubtype("address_in_use")
	// WrongPeer: an instance other than the requested one responds at the
	// address.
	WrongPeer = failure.Unavailable.NewSubtype("wrong_peer")
	// ConnectionLost: the connection ended during the exchange.
	ConnectionLost = failure.Unavailable.NewSubtype("connection_lost")
	// Aborted: the exchange was aborted by this side or by the peer.
	Aborted = failure.Unavailable.NewSubtype("stream_aborted")
	// TooLarge: a frame exceeds its size limit.
	TooLarge = failure.Namespace.NewType("frame_too_large")
	// Closed: the endpoint was closed.
	Closed = failure.Unavailable.NewSubtype("endpoint_closed")
)

// Stream error codes, part of the wire format.
const (
	streamFinished quic.StreamErrorCode = 0 // the reader needs no more data
	streamAborted  quic.StreamErrorCode = 1 // the exchange was aborted
	streamRefused  quic.StreamErrorCode = 2 // the role may not open this kind; no handler saw it
	streamCorrupt  quic.StreamErrorCode = 3 // the frames cannot be decoded
	streamRetired  quic.StreamErrorCode = 4 // the connection takes no new streams; no handler saw it
)

// Connection error codes, part of the wire format.
const (
	connClosing quic.ApplicationErrorCode = 0 // the process is stopping
	connUnused  quic.ApplicationErrorCode = 1 // no stream for UnusedTimeout
	connRefused quic.ApplicationErrorCode = 2 // the peer's certificate is not accepted
)

// withNotRun marks a failure before any part of the request was sent.
func withNotRun(err *errorx.Error) error {
	return failure.WithOutcome(err, failure.NotRun)
}

// streamFailure converts an error of quic-go into a failure of the system.
//
// The outcome is Unknown except where the peer itself reports that no handler
// saw the stream: it refused the kind, it accepts no new streams on the
// connection, or it refused the connection during the handshake. TLS 1.3 lets a
// client send before the server has verified its certificate, so the last case
// can reach the client after the stream was opened.
func streamFailure(err error, operation string) error {
	if known := errorx.Cast(err); known != nil {
		return known
	}
	if streamErr, ok := errors.AsType[*quic.StreamError](err); ok {
		if streamErr.Remote && streamErr.ErrorCode == streamRefused {
			return withNotRun(failure.Refused.Wrap(err, "%s: the peer refused the stream", operation))
		}
		if isRetired(streamErr) {
			return withNotRun(ConnectionLost.Wrap(err, "%s: the peer takes no new streams on this connection", operation))
		}
		return Aborted.Wrap(err, "%s", operation)
	}
	if transportErr, ok := errors.AsType[*quic.TransportError](err); ok && isHandshakeRefusal(transportErr) {
		return withNotRun(ConnectionLost.Wrap(err, "%s: the peer refused the connection", operation))
	}
	if isStreamDeadline(err) {
		return failure.Timeout.Wrap(err, "%s: no progress in time", operation)
	}
	return ConnectionLost.Wrap(err, "%s", operation)
}

// isFinished reports whether err means that the peer needs no more data, as
// opposed to an aborted exchange.
func isFinished(err error) bool {
	streamErr, ok := errors.AsType[*quic.StreamError](err)
	return ok && streamErr.Remote && streamErr.ErrorCode == streamFinished
}

func isRetired(err *quic.StreamError) bool {
	return err.Remote && err.ErrorCode == streamRetired
}

func isHandshakeRefusal(err *quic.TransportError) bool {
	return err.Remote && (err.ErrorCode.IsCryptoError() || err.ErrorCode == quic.ConnectionRefused)
}

// isStreamDeadline reports whether err is the deadline of one stream. Timeouts
// of the connection satisfy net.Error, too, and are excluded.
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
