package placement

import (
	"time"

	"chivespindle.example/core/enginemodel"
	"chivespindle.example/core/fleet"
)

// maxReservation is the longest time for which a freed slot stays reserved for the
// entry whose request has ended: enough for several calls to arrive at that entry
// under a load that fills the engines.
const maxReservation = 800 * time.Millisecond

// freedSlots tracks the slots that requests of other entries have freed at each
// server.
//
// It matters when there is more work than the engines have slots. Each freed slot
// is reported to all entries, and every entry with a call to place at that moment
// would take it, since entries learn of each other's choices too late: the calls
// would queue behind one another and be late. The entry whose request has ended
// knows of the free slot at once and fills it. The other entries count the slot as
// taken for a random time, so that a slot that is not filled is eventually used by
// one of them.
type freedSlots struct {
	rand     Rand
	disabled bool
	slots    map[fleet.InstanceID]freedSlot
}

// freedSlot is the number of requests of other entries that are counted as running
// at a server until a point in time.
type freedSlot struct {
	running int
	until   time.Time
}

func newFreedSlots(r Rand, disabled bool) freedSlots {
	return freedSlots{rand: r, disabled: disabled, slots: make(map[fleet.InstanceID]freedSlot)}
}

// record notes that the other entries had this many requests at a server and now
// have fewer.
func (f *freedSlots) record(now time.Time, server fleet.InstanceID, before int) {
	previous := f.slots[server]
	if f.disabled || now.Before(previous.until) && previous.running >= before {
		return
	}
	wait := time.Duration(f.rand.Float64() * float64(maxReservation))
	f.slots[server] = freedSlot{running: before, until: now.Add(wait)}
}

// addReserved returns the work of the other entries at a server, including the
// slots that are reserved for them.
func (f *freedSlots) addReserved(now time.Time, server fleet.InstanceID, w enginemodel.Work) enginemodel.Work {
	if freed := f.slots[server]; now.Before(freed.until) {
		w.Running = max(w.Running, freed.running)
	}
	return w
}

func (f *freedSlots) remove(server fleet.InstanceID) { delete(f.slots, server) }
