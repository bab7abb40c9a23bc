package exchange

import (
	"errors"
	"os"
	"time"
)

// OnSilence decides what follows when nothing of a response has arrived by the deadline of
// a read. It returns a later deadline, or false to let the read fail. It is called by the
// goroutine that reads, and no more in the same exchange once it has returned false.
type OnSilence func(now time.Time) (until time.Time, wait bool)

// Read implements io.Reader. A deadline is extended below all readers of the message: those
// of net/http return the error of an expired deadline again at each later call.
func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || !c.extendDeadline() {
			return n, c.end.check(err, c.readDeadline)
		}
	}
}

// extendDeadline reports whether the expired deadline of a read was replaced by a later one.
func (c *conn) extendDeadline() bool {
	if c.onSilence == nil {
		return false
	}
	until, wait := c.onSilence(time.Now())
	if !wait || !until.After(time.Now()) {
		// net/http reads on after a header line that the deadline cut off.
		c.onSilence = nil
		return false
	}
	c.setReadDeadline(until)
	return true
}

// setReadDeadline bounds the reads that follow. On a closed connection, they fail with the
// error of that instead.
func (c *conn) setReadDeadline(deadline time.Time) {
	c.readDeadline = deadline
	_ = c.SetReadDeadline(deadline)
}
