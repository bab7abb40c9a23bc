package gossip

import (
	"cmp"
	"slices"
	"time"

	"chivespindle.example/core/fleet"
)

// Merge takes what a neighbour sent and returns whose slow fields changed, in
// the order of the message. Older news than what is held is ignored, and so
// is everything about this process itself; see Duplicate.
func (t *Table) Merge(now time.Time, from fleet.InstanceID, records []Record) []fleet.InstanceID {
	t.observe(now)
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
	case rec.IsAsk():
		t.oweRecord(l, rec.ID)
		return false
	case rec.ID == t.self.id:
		t.mergeSelf(l, rec)
		return false
	case t.buried(rec):
		return false
	}
	e := t.ensure(now, rec.ID)
	if l.known[e].older(rec.mark()) {
		l.known[e] = rec.mark()
	}
	if rec.IsHeartbeat() {
		t.mergeHeartbeat(now, e, from, rec)
		return false
	}
	return t.mergeWhole(now, e, from, rec)
}

// buried reports whether rec is no newer than what was forgotten.
func (t *Table) buried(rec Record) bool {
	stone, ok := t.forgotten[rec.ID]
	if !ok {
		return false
	}
	if !stone.last.older(rec.mark()) {
		return true
	}
	delete(t.forgotten, rec.ID)
	return false
}

func (t *Table) oweRecord(l *link, id fleet.InstanceID) {
	e := t.entries[id]
	if id == t.self.id {
		e = t.self
	}
	if e != nil && e.heard {
		l.owed[e] = true
	}
}

// mergeSelf never changes the own record. A lower incarnation is this
// process's predecessor and is overwritten by the own record in time. Higher
// numbers than the own ones can only come from another living process under
// the same id.
func (t *Table) mergeSelf(l *link, rec Record) {
	l.known[t.self] = rec.mark()
	if t.self.rec.mark().older(rec.mark()) {
		t.duplicate = rec
	}
}

func (t *Table) mergeHeartbeat(now time.Time, e *entry, from fleet.InstanceID, rec Record) {
	held := e.rec.mark()
	sameState := e.heard && held.incarnation == rec.Incarnation && held.change == rec.Change
	if !sameState || rec.Beat <= held.beat {
		return
	}
	e.rec.Beat = rec.Beat
	e.rec.Revision = max(e.rec.Revision, rec.Revision)
	t.hear(now, e, from)
}

func (t *Table) mergeWhole(now time.Time, e *entry, from fleet.InstanceID, rec Record) bool {
	held := e.rec.mark()
	if e.heard && !held.older(rec.mark()) {
		return false
	}
	changed := !e.heard || held.olderState(rec.mark())
	sized := e.heard && e.rec.Zone == rec.Zone
	e.rec = rec
	e.heard = true
	t.hear(now, e, from)
	if !sized {
		t.countZone()
	}
	return changed
}

func (t *Table) hear(now time.Time, e *entry, from fleet.InstanceID) {
	e.basis = now
	e.lastHeard = now
	e.lost = false
	if from == e.id {
		e.lastDirect = now
	}
}

func (t *Table) link(id fleet.InstanceID) *link {
	l := t.links[id]
	if l == nil {
		l = &link{known: map[*entry]mark{}, owed: map[*entry]bool{}}
		t.links[id] = l
	}
	return l
}

// urgency orders the records of a Delta.
type urgency int

const (
	urgentLeaving urgency = iota
	urgentSelf
	urgentChange
	urgentAsk
	urgentBeat
	urgentNothing
)

type outgoing struct {
	urgency urgency
	gained  uint64 // heartbeats since the neighbour heard last
	rec     Record
}

// Delta returns what the neighbour to should be sent now, at most
// Options.MaxRecords: those leaving first, then the own record, then changes,
// asks and heartbeats. The rest comes with later calls. Nothing counts as sent
// before Sent is called.
func (t *Table) Delta(now time.Time, to fleet.InstanceID) []Record {
	t.observe(now)
	l := t.link(to)
	batch := []outgoing{t.selfFor(l)}
	inZone := t.inOwnZone(to)
	for _, e := range t.entries {
		if e.id == to {
			continue
		}
		out := t.entryFor(now, l, e, inZone)
		if out.urgency != urgentNothing {
			batch = append(batch, out)
		}
	}
	// The shuffle keeps equal ones from starving behind a full message.
	t.opt.Rand.Shuffle(len(batch), func(i, j int) { batch[i], batch[j] = batch[j], batch[i] })
	slices.SortStableFunc(batch, compareOutgoing)
	batch = batch[:min(len(batch), t.opt.MaxRecords)]
	records := make([]Record, len(batch))
	for i, out := range batch {
		records[i] = out.rec
		t.noteAsk(now, out.rec)
	}
	return records
}

