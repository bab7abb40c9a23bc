package peer

import (
	"bytes"
	"context"
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"
	"go.uber.org/zap"

	"chivespindle.example/adapters/keys"
)

// Stream is one exchange with a peer. Both sides may send any number of frames.
// One goroutine may send while another receives.
//
// Each stream has to be ended: by Close, by Abort, by CloseSend together with a
// Recv that returned io.EOF, or by the end of the context given to Open. A
// stream that a Handler serves is closed when the handler returns.
type Stream struct {
	raw        *quic.Stream
	conn       *connection
	kind       Kind
	maxMessage int
	traffic    *kindMetrics

	ctx    context.Context
	cancel context.CancelCauseFunc

	stallTimeout atomic.Int64 // in nanoseconds, 0 for none

	sendMu     sync.Mutex
	kindSent   bool
	sendClosed bool  // CloseSend was called
	sendErr    error // returned by all later sends

	recvMu  sync.Mutex
	recvErr error // returned by all later receives

	onMessageRefused func() // by messageMemory

	endMu        sync.Mutex
	sendDone     bool
	recvDone     bool
	ended        bool
	stopHooks    []func() bool
	messageBytes int64 // held of messageMemory
}

// newStream wraps a QUIC stream. The stream is aborted when parent ends.
func (e *Endpoint) newStream(parent context.Context, raw *quic.Stream, c *connection, kind Kind) *Stream {
	s := &Stream{raw: raw, conn: c, kind: kind, maxMessage: e.opts.MaxMessage, traffic: e.metrics.kinds[kind]}
	s.onMessageRefused = func() {
		e.metrics.refused(refusedMessageMemory, zap.Stringer("peer", c.peer), zap.Stringer("from", c.addr), zap.Stringer("kind", kind))
	}
	s.ctx, s.cancel = context.WithCancelCause(parent)
	raw.SetPriority(urgencies[kind], true)
	s.endMu.Lock()
	defer s.endMu.Unlock()
	s.stopHooks = []func() bool{
		context.AfterFunc(parent, s.Abort),
		context.AfterFunc(raw.Context(), s.sendSideEnded),
		context.AfterFunc(c.quic.Context(), s.connectionEnded),
	}
	return s
}

// sendSideEnded is called when the send side is closed by either side. It
// cancels the context unless this side finished sending or the peer needs no
// more data: the peer's last frames may still be in flight then.
func (s *Stream) sendSideEnded() {
	cause := context.Cause(s.raw.Context())
	if errors.Is(cause, quic.ErrStreamClosed) {
		return
	}
	if isFinished(cause) {
		s.finishDirection(&s.sendDone)
		return
	}
	s.cancel(streamFailure(cause, "exchange"))
}

func (s *Stream) connectionEnded() {
	s.cancel(streamFailure(context.Cause(s.conn.quic.Context()), "exchange"))
}

// Peer returns the identity of the peer, from its certificate.
func (s *Stream) Peer() keys.Identity { return s.conn.peer }

// Context returns a context that ends when the stream or its connection does.
func (s *Stream) Context() context.Context { return s.ctx }

// SetStallTimeout sets the stall timeout: each later Send or Recv must finish
// within d, or fails with failure.Timeout. A stalled link does not close the
// connection, so without a stall timeout a Recv may last until the connection's
// idle timeout. 0 disables it. A call that is already waiting keeps its
// deadline.
func (s *Stream) SetStallTimeout(d time.Duration) { s.stallTimeout.Store(int64(d)) }

// Send sends one CBOR message. It returns when the transport has buffered the
// bytes, not when they have arrived. A failure makes the stream unusable for
// sending, unless the message cannot be encoded or is TooLarge, in which case
// nothing was sent. Send fails with Aborted when the peer needs no more data; a
// response that the peer sent before can still be received.
func (s *Stream) Send(v any) error {
	buf := bufferPool.Get().(*bytes.Buffer)
	defer putBuffer(buf)
	s.sendMu.Lock()
	defer s.sendMu.Unlock()
	if !s.kindSent {
		buf.WriteByte(byte(s.kind))
	}
	if err := appendMessage(buf, v, s.maxMessage); err != nil {
		return err
	}
	return s.write(buf.Bytes())
}

