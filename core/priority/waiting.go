package priority

import "time"

// minWaiting is how many requests may always wait: enough to find out whether slots become
// free for them.
const minWaiting = 4

// Rank is the order of a request among those that wait at an entry. Requests that can still
// be on time come first, then late ones; among each, the more urgent.
type Rank struct {
	Level Level
	// Late is true for a request that can no longer be on time.
	Late bool
	// Restricted is true for a request that may use only some of the servers. Others do not
	// yield to it, since it may wait while servers are free that they may use.
	Restricted bool
}

// waiting counts the requests that wait, by rank.
type waiting struct {
	onTime, late [MaxLevels]int
	// onTimeRestricted and lateRestricted are those of them that are restricted.
	onTimeRestricted, lateRestricted [MaxLevels]int
}

func (w *waiting) add(r Rank, n int) {
	all, restricted := &w.onTime, &w.onTimeRestricted
	if r.Late {
		all, restricted = &w.late, &w.lateRestricted
	}
	all[r.Level] += n
	if r.Restricted {
		restricted[r.Level] += n
	}
}

// yields reports whether a request to which others yield waits before r.
func (w *waiting) yields(r Rank) bool {
	for l := range r.Level {
		if w.onTime[l] > w.onTimeRestricted[l] || r.Late && w.late[l] > w.lateRestricted[l] {
			return true
		}
	}
	return false
}

// upTo returns the number of waiting requests that rank no lower than r.
func (w *waiting) upTo(r Rank) int {
	n := 0
	for l := range MaxLevels {
		if r.Late || Level(l) <= r.Level {
			n += w.onTime[l]
		}
		if r.Late && Level(l) <= r.Level {
			n += w.late[l]
		}
	}
	return n
}

// Wait adds a request to those that wait and reports whether it may. It may not if it would
// have to give way at once. Requests of a single level are not limited here.
func (d *Demand) Wait(now time.Time, r Rank) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.advance(now)
	if d.hasOtherLevels(r.Level) && d.waiting.upTo(r) >= d.maxWaiting() {
		return false
	}
	d.waiting.add(r, 1)
	return true
}

// Stay reports whether a request that waits may go on. If more requests wait than were
// placed in the last second, the lowest ranks give way. The wait of one that gives way ends
// at once, so that no more give way than necessary.
func (d *Demand) Stay(now time.Time, r Rank) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.advance(now)
	if d.hasOtherLevels(r.Level) && d.waiting.upTo(r) > d.maxWaiting() {
		d.waiting.add(r, -1)
		return false
	}
	return true
}

// Leave ends the wait of a request.
func (d *Demand) Leave(r Rank) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.waiting.add(r, -1)
}

// Yields reports whether a request must not be placed now, since one of a more urgent level
// waits. A late request does not keep requests waiting that can still be on time.
func (d *Demand) Yields(now time.Time, r Rank) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.advance(now)
	return d.waiting.yields(r) && !d.isBelowFloor(r.Level)
}

// maxWaiting is the number of requests that may wait. Under lasting overload few can be
// placed, and waiting only delays the refusal.
func (d *Demand) maxWaiting() int { return minWaiting + d.placedLastSecond() }
