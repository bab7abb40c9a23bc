package gossip

import (
	"cmp"
	"slices"
	"time"

	"chivespindle.example/core/fleet"
)

// Merge applies the records that a neighbour sent and returns the ids whose
// state changed, in the order of the message. Records older than those held are
// ignored, and so are records of this process itself; see Duplicate.
func (t *Table) Merge(now time.Time, from fleet.InstanceID, records []Record) []fleet.InstanceID {
	t.advanceClock(now)
	l := t.link(from)
	var changed []fleet.InstanceID
	for _, rec := range records {
		if t.mergeOne(now, l, from, rec) {
			changed = append(changed, rec.ID)
		}
	}
	return changed
}

func (t *Table) mergeOne(now time.Time, l *link, from fleet.InstanceID, rec Record) bool {
	switch {
	case rec.ID == "":
		return false
	case rec.IsRequest():
		t.markRequested(l, rec.ID)
		return false
	case rec.ID == t.self.id:
		t.mergeSelf(now, l, rec)
		return false
	case t.isDeleted(rec):
		return false
	}
	e := t.ensureEntry(now, rec.ID)
	held := e.rec.version()
	changed := t.accept(e, rec)
	if e.hasRecord && held.older(e.rec.version()) {
		t.markUpdated(now, e, from)
	}
	t.updateLink(l, e, rec)
	return changed
}

// updateLink records what the neighbour has shown to hold, and that the
// neighbours may have something to receive.
func (t *Table) updateLink(l *link, e *entry, rec Record) {
	if l.known[e].older(rec.version()) {
		l.known[e] = rec.version()
	}
	for _, other := range t.links {
		other.pending[e] = true
	}
}

// isDeleted reports whether rec is no newer than the record that was deleted.
func (t *Table) isDeleted(rec Record) bool {
	stone, ok := t.tombstones[rec.ID]
	if !ok {
		return false
	}
	if !stone.last.older(rec.version()) {
		return true
	}
	delete(t.tombstones, rec.ID)
	return false
}

func (t *Table) markRequested(l *link, id fleet.InstanceID) {
	e := t.find(id)
	if e == nil || !e.hasRecord {
		return
	}
	l.requested[e] = true
	if e != t.self {
		l.pending[e] = true
	}
}

func (t *Table) find(id fleet.InstanceID) *entry {
	if id == t.self.id {
		return t.self
	}
	return t.entries[id]
}

// accept applies rec if it is newer than the record held and can be combined
// with it to a complete one. It reports whether the state changed.
func (t *Table) accept(e *entry, rec Record) bool {
	held := e.rec.version()
	if !held.older(rec.version()) {
		return false
	}
	switch {
	case rec.IsComplete():
		t.replace(e, rec)
	case !e.hasRecord || held.incarnation != rec.Incarnation:
		return false
	case !rec.IsHeartbeat():
		t.replace(e, e.rec.withHeartbeat(rec).withState(rec))
	case held.stateSeq == rec.StateSeq:
		e.rec = e.rec.withHeartbeat(rec)
	}
	return held.olderState(e.rec.version())
}

func (t *Table) replace(e *entry, rec Record) {
	before := e.rec
	if !e.hasRecord || before.identity() != rec.identity() {
		t.membersChanged()
	}
	if !e.hasRecord || before.Incarnation != rec.Incarnation || before.externalState() != rec.externalState() {
		e.externalStateSeq = rec.StateSeq
	}
	e.rec = rec
	e.hasRecord = true
	delete(t.missing, e)
}

func (t *Table) markUpdated(now time.Time, e *entry, from fleet.InstanceID) {
	e.silentSince = now
	e.lastUpdate = now
	e.lost = false
	if from == e.id {
		e.lastDirectUpdate = now
		delete(t.zoneFailures, e.zone())
	}
}

