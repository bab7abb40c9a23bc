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

	"chivespindle.example/adapters/keys"
)

// Stream is one exchange with a peer. Both sides may send any number of
// frames. One goroutine may send while another receives.
//
// Each stream has to be ended: by Close, by Abort, by CloseSend and a Recv
// that returned io.EOF, or by the end of the context given to Open. A stream
// that a Handler serves is closed when the handler returns.
type Stream struct {
	raw     *quic.Stream
	link    *link
	kind    Kind
	limit   int
	traffic *kindMetrics

	ctx    context.Context
	cancel context.CancelCauseFunc

	stall atomic.Int64 // nanoseconds, 0 for none

	sendMu   sync.Mutex
	kindSent bool
	finished bool  // by CloseSend
	sendErr  error // of all later sends

	recvMu  sync.Mutex
	recvErr error // of all later receives

	endMu    sync.Mutex
	sendDone bool
	recvDone bool
	ended    bool
	stops    []func() bool
}

// newStream wraps a QUIC stream. The stream lives at most as long as parent.
func newStream(parent context.Context, raw *quic.Stream, l *link, kind Kind, limit int, traffic *kindMetrics) *Stream {
	s := &Stream{raw: raw, link: l, kind: kind, limit: limit, traffic: traffic}
	s.ctx, s.cancel = context.WithCancelCause(parent)
	raw.SetPriority(urgencies[kind], true)
	s.endMu.Lock()
	defer s.endMu.Unlock()
	s.stops = []func() bool{
		context.AfterFunc(parent, s.Abort),
		context.AfterFunc(raw.Context(), s.sendSideEnded),
		context.AfterFunc(l.conn.Context(), s.connectionEnded),
	}
	return s
}

// sendSideEnded runs when the send side is closed by either side. It ends the
// context unless we finished sending ourselves or the peer finished reading:
// then the peer's last frames may still be on their way.
func (s *Stream) sendSideEnded() {
	cause := context.Cause(s.raw.Context())
	if errors.Is(cause, quic.ErrStreamClosed) {
		return
	}
	if isFinished(cause) {
		s.half(&s.sendDone)
		return
	}
	s.cancel(streamFailure(cause, "exchange"))
}

func (s *Stream) connectionEnded() {
	s.cancel(streamFailure(context.Cause(s.link.conn.Context()), "exchange"))
}

// Peer returns who is at the other end, as its certificate tells.
func (s *Stream) Peer() keys.Identity { return s.link.peer }

// Context ends when the stream or its connection does.
func (s *Stream) Context() context.Context { return s.ctx }

// SetStall sets the progress deadline: each later Send or Recv must finish
// within d, or fails with failure.Timeout. A stalled link does not close, so
// without it a Recv may last until the connection's idle timeout. 0 means no
// deadline. A call that already waits keeps its deadline.
func (s *Stream) SetStall(d time.Duration) { s.stall.Store(int64(d)) }

// Send sends one CBOR message. It returns when the transport has taken the
// bytes, not when they have arrived. A failure leaves the stream unusable for
// sending, but for a message that cannot be encoded or is TooLarge, of which
// nothing was sent. It fails with Aborted when the peer reads no more; an answer
// that the peer gave before can still be received.
func (s *Stream) Send(v any) error {
	buf := buffers.Get().(*bytes.Buffer)
	defer putBuffer(buf)
	s.sendMu.Lock()
	defer s.sendMu.Unlock()
	if !s.kindSent {
		buf.WriteByte(byte(s.kind))
	}
	if err := appendMessage(buf, v, s.limit); err != nil {
		return err
	}
	return s.write(buf.Bytes())
}

// SendBytes sends one raw frame of at most MaxRawFrame bytes. It keeps no
// reference to p after it returns.
func (s *Stream) SendBytes(p []byte) error {
	if len(p) > MaxRawFrame {
		return TooLarge.New("raw frame of %d bytes, the limit is %d", len(p), MaxRawFrame)
	}
	s.sendMu.Lock()
	defer s.sendMu.Unlock()
	prefix := make([]byte, 0, 1+headerSize)
	if !s.kindSent {
		prefix = append(prefix, byte(s.kind))
	}
	head := header(frameRaw, len(p))
	prefix = append(prefix, head[:]...)
	return s.write(prefix, p)
}

// write sends the parts under one deadline. The caller holds sendMu. After a
// failure the peer may have got part of a frame, so nothing may follow it.
func (s *Stream) write(parts ...[]byte) error {
	if s.sendErr != nil {
		return s.sendErr
	}
	s.armWrite()
	for _, part := range parts {
		n, err := s.raw.Write(part)
		s.traffic.sent.Inc(int64(n))
		if err != nil {
			s.sendErr = s.failed(err, "send")
			return s.sendErr
		}
	}
	s.kindSent = true
	return nil
}

// Recv receives one CBOR message into v. It returns io.EOF when the other side
// finished sending. A Recv that timed out between two frames can be repeated;
// after any other failure the stream is unusable for receiving.
func (s *Stream) Recv(v any) error {
	buf := buffers.Get().(*bytes.Buffer)
	defer putBuffer(buf)
	s.recvMu.Lock()
	defer s.recvMu.Unlock()
	return s.read(func(r io.Reader) error {
		_, err := readMessage(r, buf, v, s.limit)
		return err
	})
}

