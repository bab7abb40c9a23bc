package peer

import "time"

// Crash ends the endpoint as a crashed process does: its peers hear nothing,
// since no datagram can be written any more.
func (e *Endpoint) Crash() {
	_ = e.socket.SetWriteDeadline(time.Unix(1, 0))
	_ = e.Close()
}

// Sweep looks through the connections as if the time were now.
func (e *Endpoint) Sweep(now time.Time) { e.sweepOnce(now) }

// Linger is how long a connection outlives its last stream.
const Linger = linger

// FillGate takes all but free of the handshakes that strangers may have open.
func (e *Endpoint) FillGate(free int) {
	e.gate.mu.Lock()
	defer e.gate.mu.Unlock()
	e.gate.total = maxHandshakes - free
}

// DropConnections closes the dialled connections.
func (e *Endpoint) DropConnections() {
	for _, l := range e.snapshot() {
		_ = l.conn.CloseWithError(connUnused, "")
	}
}

// RefuseWork does the first step of Close.
func (e *Endpoint) RefuseWork() { e.refuseWork() }