// link returns the state of a neighbour. For a new neighbour every record held
// is pending.
func (t *Table) link(id fleet.InstanceID) *link {
	l := t.links[id]
	if l == nil {
		l = &link{known: map[*entry]recordVersion{}, requested: map[*entry]bool{}, pending: map[*entry]bool{}}
		for _, e := range t.entries {
			if e.hasRecord {
				l.pending[e] = true
			}
		}
		t.links[id] = l
	}
	neighbour := t.entries[id]
	l.inZone = neighbour != nil && neighbour.zone() == t.self.rec.Zone
	return l
}

// urgency is the order of the records in a Delta.
type urgency int

const (
	urgentLeaving urgency = iota
	urgentSelf
	urgentChange
	urgentRequest
	urgentHeartbeat // in the own zone
	urgentSummary   // in other zones, for a new neighbour
	urgentNothing
)

type outgoing struct {
	urgency urgency
	gained  uint64 // heartbeats since the one that the neighbour holds
	rec     Record
}

// Delta returns the records to send to the neighbour to, at most
// Options.MaxRecords: those of leaving processes first, then the process's own
// record, then changes, requests and heartbeats. The remaining ones follow in
// later calls. Records count as sent only once Acknowledge is called.
func (t *Table) Delta(now time.Time, to fleet.InstanceID) []Record {
	t.advanceClock(now)
	l := t.link(to)
	t.requestMissing(now, l)
	batch := []outgoing{t.selfRecordFor(l)}
	for e := range l.pending {
		out := t.outgoingFor(now, l, e)
		switch {
		case e.id == to && !l.holdsOldIncarnation(e):
			delete(l.pending, e)
		case out.urgency != urgentNothing:
			batch = append(batch, out)
		case !t.neighbourAhead(l, e):
			delete(l.pending, e)
		}
	}
	// The shuffle keeps records of equal urgency from starving when messages
	// are full.
	t.opt.Rand.Shuffle(len(batch), func(i, j int) { batch[i], batch[j] = batch[j], batch[i] })
	slices.SortStableFunc(batch, compareOutgoing)
	batch = batch[:min(len(batch), t.opt.MaxRecords)]
	records := make([]Record, len(batch))
	for i, out := range batch {
		records[i] = out.rec
		t.noteRequest(now, out.rec)
	}
	return records
}

func compareOutgoing(a, b outgoing) int {
	if a.urgency != b.urgency {
		return cmp.Compare(a.urgency, b.urgency)
	}
	return cmp.Compare(b.gained, a.gained)
}

// holdsOldIncarnation reports whether the neighbour holds e under an older
// incarnation. If e is the neighbour itself, it has to learn of the newer one,
// see supersedePredecessor.
func (l *link) holdsOldIncarnation(e *entry) bool {
	peerHolds, known := l.known[e]
	return known && peerHolds.incarnation < e.rec.Incarnation
}

// neighbourAhead reports whether the neighbour has shown a newer state of e
// than the one held.
func (t *Table) neighbourAhead(l *link, e *entry) bool {
	return e.rec.version().olderState(l.known[e])
}

func (t *Table) noteRequest(now time.Time, rec Record) {
	if !rec.IsRequest() {
		return
	}
	if e := t.entries[rec.ID]; e != nil {
		e.requestedAt = now
	}
}

// selfRecordFor returns the process's own record in the shortest form that the
// neighbour can use. It always carries the digest of the configuration, so that
// two configurations with one revision are detected.
func (t *Table) selfRecordFor(l *link) outgoing {
	urgent := urgentSelf
	if t.self.rec.Leaving {
		urgent = urgentLeaving
	}
	rec := t.shortest(l, t.self)
	rec.ConfigDigest = t.self.rec.ConfigDigest
	return outgoing{urgency: urgent, rec: rec}
}

// shortest returns e's record in the shortest form that is sufficient for the
// neighbour. If the neighbour lacks more than is known here, it sends a
// request.
func (t *Table) shortest(l *link, e *entry) Record {
	peerHolds, known := l.known[e]
	held := e.rec.version()
	switch {
	case !known && e != t.self && !e.rec.Leaving:
		return e.rec.heartbeat()
	case l.requested[e] || peerHolds.incarnation < held.incarnation:
		return e.rec
	case peerHolds.olderState(held):
		return e.rec.update()
	default:
		return e.rec.heartbeat()
	}
}

