package placement

import (
	"time"

	"chivespindle.example/core/enginemodel"
	"chivespindle.example/core/fleet"
)

// others is what the other entries said of their work at each server.
//
// The sum for each server is kept up to date as entries are heard. Added up
// anew at each choice, the loads of a hundred entries at hundreds of servers
// took most of an entry's processor time.
type others struct {
	entries map[fleet.InstanceID]*heard
	// sums is by server the work of the entries that are believed, and believed
	// their number.
	sums     map[fleet.InstanceID]enginemodel.Work
	believed int
	// oldest is not later than the last word of any entry that is believed.
	oldest time.Time
	freed  freedPlaces
}

// heard is what another entry said.
type heard struct {
	at       time.Time
	believed bool
	loads    map[fleet.InstanceID]enginemodel.Work
}

func newOthers(freed freedPlaces) *others {
	return &others{
		entries: make(map[fleet.InstanceID]*heard), sums: make(map[fleet.InstanceID]enginemodel.Work), freed: freed}
}

// known is the number of the other entries.
func (o *others) known() int { return len(o.entries) }

// at returns the work that the others are believed to have at a server, with the
// places that are left to them.
func (o *others) at(now time.Time, server fleet.InstanceID) enginemodel.Work {
	return o.freed.with(now, server, o.sums[server])
}

// note takes the servers at which an entry's work has changed.
func (o *others) note(now time.Time, entry fleet.InstanceID, changed []Load) {
	h := o.entries[entry]
	if h == nil {
		h = &heard{loads: make(map[fleet.InstanceID]enginemodel.Work)}
		o.entries[entry] = h
	}
	if !h.believed {
		o.believe(h)
	}
	h.at = now
	if o.believed == 1 || now.Before(o.oldest) {
		o.oldest = now
	}
	for _, l := range changed {
		o.change(now, l.Server, l.Work.Sub(h.loads[l.Server]))
		if l.Work == (enginemodel.Work{}) {
			delete(h.loads, l.Server)
			continue
		}
		h.loads[l.Server] = l.Work
	}
}

// forget drops what an entry said.
func (o *others) forget(entry fleet.InstanceID) {
	if h := o.entries[entry]; h != nil && h.believed {
		o.doubt(h)
	}
	delete(o.entries, entry)
}

// forgetServer drops what the entries had at a server that started anew. They
// tell it again once they have placed something there.
func (o *others) forgetServer(server fleet.InstanceID) {
	delete(o.sums, server)
	o.freed.forget(server)
	for _, h := range o.entries {
		delete(h.loads, server)
	}
}

// endBeliefs leaves out the entries that have been silent for loadLife: requests
// of one that was killed have ended with it.
func (o *others) endBeliefs(now time.Time) {
	if o.believed == 0 || now.Sub(o.oldest) < loadLife {
		return
	}
	o.oldest = now
	for _, h := range o.entries {
		switch {
		case !h.believed:
		case now.Sub(h.at) >= loadLife:
			o.doubt(h)
		case h.at.Before(o.oldest):
			o.oldest = h.at
		}
	}
}

func (o *others) believe(h *heard) {
	h.believed = true
	o.believed++
	for server, w := range h.loads {
		o.add(server, w)
	}
}

func (o *others) doubt(h *heard) {
	h.believed = false
	o.believed--
	for server, w := range h.loads {
		o.add(server, w.Times(-1))
	}
}

// change adds to the work at a server what an entry reports of it.
func (o *others) change(now time.Time, server fleet.InstanceID, w enginemodel.Work) {
	before := o.sums[server].Running
	o.add(server, w)
	if after := o.sums[server].Running; after < before {
		o.freed.note(now, server, before)
	}
}

func (o *others) add(server fleet.InstanceID, w enginemodel.Work) {
	sum := o.sums[server].Add(w)
	if sum == (enginemodel.Work{}) {
		delete(o.sums, server)
		return
	}
	o.sums[server] = sum
}
