package peer

import (
	"context"
	"sync"
	"time"

	"chivespindle.example/core/failure"
)

const (
	// freeMessageBytes is the memory of messages that each connection may have without a
	// share of messageMemory. Most heartbeats and requests fit in, so that peers that use up
	// the rest cannot stop them.
	freeMessageBytes = 32 << 10
	// messageWait is how long a message waits for a share of messageMemory.
	messageWait = time.Second
)

// messageMemory bounds the memory of the messages of all peers: of those that are being
// received, and of those that the receivers have not handled yet. A message counts as
// handled when its stream receives again or ends.
type messageMemory struct {
	limit int64

	mu    sync.Mutex
	used  int64
	freed chan struct{} // closed and replaced when used falls
}

func newMessageMemory(limit int64) *messageMemory {
	return &messageMemory{limit: limit, freed: make(chan struct{})}
}

// add changes the used bytes. If the limit does not allow it, it returns a channel that is
// closed when bytes are released.
func (m *messageMemory) add(n int64) (ok bool, freed <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if n > 0 && m.used+n > m.limit {
		return false, m.freed
	}
	m.used += n
	if n < 0 {
		close(m.freed)
		m.freed = make(chan struct{})
	}
	return true, nil
}

// charged returns the part of the bytes of a connection that counts against messageMemory.
func charged(bytes int64) int64 { return max(0, bytes-freeMessageBytes) }

// holdMessage changes the bytes of messages that the connection holds. If messageMemory does
// not allow it, it returns a channel that is closed when bytes are released; nil if the
// connection itself holds too much.
func (c *connection) holdMessage(n int64) (ok bool, freed <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	after := charged(c.messageBytes + n)
	if n > 0 && after > c.messages.limit/2 {
		return false, nil
	}
	if ok, freed := c.messages.add(after - charged(c.messageBytes)); !ok {
		return false, freed
	}
	c.messageBytes += n
	return true, nil
}

// holdMessage adds bytes of the message that is being received. It waits for at most
// messageWait and fails with failure.RateLimited then.
func (s *Stream) holdMessage(bytes int) error {
	var timeout <-chan time.Time
	for {
		ok, freed := s.tryHoldMessage(int64(bytes))
		if ok {
			return nil
		}
		if timeout == nil {
			timer := time.NewTimer(messageWait)
			defer timer.Stop()
			timeout = timer.C
		}
		if freed == nil {
			return s.refuseMessage()
		}
		select {
		case <-freed:
		case <-s.ctx.Done():
			return context.Cause(s.ctx)
		case <-timeout:
			return s.refuseMessage()
		}
	}
}

func (s *Stream) refuseMessage() error {
	s.onMessageRefused()
	return failure.RateLimited.New("messages that are being received take too much memory")
}

func (s *Stream) tryHoldMessage(n int64) (ok bool, freed <-chan struct{}) {
	s.endMu.Lock()
	defer s.endMu.Unlock()
	if s.ended {
		return true, nil // the next read fails
	}
	ok, freed = s.conn.holdMessage(n)
	if ok {
		s.messageBytes += n
	}
	return ok, freed
}

// releaseMessage releases what the last message holds. The caller holds endMu.
func (s *Stream) releaseMessage() {
	if s.messageBytes == 0 {
		return
	}
	_, _ = s.conn.holdMessage(-s.messageBytes) // always allowed
	s.messageBytes = 0
}