// outgoingFor returns what to send to the neighbour about e, and how urgent it
// is.
//
// A new neighbour receives a heartbeat of every process and requests the
// records it lacks, since most records are held by both. After that it receives
// changes: all changes of the own zone if it is in that zone, otherwise those
// relevant outside the zone. Heartbeats are relayed within the zone only, and
// only when they have advanced by relayEvery.
func (t *Table) outgoingFor(now time.Time, l *link, e *entry) outgoing {
	peerHolds, known := l.known[e]
	held := e.rec.version()
	local := l.inZone && e.zone() == t.self.rec.Zone
	out := outgoing{urgency: urgentNothing, rec: t.shortest(l, e)}
	switch {
	case t.shouldRequest(now, l, e):
		return outgoing{urgency: urgentRequest, rec: Record{ID: e.id}}
	case !e.hasRecord:
	case l.requested[e], known && t.changedFor(peerHolds, e, local), !known && e.rec.Leaving:
		out.urgency = changeUrgency(e.rec)
	case known && peerHolds.olderState(held):
	case !known && local:
		out.urgency = urgentHeartbeat
		out.gained = held.heartbeatSeq
	case !known:
		out.urgency = urgentSummary
	case local && !held.olderState(peerHolds) && held.heartbeatSeq >= peerHolds.heartbeatSeq+t.relayEvery():
		out.urgency = urgentHeartbeat
		out.gained = held.heartbeatSeq - peerHolds.heartbeatSeq
	}
	return out
}

// changedFor reports whether e has changed since m in a way that is relevant to
// the neighbour.
func (t *Table) changedFor(m recordVersion, e *entry, local bool) bool {
	if local || m.incarnation != e.rec.Incarnation {
		return m.olderState(e.rec.version())
	}
	return m.stateSeq < e.externalStateSeq
}

func changeUrgency(rec Record) urgency {
	if rec.Leaving {
		return urgentLeaving
	}
	return urgentChange
}

// shouldRequest reports whether to request e's record from the neighbour: it
// has shown a newer state, or the platform lists e and no record is held.
func (t *Table) shouldRequest(now time.Time, l *link, e *entry) bool {
	if t.neighbourAhead(l, e) {
		return e.requestedAt.IsZero() || now.Sub(e.requestedAt) >= t.opt.RequestInterval
	}
	return !e.hasRecord && e.listed && t.requestDue(now, e)
}

// listedRequestFactor times RequestInterval is the interval between requests
// for a process that is listed and that no neighbour has shown: usually it has
// not started yet.
const listedRequestFactor = 15

func (t *Table) requestDue(now time.Time, e *entry) bool {
	return e.requestedAt.IsZero() || now.Sub(e.requestedAt) >= listedRequestFactor*t.opt.RequestInterval
}

// requestMissing spreads the requests over the neighbours at random, so that
// they do not all go to the same one.
func (t *Table) requestMissing(now time.Time, l *link) {
	for e := range t.missing {
		if t.requestDue(now, e) && t.opt.Rand.IntN(len(t.links)) == 0 {
			l.pending[e] = true
		}
	}
}

// Acknowledge records that the neighbour has acknowledged records of a Delta.
func (t *Table) Acknowledge(now time.Time, to fleet.InstanceID, records []Record) {
	t.advanceClock(now)
	l := t.link(to)
	for _, rec := range records {
		e := t.find(rec.ID)
		if e == nil || rec.IsRequest() {
			continue
		}
		if rec.IsComplete() {
			delete(l.requested, e)
		}
		if l.known[e].older(rec.version()) {
			l.known[e] = rec.version()
		}
	}
}

// ResetPeer discards what a neighbour is known to hold. It is called when a
// connection opens, since the remote process may be a new one, and when a
// connection closes.
func (t *Table) ResetPeer(to fleet.InstanceID) {
	delete(t.links, to)
}
