package peer

import "time"

// Crash ends the endpoint like a process crash: its peers receive no close
// frame, since no datagram can be written any more.
func (e *Endpoint) Crash() {
	_ = e.socket.SetWriteDeadline(time.Unix(1, 0))
	_ = e.Close()
}

// Sweep checks the connections as if the time were now.
func (e *Endpoint) Sweep(now time.Time) { e.sweepOnce(now) }

// CloseDelay is how long a connection stays open after its last stream.
const CloseDelay = closeDelay

// SetFreeHandshakes leaves room for the given number of pending handshakes.
func (e *Endpoint) SetFreeHandshakes(free int) {
	e.handshakes.mu.Lock()
	defer e.handshakes.mu.Unlock()
	e.handshakes.pending = maxHandshakes - free
}

// DropConnections closes the dialled connections.
func (e *Endpoint) DropConnections() {
	for _, c := range e.liveConnections() {
		_ = c.quic.CloseWithError(connUnused, "")
	}
}

// MarkClosed performs the first step of Close.
func (e *Endpoint) MarkClosed() { e.markClosed() }
