package gossip

import "time"

// namesake is a process that spreads records under the id of this one, with
// numbers above its own.
type namesake struct {
	rec      Record
	since    time.Time
	lastRise time.Time // when its numbers rose last
}

// Duplicate returns the newest record of another living process under this
// process's id. Two processes with one id overwrite each other everywhere, so
// the caller has to stop.
func (t *Table) Duplicate() (Record, bool) {
	n := t.namesake
	return n.rec, n.rec.ID != "" && n.lastRise.Sub(n.since) > t.silentLimit()
}

// mergeSelf never changes the own record. Lower numbers than the own ones are
// those of a predecessor or of an earlier day, and are overwritten in time.
func (t *Table) mergeSelf(now time.Time, l *link, rec Record) {
	l.known[t.self] = rec.mark()
	if !t.self.rec.mark().older(rec.mark()) || !t.namesake.rec.mark().older(rec.mark()) {
		return
	}
	if t.namesake.rec.ID == "" {
		t.namesake.since = now
	}
	t.namesake.rec = rec
	t.namesake.lastRise = now
}

// overtakeNamesake settles higher numbers that do not rise. Only a dead
// predecessor whose clock was ahead leaves those behind. While it is listed
// its record is never forgotten, and nobody would ever accept the own one; so
// the own incarnation is raised above it. A living namesake goes on rising and
// is left alone: two that climb over each other would never end.
func (t *Table) overtakeNamesake(now time.Time) {
	n := t.namesake
	if n.rec.ID == "" || now.Sub(n.lastRise) <= t.silentLimit() {
		return
	}
	t.self.rec.Incarnation = max(t.self.rec.Incarnation, n.rec.Incarnation+1)
	t.self.rec.Turn = max(t.self.rec.Turn, t.self.rec.Incarnation, n.rec.Turn)
	t.namesake = namesake{}
}