// RecvBytes receives one raw frame into buf, or into a new slice if buf is too
// short, and returns the bytes. It returns io.EOF as Recv.
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

// read runs one reading of a frame. The caller holds recvMu.
func (s *Stream) read(frame func(io.Reader) error) error {
	if s.recvErr != nil {
		return s.recvErr
	}
	if err := s.announce(); err != nil {
		return err
	}
	s.armRead()
	counted := &countingReader{r: s.raw}
	err := frame(counted)
	s.traffic.received.Inc(counted.n)
	if err == nil {
		return nil
	}
	if errors.Is(err, io.EOF) && counted.n == 0 {
		s.recvErr = io.EOF
		s.half(&s.recvDone)
		return io.EOF
	}
	if errors.Is(err, io.ErrUnexpectedEOF) {
		err = truncated(err)
	}
	failed := s.failed(err, "receive")
	if counted.n > 0 || !isStreamDeadline(err) {
		s.recvErr = failed
		s.raw.CancelRead(streamCorrupt)
	}
	return failed
}

// announce sends the kind if no frame did, since the peer learns of a stream
// by its first byte. A sender at work sends it, so nobody waits for the lock.
func (s *Stream) announce() error {
	if !s.sendMu.TryLock() {
		return nil
	}
	defer s.sendMu.Unlock()
	if s.kindSent {
		return nil
	}
	return s.write([]byte{byte(s.kind)})
}

// CloseSend tells the peer that no more frames follow; its Recv returns
// io.EOF after the last one.
func (s *Stream) CloseSend() error {
	if err := s.announce(); err != nil {
		return err
	}
	s.sendMu.Lock()
	defer s.sendMu.Unlock()
	if s.finished {
		return nil
	}
	if s.sendErr != nil {
		return s.sendErr
	}
	if s.raw.Close() != nil {
		// quic-go's error is bare; the reason is the stream's.
		cause := context.Cause(s.raw.Context())
		if !isFinished(cause) {
			s.sendErr = s.failed(cause, "finish sending")
			return s.sendErr
		}
	}
	s.finished = true
	s.sendErr = Aborted.New("send: the stream was finished")
	s.half(&s.sendDone)
	return nil
}

// Close ends the exchange on this side: what was sent is still delivered, what
// still arrives is dropped. It is the end of a one-way message.
func (s *Stream) Close() {
	if !s.end(Aborted.New("the stream was closed")) {
		return
	}
	s.raw.CancelRead(streamFinished)
	if !s.sendMu.TryLock() {
		s.raw.CancelWrite(streamAborted) // a Send still runs: its frame is lost
		return
	}
	defer s.sendMu.Unlock()
	_ = s.raw.Close() // fails only if sending already failed
}

// Abort ends both directions at once. What was not delivered yet is dropped on
// both sides, so that the late answer of a cancelled exchange ends nowhere. It
// does nothing on a stream that has ended.
func (s *Stream) Abort() { s.abort(streamAborted) }

func (s *Stream) abort(code quic.StreamErrorCode) {
	if !s.end(Aborted.New("the stream was aborted")) {
		return
	}
	s.raw.CancelRead(code)
	s.raw.CancelWrite(code)
}

// half notes that one direction finished properly, and ends the stream if both
// have.
func (s *Stream) half(done *bool) {
	s.endMu.Lock()
	*done = true
	both := s.sendDone && s.recvDone
	s.endMu.Unlock()
	if both {
		s.end(Aborted.New("the stream has ended"))
	}
}

// end releases what the stream holds. It reports whether it is the first call.
func (s *Stream) end(cause error) bool {
	s.endMu.Lock()
	if s.ended {
		s.endMu.Unlock()
		return false
	}
	s.ended = true
	stops := s.stops
	s.endMu.Unlock()
	for _, stop := range stops {
		stop()
	}
	s.cancel(cause)
	s.link.release()
	return true
}

// failed turns err into a failure. A stall casts doubt on the connection, and
// the peer may have said that the connection takes no more streams.
func (s *Stream) failed(err error, doing string) error {
	if isStreamDeadline(err) {
		s.link.doubt()
	}
	if streamErr, ok := errors.AsType[*quic.StreamError](err); ok && isRetired(streamErr) {
		s.link.retire()
	}
	return streamFailure(err, doing)
}

func (s *Stream) armRead()  { _ = s.raw.SetReadDeadline(s.deadline()) }  // never fails
func (s *Stream) armWrite() { _ = s.raw.SetWriteDeadline(s.deadline()) } // never fails

func (s *Stream) deadline() time.Time {
	d := time.Duration(s.stall.Load())
	if d <= 0 {
		return time.Time{}
	}
	return time.Now().Add(d)
}

// countingReader counts what was read, to tell the end between two frames from
// an end inside one.
type countingReader struct {
	r io.Reader
	n int64
}

func (c *countingReader) Read(p []byte) (int, error) {
	n, err := c.r.Read(p)
	c.n += int64(n)
	return n, err
}

// maxPooledBuffer keeps rare large messages from staying in the pool, where
// each would hold a megabyte for good.
const maxPooledBuffer = 64 << 10

var buffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

func putBuffer(buf *bytes.Buffer) {
	if buf.Cap() > maxPooledBuffer {
		return
	}
	buf.Reset()
	buffers.Put(buf)
}
