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
		t.mergeSelf(now, l, rec)
		return false
	case t.buried(rec):
		return false
	}
	e := t.ensure(now, rec.ID)
	held := e.rec.mark()
	changed := t.accept(e, rec)
	if e.heard && held.older(e.rec.mark()) {
		t.hear(now, e, from)
	}
	t.noteHolder(l, e, rec)
	return changed
}

// noteHolder notes what the neighbour has shown to hold, and what it or others
// may therefore lack.
func (t *Table) noteHolder(l *link, e *entry, rec Record) {
	if l.known[e].older(rec.mark()) {
		l.known[e] = rec.mark()
	}
	for _, other := range t.links {
		other.pending[e] = true
	}
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
	e := t.find(id)
	if e == nil || !e.heard {
		return
	}
	l.owed[e] = true
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

// accept takes rec over if it is newer than what is held and complete with
// it. It reports whether the state changed.
func (t *Table) accept(e *entry, rec Record) bool {
	held := e.rec.mark()
	if !held.older(rec.mark()) {
		return false
	}
	switch {
	case rec.IsWhole():
		t.replace(e, rec)
	case !e.heard || held.incarnation != rec.Incarnation:
		return false
	case !rec.IsHeartbeat():
		t.replace(e, e.rec.beaten(rec).changed(rec))
	case held.change == rec.Change:
		e.rec = e.rec.beaten(rec)
	}
	return held.olderState(e.rec.mark())
}

func (t *Table) replace(e *entry, rec Record) {
	before := e.rec
	if !e.heard || before.identity() != rec.identity() {
		t.membersChanged()
	}
	if !e.heard || before.Incarnation != rec.Incarnation || before.wide() != rec.wide() {
		e.wideChange = rec.Change
	}
	e.rec = rec
	e.heard = true
	delete(t.unheard, e)
}

func (t *Table) hear(now time.Time, e *entry, from fleet.InstanceID) {
	e.basis = now
	e.lastHeard = now
	e.lost = false
	if from == e.id {
		e.lastDirect = now
		delete(t.zoneFailures, e.zone())
	}
}

// link returns what is known of a neighbour. A new one may lack everything
// that is held.
func (t *Table) link(id fleet.InstanceID) *link {
	l := t.links[id]
	if l == nil {
		l = &link{known: map[*entry]mark{}, owed: map[*entry]bool{}, pending: map[*entry]bool{}}
		for _, e := range t.entries {
			if e.heard {
				l.pending[e] = true
			}
		}
		t.links[id] = l
	}
	neighbour := t.entries[id]
	l.inZone = neighbour != nil && neighbour.zone() == t.self.rec.Zone
	return l
}

// urgency orders the records of a Delta.
type urgency int

const (
	urgentLeaving urgency = iota
	urgentSelf
	urgentChange
	urgentAsk
	urgentBeat    // of the own zone
	urgentSummary // of other zones, for a new neighbour
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
	t.askForUnheard(now, l)
	batch := []outgoing{t.selfFor(l)}
	for e := range l.pending {
		out := t.entryFor(now, l, e)
		switch {
		case e.id == to && !l.isPast(e):
			delete(l.pending, e)
		case out.urgency != urgentNothing:
			batch = append(batch, out)
		case !t.behindOf(l, e):
			delete(l.pending, e)
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

// isPast reports whether the neighbour speaks of itself under an incarnation
// older than the one held of it; it has to learn that, see overtakeNamesake.
func (l *link) isPast(e *entry) bool {
	mark, known := l.known[e]
	return known && mark.incarnation < e.rec.Incarnation
}

// behindOf reports whether the neighbour has shown a newer state of e.
func (t *Table) behindOf(l *link, e *entry) bool {
	return e.rec.mark().olderState(l.known[e])
}

func (t *Table) noteAsk(now time.Time, rec Record) {
	if !rec.IsAsk() {
		return
	}
	if e := t.entries[rec.ID]; e != nil {
		e.asked = now
	}
}

// selfFor returns the own record in the shortest form that the neighbour can
// take. It always carries the digest of the text, so that two texts under one
// revision are noticed.
func (t *Table) selfFor(l *link) outgoing {
	urgent := urgentSelf
	if t.self.rec.Leaving {
		urgent = urgentLeaving
	}
	rec := t.shortest(l, t.self)
	rec.ConfigDigest = t.self.rec.ConfigDigest
	return outgoing{urgency: urgent, rec: rec}
}

// shortest returns e's record in the shortest form that is enough for the
// neighbour. If the neighbour lacks more than is known here, it asks.
func (t *Table) shortest(l *link, e *entry) Record {
	mark, known := l.known[e]
	held := e.rec.mark()
	switch {
	case !known && e != t.self && !e.rec.Leaving:
		return e.rec.heartbeat()
	case l.owed[e] || mark.incarnation < held.incarnation:
		return e.rec
	case mark.olderState(held):
		return e.rec.update()
	default:
		return e.rec.heartbeat()
	}
}

// entryFor weighs what a neighbour should hear of e.
//
// A new neighbour gets a heartbeat of everyone and asks for what it lacks:
// most of what two neighbours hold is the same. After that it gets changes:
// all those of the own zone if it is of the zone, else those that matter
// outside. Heartbeats are passed on inside the zone only, and only once they
// have gained relayEvery.
func (t *Table) entryFor(now time.Time, l *link, e *entry) outgoing {
	mark, known := l.known[e]
	held := e.rec.mark()
	local := l.inZone && e.zone() == t.self.rec.Zone
	out := outgoing{urgency: urgentNothing, rec: t.shortest(l, e)}
	switch {
	case t.shouldAsk(now, l, e):
		return outgoing{urgency: urgentAsk, rec: Record{ID: e.id}}
	case !e.heard:
	case l.owed[e], known && t.changedFor(mark, e, local), !known && e.rec.Leaving:
		out.urgency = changeUrgency(e.rec)
	case known && mark.olderState(held):
	case !known && local:
		out.urgency = urgentBeat
		out.gained = held.beat
	case !known:
		out.urgency = urgentSummary
	case local && !held.olderState(mark) && held.beat >= mark.beat+t.relayEvery():
		out.urgency = urgentBeat
		out.gained = held.beat - mark.beat
	}
	return out
}

// changedFor reports whether e has changed since mark in a way that matters to
// the neighbour.
func (t *Table) changedFor(m mark, e *entry, local bool) bool {
	if local || m.incarnation != e.rec.Incarnation {
		return m.olderState(e.rec.mark())
	}
	return m.change < e.wideChange
}

func changeUrgency(rec Record) urgency {
	if rec.Leaving {
		return urgentLeaving
	}
	return urgentChange
}

// shouldAsk reports whether the neighbour is to be asked for e's record: it
// has shown a newer state, or the platform lists e and nothing is held.
func (t *Table) shouldAsk(now time.Time, l *link, e *entry) bool {
	if t.behindOf(l, e) {
		return e.asked.IsZero() || now.Sub(e.asked) >= t.opt.AskEvery
	}
	return !e.heard && e.listed && t.unheardDue(now, e)
}

// askListedFactor times AskEvery is the pause between asks for a process that
// is listed and that no neighbour has shown: mostly it has not started yet.
const askListedFactor = 15

func (t *Table) unheardDue(now time.Time, e *entry) bool {
	return e.asked.IsZero() || now.Sub(e.asked) >= askListedFactor*t.opt.AskEvery
}

// askForUnheard asks a neighbour at random, so that no neighbour is always the
// one asked.
func (t *Table) askForUnheard(now time.Time, l *link) {
	for e := range t.unheard {
		if t.unheardDue(now, e) && t.opt.Rand.IntN(len(t.links)) == 0 {
			l.pending[e] = true
		}
	}
}

// Sent tells that the neighbour has acknowledged records of a Delta.
func (t *Table) Sent(now time.Time, to fleet.InstanceID, records []Record) {
	t.observe(now)
	l := t.link(to)
	for _, rec := range records {
		e := t.find(rec.ID)
		if e == nil || rec.IsAsk() {
			continue
		}
		if rec.IsWhole() {
			delete(l.owed, e)
		}
		if l.known[e].older(rec.mark()) {
			l.known[e] = rec.mark()
		}
	}
}

// PeerReset forgets what a neighbour holds. It is called when a connection
// opens, since the process at the other end may be a new one, and when one
// closes.
func (t *Table) PeerReset(to fleet.InstanceID) {
	delete(t.links, to)
}
