package placement

import (
	"time"

	"chivespindle.example/core/enginemodel"
	"chivespindle.example/core/fleet"
)

// remoteLoads is the work of the other entries at each server, as they report it.
//
// The sum for each server is updated with each report. Computing it at each choice,
// from the loads of a hundred entries at hundreds of servers, took most of an
// entry's processor time.
type remoteLoads struct {
	entries map[fleet.InstanceID]*entryLoads
	// sums is, for each server, the work of the entries whose reports are current;
	// current is the number of these entries.
	sums    map[fleet.InstanceID]enginemodel.Work
	current int
	// oldest is a lower bound on the times of the latest reports of the current
	// entries.
	oldest time.Time
	freed  freedSlots
}

// entryLoads is the load that another entry reported.
type entryLoads struct {
	reportedAt time.Time
	isCurrent  bool
	loads      map[fleet.InstanceID]enginemodel.Work
}

func newRemoteLoads(slots freedSlots) *remoteLoads {
	return &remoteLoads{
		entries: make(map[fleet.InstanceID]*entryLoads), sums: make(map[fleet.InstanceID]enginemodel.Work), freed: slots}
}

// entryCount is the number of the other entries.
func (r *remoteLoads) entryCount() int { return len(r.entries) }

// at returns the work of the other entries at a server, including the slots that
// are reserved for them.
func (r *remoteLoads) at(now time.Time, server fleet.InstanceID) enginemodel.Work {
	return r.freed.addReserved(now, server, r.sums[server])
}

// update records a report of an entry with the servers at which its work has
// changed.
func (r *remoteLoads) update(now time.Time, entry fleet.InstanceID, changed []Load) {
	e := r.entries[entry]
	if e == nil {
		e = &entryLoads{loads: make(map[fleet.InstanceID]enginemodel.Work)}
		r.entries[entry] = e
	}
	if !e.isCurrent {
		r.include(e)
	}
	e.reportedAt = now
	if r.current == 1 || now.Before(r.oldest) {
		r.oldest = now
	}
	for _, l := range changed {
		if _, isKnown := e.loads[l.Server]; !isKnown && (len(e.loads) >= maxEntryLoads || len(l.Server) > maxNameBytes) {
			continue
		}
		r.adjust(now, l.Server, l.Work.Sub(e.loads[l.Server]))
		if l.Work == (enginemodel.Work{}) {
			delete(e.loads, l.Server)
			continue
		}
		e.loads[l.Server] = l.Work
	}
}

// maxEntryLoads bounds the servers of which the work of one entry is known: more than twice
// the servers of the largest fleet, which has 3,500.
const maxEntryLoads = 8192

// remove drops the reports of an entry.
func (r *remoteLoads) remove(entry fleet.InstanceID) {
	if e := r.entries[entry]; e != nil && e.isCurrent {
		r.exclude(e)
	}
	delete(r.entries, entry)
}

// removeServer drops the work that entries reported at a server that has restarted.
// They report it again once they have placed requests there.
func (r *remoteLoads) removeServer(server fleet.InstanceID) {
	delete(r.sums, server)
	r.freed.remove(server)
	for _, e := range r.entries {
		delete(e.loads, server)
	}
}

// expire excludes the entries that have sent no report for loadTTL: if an entry was
// killed, its requests ended with it.
func (r *remoteLoads) expire(now time.Time) {
	if r.current == 0 || now.Sub(r.oldest) < loadTTL {
		return
	}
	r.oldest = now
	for _, e := range r.entries {
		switch {
		case !e.isCurrent:
		case now.Sub(e.reportedAt) >= loadTTL:
			r.exclude(e)
		case e.reportedAt.Before(r.oldest):
			r.oldest = e.reportedAt
		}
	}
}

func (r *remoteLoads) include(e *entryLoads) {
	e.isCurrent = true
	r.current++
	for server, w := range e.loads {
		r.add(server, w)
	}
}

func (r *remoteLoads) exclude(e *entryLoads) {
	e.isCurrent = false
	r.current--
	for server, w := range e.loads {
		r.add(server, w.Times(-1))
	}
}

// adjust adds a reported difference to the work at a server.
func (r *remoteLoads) adjust(now time.Time, server fleet.InstanceID, w enginemodel.Work) {
	before := r.sums[server].Running
	r.add(server, w)
	if after := r.sums[server].Running; after < before {
		r.freed.record(now, server, before)
	}
}

func (r *remoteLoads) add(server fleet.InstanceID, w enginemodel.Work) {
	sum := r.sums[server].Add(w)
	if sum == (enginemodel.Work{}) {
		delete(r.sums, server)
		return
	}
	r.sums[server] = sum
}
