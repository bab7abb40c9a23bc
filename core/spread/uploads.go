package spread

import (
	"time"

	"chivespindle.example/core/fleet"
)

// uploads grants this member's upload slots.
type uploads struct {
	slots   int
	running map[fleet.InstanceID]int
	total   int
	// refused is when an asker was first refused since it was last granted.
	refused map[fleet.InstanceID]waiter
}

type waiter struct {
	since, last time.Time
}

func newUploads(slots int) uploads {
	return uploads{
		slots:   slots,
		running: map[fleet.InstanceID]int{},
		refused: map[fleet.InstanceID]waiter{},
	}
}

// Accept grants or refuses an upload of a chunk to a peer. A granted upload
// ends with one Released; a refused peer is told that this member is busy. The
// agent first checks that it holds the chunk.
//
// A free slot goes to the asker that waits longest, if it asked lately, so
// that askers with short pauses do not shut others out.
func (p *Plan) Accept(now time.Time, to fleet.InstanceID, chunk int) bool {
	u := &p.uploads
	if !p.have.Has(chunk) || u.total+u.waitingBefore(now, to, p.fetchTime) >= u.slots {
		u.refuse(now, to)
		return false
	}
	delete(u.refused, to)
	u.running[to]++
	u.total++
	return true
}

// Released tells that an upload to a peer has ended, whole or not.
func (p *Plan) Released(to fleet.InstanceID) {
	u := &p.uploads
	if u.running[to] == 0 {
		return
	}
	u.total--
	u.running[to]--
	if u.running[to] == 0 {
		delete(u.running, to)
	}
}

// waitingBefore counts the askers that wait longer than this one. Those that
// asked longer ago than fresh are forgotten: they went elsewhere.
func (u *uploads) waitingBefore(now time.Time, to fleet.InstanceID, fresh time.Duration) int {
	own, waits := u.refused[to]
	before := 0
	for id, other := range u.refused {
		if now.Sub(other.last) > fresh {
			delete(u.refused, id)
			continue
		}
		if id != to && (!waits || other.since.Before(own.since)) {
			before++
		}
	}
	return before
}

func (u *uploads) refuse(now time.Time, to fleet.InstanceID) {
	w := u.refused[to]
	if w.since.IsZero() {
		w.since = now
	}
	w.last = now
	u.refused[to] = w
}
