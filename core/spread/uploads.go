package spread

import (
	"time"

	"chivespindle.example/core/fleet"
)

// patientAsks is the number of refusals after which a slot is kept for an
// asker.
const patientAsks = 16

// uploads grants this member's upload slots.
type uploads struct {
	slots   int
	running map[fleet.InstanceID]int
	total   int
	// waiting holds the askers refused since they were last granted a slot.
	waiting map[fleet.InstanceID]waiter
}

// waiter is an asker that was refused.
type waiter struct {
	since, last time.Time
	refusals    int
}

func newUploads(slots int) uploads {
	return uploads{
		slots:   slots,
		running: map[fleet.InstanceID]int{},
		waiting: map[fleet.InstanceID]waiter{},
	}
}

// Accept grants or refuses an upload of a chunk to a peer. A granted upload
// ends with one Released; a refused peer is told that this member is busy. The
// agent first checks that it holds the chunk.
//
// A free slot goes to whoever asks first, which keeps the link busy. Only an
// asker that was refused many times has the next slot kept for it: askers that
// happen to come back at better moments could else shut it out for long.
func (p *Plan) Accept(now time.Time, to fleet.InstanceID, chunk int) bool {
	u := &p.uploads
	if !p.have.Has(chunk) || u.total+u.keptFrom(now, to, p.fetchTime) >= u.slots {
		u.refuse(now, to)
		return false
	}
	delete(u.waiting, to)
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

// keptFrom counts the slots kept for askers before this one. An asker that has
// not come back for the time fresh has found the chunk elsewhere.
func (u *uploads) keptFrom(now time.Time, to fleet.InstanceID, fresh time.Duration) int {
	own := u.waiting[to]
	kept := 0
	for id, other := range u.waiting {
		if now.Sub(other.last) > fresh {
			delete(u.waiting, id)
			continue
		}
		before := own.refusals < patientAsks || other.since.Before(own.since)
		if id != to && other.refusals >= patientAsks && before {
			kept++
		}
	}
	return kept
}

func (u *uploads) refuse(now time.Time, to fleet.InstanceID) {
	w := u.waiting[to]
	if w.refusals == 0 {
		w.since = now
	}
	w.last = now
	w.refusals++
	u.waiting[to] = w
}