// SendBytes sends one raw frame of at most MaxRawFrame bytes. It does not
// retain p.
func (s *Stream) SendBytes(p []byte) error {
	if len(p) > MaxRawFrame {
		return TooLarge.New("raw frame of %d bytes, the limit is %d", len(p), MaxRawFrame)
	}
	s.sendMu.Lock()
	defer s.sendMu.Unlock()
	prefix := make([]byte, 0, 1+headerBytes)
	if !s.kindSent {
		prefix = append(prefix, byte(s.kind))
	}
	head := frameHeader(frameRaw, len(p))
	prefix = append(prefix, head[:]...)
	return s.write(prefix, p)
}

// write sends the parts under one deadline. The caller holds sendMu. After a
// failure the peer may have received part of a frame, so nothing more may be
// sent.
func (s *Stream) write(parts ...[]byte) error {
	if s.sendErr != nil {
		return s.sendErr
	}
	s.setWriteDeadline()
	for _, part := range parts {
		n, err := s.raw.Write(part)
		s.traffic.sent.Inc(int64(n))
		if err != nil {
			s.sendErr = s.recordFailure(err, "send")
			return s.sendErr
		}
	}
	s.kindSent = true
	return nil
}

// Recv receives one CBOR message into v. It returns io.EOF when the peer
// finished sending. After a timeout between two frames Recv may be called
// again; after any other failure the stream is unusable for receiving.
func (s *Stream) Recv(v any) error {
	buf := bufferPool.Get().(*bytes.Buffer)
	defer putBuffer(buf)
	s.recvMu.Lock()
	defer s.recvMu.Unlock()
	return s.read(func(r io.Reader) error {
		_, err := readMessage(r, buf, v, s.maxMessage, s.holdMessage)
		return err
	})
}

// RecvBytes receives one raw frame into buf, or into a new slice if buf is too
// small, and returns the bytes. It returns io.EOF as Recv does.
func (s *Stream) RecvBytes(buf []byte) ([]byte, error) {
	s.recvMu.Lock()
	defer s.recvMu.Unlock()
	var out []byte
	err := s.read(func(r io.Reader) (err error) {
		out, err = readRaw(r, buf)
		return err
	})
	return out, err
}

// read reads one frame with the given function. The caller holds recvMu.
func (s *Stream) read(frame func(io.Reader) error) error {
	if s.recvErr != nil {
		return s.recvErr
	}
	if err := s.sendKind(); err != nil {
		return err
	}
	s.endMu.Lock()
	s.releaseMessage()
	s.endMu.Unlock()
	s.setReadDeadline()
	counted := &countingReader{r: s.raw}
	err := frame(counted)
	s.traffic.received.Inc(counted.n)
	if err == nil {
		return nil
	}
	if errors.Is(err, io.EOF) && counted.n == 0 {
		s.recvErr = io.EOF
		s.finishDirection(&s.recvDone)
		return io.EOF
	}
	if errors.Is(err, io.ErrUnexpectedEOF) {
		err = truncated(err)
	}
	failed := s.recordFailure(err, "receive")
	if counted.n > 0 || !isStreamDeadline(err) {
		s.recvErr = failed
		s.raw.CancelRead(streamCorrupt)
	}
	return failed
}

// sendKind sends the kind if no frame has done so, since the peer learns of a
// stream by its first byte. A concurrent Send sends the kind itself, so
// sendKind does not wait for the lock.
func (s *Stream) sendKind() error {
	if !s.sendMu.TryLock() {
		return nil
	}
	defer s.sendMu.Unlock()
	if s.kindSent {
		return nil
	}
	return s.write([]byte{byte(s.kind)})
}