func compareOutgoing(a, b outgoing) int {
	if a.urgency != b.urgency {
		return cmp.Compare(a.urgency, b.urgency)
	}
	return cmp.Compare(b.gained, a.gained)
}

func (t *Table) noteAsk(now time.Time, rec Record) {
	if !rec.IsAsk() {
		return
	}
	if e := t.entries[rec.ID]; e != nil {
		e.asked = now
	}
}

func (t *Table) inOwnZone(id fleet.InstanceID) bool {
	e := t.entries[id]
	return e != nil && e.zone() == t.self.rec.Zone
}

// selfFor returns the own record, whole if the neighbour lacks the state. A
// heartbeat to a neighbour carries the digest of the text as well, so that two
// texts under one revision are noticed.
func (t *Table) selfFor(l *link) outgoing {
	rec := t.self.rec
	mark, sent := l.known[t.self]
	urgent := urgentSelf
	if rec.Leaving {
		urgent = urgentLeaving
	}
	if sent && !mark.olderState(rec.mark()) && !l.owed[t.self] {
		rec = rec.heartbeat()
		rec.ConfigDigest = t.self.rec.ConfigDigest
	}
	return outgoing{urgency: urgent, rec: rec}
}

// entryFor weighs what a neighbour should hear of e.
//
// A new neighbour gets a heartbeat of everyone and asks for what it lacks:
// most of what two neighbours hold is the same, and a heartbeat is a fifth of
// a whole record. After that, changes are sent whole, and heartbeats inside
// the zone only, once they have gained relayEvery.
func (t *Table) entryFor(now time.Time, l *link, e *entry, inZone bool) outgoing {
	mark, known := l.known[e]
	held := e.rec.mark()
	switch {
	case t.shouldAsk(now, e, mark, known):
		return outgoing{urgency: urgentAsk, rec: Record{ID: e.id}}
	case !e.heard:
		return outgoing{urgency: urgentNothing}
	case l.owed[e], known && mark.olderState(held), !known && e.rec.Leaving:
		return outgoing{urgency: changeUrgency(e.rec), rec: e.rec}
	case known && held.olderState(mark):
		return outgoing{urgency: urgentNothing}
	case !known:
		return outgoing{urgency: urgentBeat, gained: held.beat, rec: e.rec.heartbeat()}
	case !inZone || e.zone() != t.self.rec.Zone || held.beat < mark.beat+t.relayEvery():
		return outgoing{urgency: urgentNothing}
	}
	return outgoing{urgency: urgentBeat, gained: held.beat - mark.beat, rec: e.rec.heartbeat()}
}

func changeUrgency(rec Record) urgency {
	if rec.Leaving {
		return urgentLeaving
	}
	return urgentChange
}

// askListedFactor times AskEvery is the pause between asks for a process that
// is listed and that no neighbour has shown: mostly it has not started yet.
const askListedFactor = 15

// shouldAsk reports whether the neighbour is to be asked for e's whole record:
// it has shown a newer state, or the platform lists e and nothing is held.
func (t *Table) shouldAsk(now time.Time, e *entry, m mark, known bool) bool {
	since := now.Sub(e.asked)
	if known && (!e.heard || e.rec.mark().olderState(m)) {
		return e.asked.IsZero() || since >= t.opt.AskEvery
	}
	if e.heard || !e.listed {
		return false
	}
	return e.asked.IsZero() || since >= askListedFactor*t.opt.AskEvery
}

// Sent tells that the neighbour has acknowledged records of a Delta.
func (t *Table) Sent(now time.Time, to fleet.InstanceID, records []Record) {
	t.observe(now)
	l := t.link(to)
	for _, rec := range records {
		e := t.entries[rec.ID]
		if rec.ID == t.self.id {
			e = t.self
		}
		if e == nil || rec.IsAsk() {
			continue
		}
		if !rec.IsHeartbeat() {
			delete(l.owed, e)
		}
		if l.known[e].older(rec.mark()) {
			l.known[e] = rec.mark()
		}
	}
}

// PeerReset forgets what a neighbour holds: a new connection starts over,
// since the process at the other end may be a new one.
func (t *Table) PeerReset(to fleet.InstanceID) {
	delete(t.links, to)
}
