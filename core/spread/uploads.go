package spread

import (
	"time"

	"chivespindle.example/core/fleet"
)

// reserveAfterRefusals is the number of refusals after which a slot is reserved for a
// requesting peer.
const reserveAfterRefusals = 16

// uploads manages the upload slots of this member.
type uploads struct {
	slots   int
	running map[fleet.InstanceID]int
	total   int
	// refused holds the peers refused since they were last granted a slot.
	refused map[fleet.InstanceID]refusedPeer
}

// refusedPeer is a peer whose upload request was refused.
type refusedPeer struct {
	since, last time.Time
	refusals    int
}

func newUploads(slots int) uploads {
	return uploads{
		slots:   slots,
		running: map[fleet.InstanceID]int{},
		refused: map[fleet.InstanceID]refusedPeer{},
	}
}

// GrantUpload grants or refuses an upload of a chunk to a peer. The caller ends a
// granted upload by one call of UploadEnded; it answers a refused peer that this member
// is busy. The agent first checks that it holds the chunk.
//
// A free slot goes to the first peer that requests it, which keeps the link busy. A
// slot is reserved only for a peer that was refused many times: otherwise peers that
// happen to retry at better moments could starve it.
func (p *Plan) GrantUpload(now time.Time, to fleet.InstanceID, chunk int) bool {
	u := &p.uploads
	if !p.have.Has(chunk) || u.total+u.reservedAhead(now, to, p.fetchTime) >= u.slots {
		u.refuse(now, to)
		return false
	}
	delete(u.refused, to)
	u.running[to]++
	u.total++
	return true
}

// UploadEnded records that an upload to a peer has ended, successfully or not.
func (p *Plan) UploadEnded(to fleet.InstanceID) {
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

// reservedAhead returns the number of slots reserved for peers ahead of this one. A
// waiting peer that has not retried within maxAge is removed, since it has found the
// chunk elsewhere.
func (u *uploads) reservedAhead(now time.Time, to fleet.InstanceID, maxAge time.Duration) int {
	own := u.refused[to]
	reserved := 0
	for id, other := range u.refused {
		if now.Sub(other.last) > maxAge {
			delete(u.refused, id)
			continue
		}
		before := own.refusals < reserveAfterRefusals || other.since.Before(own.since)
		if id != to && other.refusals >= reserveAfterRefusals && before {
			reserved++
		}
	}
	return reserved
}

func (u *uploads) refuse(now time.Time, to fleet.InstanceID) {
	w := u.refused[to]
	if w.refusals == 0 {
		w.since = now
	}
	w.last = now
	w.refusals++
	u.refused[to] = w
}