// CloseSend marks the end of this side's frames; the peer's Recv returns io.EOF
// after the last one.
func (s *Stream) CloseSend() error {
	if err := s.sendKind(); err != nil {
		return err
	}
	s.sendMu.Lock()
	defer s.sendMu.Unlock()
	if s.sendClosed {
		return nil
	}
	if s.sendErr != nil {
		return s.sendErr
	}
	if s.raw.Close() != nil {
		// quic-go's error does not contain the reason; the cause of the
		// stream's context does.
		cause := context.Cause(s.raw.Context())
		if !isFinished(cause) {
			s.sendErr = s.recordFailure(cause, "finish sending")
			return s.sendErr
		}
	}
	s.sendClosed = true
	s.sendErr = Aborted.New("send: the stream was finished")
	s.finishDirection(&s.sendDone)
	return nil
}

// Close ends the exchange on this side: data already sent is still delivered,
// data still arriving is discarded. It also ends a one-way message.
func (s *Stream) Close() {
	if !s.end(Aborted.New("the stream was closed")) {
		return
	}
	s.raw.CancelRead(streamFinished)
	if !s.sendMu.TryLock() {
		s.raw.CancelWrite(streamAborted) // a concurrent Send: its frame is lost
		return
	}
	defer s.sendMu.Unlock()
	_ = s.raw.Close() // fails only if a send failed before
}

// Abort ends both directions at once. Data that was not delivered yet is
// discarded on both sides, so that the late response of a cancelled exchange
// reaches nobody. Abort does nothing on a stream that has ended.
func (s *Stream) Abort() { s.abort(streamAborted) }

func (s *Stream) abort(code quic.StreamErrorCode) {
	if !s.end(Aborted.New("the stream was aborted")) {
		return
	}
	s.raw.CancelRead(code)
	s.raw.CancelWrite(code)
}

// finishDirection records that one direction finished properly, and ends the
// stream if both have.
func (s *Stream) finishDirection(done *bool) {
	s.endMu.Lock()
	*done = true
	both := s.sendDone && s.recvDone
	s.endMu.Unlock()
	if both {
		s.end(Aborted.New("the stream has ended"))
	}
}

// end releases the stream's resources. It reports whether this was the first
// call.
func (s *Stream) end(cause error) bool {
	s.endMu.Lock()
	if s.ended {
		s.endMu.Unlock()
		return false
	}
	s.ended = true
	s.releaseMessage()
	stops := s.stopHooks
	s.endMu.Unlock()
	for _, stop := range stops {
		stop()
	}
	s.cancel(cause)
	s.conn.release()
	return true
}

// recordFailure converts err into a failure. A timeout marks the connection as
// suspect, and a stream error may report that the connection takes no more
// streams.
func (s *Stream) recordFailure(err error, operation string) error {
	if isStreamDeadline(err) {
		s.conn.markSuspect()
	}
	if streamErr, ok := errors.AsType[*quic.StreamError](err); ok && isRetired(streamErr) {
		s.conn.retire()
	}
	return streamFailure(err, operation)
}

func (s *Stream) setReadDeadline()  { _ = s.raw.SetReadDeadline(s.deadline()) }  // never fails
func (s *Stream) setWriteDeadline() { _ = s.raw.SetWriteDeadline(s.deadline()) } // never fails

func (s *Stream) deadline() time.Time {
	d := time.Duration(s.stallTimeout.Load())
	if d <= 0 {
		return time.Time{}
	}
	return time.Now().Add(d)
}

// countingReader counts the bytes read, to distinguish the end of a stream
// between two frames from an end inside one.
type countingReader struct {
	r io.Reader
	n int64
}

func (c *countingReader) Read(p []byte) (int, error) {
	n, err := c.r.Read(p)
	c.n += int64(n)
	return n, err
}

// maxPooledBufferBytes keeps rare large messages out of the pool, where each
// would occupy up to a megabyte indefinitely.
const maxPooledBufferBytes = 64 << 10

var bufferPool = sync.Pool{New: func() any { return new(bytes.Buffer) }}

func putBuffer(buf *bytes.Buffer) {
	if buf.Cap() > maxPooledBufferBytes {
		return
	}
	buf.Reset()
	bufferPool.Put(buf)
}
