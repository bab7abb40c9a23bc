package gossip

import "time"

// duplicate is another process that publishes records under the id of this one,
// with higher counters than its own.
type duplicate struct {
	rec          Record
	since        time.Time
	lastIncrease time.Time // when its counters last rose
}

// Duplicate returns the newest record of another live process that uses this
// process's id. Two processes with one id overwrite each other's records in the
// whole fleet, so the caller has to stop.
func (t *Table) Duplicate() (Record, bool) {
	d := t.duplicate
	return d.rec, d.rec.ID != "" && d.lastIncrease.Sub(d.since) > t.silentLimit()
}

// mergeSelf never changes the process's own record. Counters lower than its own
// come from an earlier process with this id or from an older record of this
// one, and are overwritten in time.
func (t *Table) mergeSelf(now time.Time, l *link, rec Record) {
	l.known[t.self] = rec.version()
	if !t.self.rec.version().older(rec.version()) || !t.duplicate.rec.version().older(rec.version()) {
		return
	}
	if t.duplicate.rec.ID == "" {
		t.duplicate.since = now
	}
	t.duplicate.rec = rec
	t.duplicate.lastIncrease = now
}

// supersedePredecessor handles higher counters that have stopped rising. They
// are left behind only by an earlier process with this id that has ended and
// whose clock was ahead. While the process is listed, that record is never
// forgotten and no peer would accept this process's record, so the incarnation
// is raised above it. A live process with the same id keeps raising its
// counters and is left alone: two processes that each raise their incarnation
// above the other's would never stop.
func (t *Table) supersedePredecessor(now time.Time) {
	d := t.duplicate
	if d.rec.ID == "" || now.Sub(d.lastIncrease) <= t.silentLimit() {
		return
	}
	t.self.rec.Incarnation = max(t.self.rec.Incarnation, d.rec.Incarnation+1)
	t.self.rec.RolloutOrder = max(t.self.rec.RolloutOrder, t.self.rec.Incarnation, d.rec.RolloutOrder)
	t.duplicate = duplicate{}
}
