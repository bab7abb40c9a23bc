package coldstart

import "time"

// Ledger holds the times of the requests that an entry sent to a server in the last
// Window. The zero value is empty.
type Ledger struct {
	sent []time.Time // oldest first
}

// HasRoom reports whether another request is within a quota of requests per Window.
func (l *Ledger) HasRoom(now time.Time, quota int) bool {
	l.expire(now)
	return len(l.sent) < quota
}

// RoomAt returns when another request is within a quota of requests per Window; false if the
// quota allows none.
func (l *Ledger) RoomAt(now time.Time, quota int) (time.Time, bool) {
	l.expire(now)
	switch {
	case quota <= 0:
		return time.Time{}, false
	case len(l.sent) < quota:
		return now, true
	default:
		return l.sent[len(l.sent)-quota].Add(Window), true
	}
}

// Add records that a request is sent.
func (l *Ledger) Add(now time.Time) {
	l.expire(now)
	l.sent = append(l.sent, now)
}

// IsEmpty reports whether no request was sent in the last Window.
func (l *Ledger) IsEmpty(now time.Time) bool {
	l.expire(now)
	return len(l.sent) == 0
}

func (l *Ledger) expire(now time.Time) {
	for len(l.sent) > 0 && now.Sub(l.sent[0]) >= Window {
		l.sent = l.sent[1:]
	}
}
