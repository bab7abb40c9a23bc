package priority

import (
	"sync"
	"time"
)

const (
	// demandWindow is the time over which requests are counted. An entry of a large
	// fleet receives only a few requests of a level per second.
	demandWindow = 5 * time.Second
	// bucketTime is the resolution of the counts.
	bucketTime = 250 * time.Millisecond
	buckets    = int(demandWindow / bucketTime)
	// placedBuckets is the number of buckets in which the placements are counted that
	// limit how many requests may wait: those of a second.
	placedBuckets = int(time.Second / bucketTime)
	// shortTime is how long a service counts as short of room after a request found none.
	shortTime = 2 * time.Second
	// maxReserve is the largest share of a server's slots that a level leaves free.
	maxReserve = 0.25
	// floorShare is the share of the service's served share below which a level is
	// exempt from the reserve. The required bound is a quarter; half leaves time to
	// recover before it is reached.
	floorShare = 0.5
	// floorSample is the least number of requests by which a level's served share is
	// judged.
	floorSample = 4
	// entryWaitShare is the share of its target latency within which the first event of a
	// request that waited at the entry must be predicted. The rest is for the network and
	// for the error of the prediction.
	entryWaitShare = 0.9
)

// Limits are what a level may use of a service. The zero value limits nothing and lets
// requests wait nowhere but at servers.
type Limits struct {
	// Reserve is the share of a server's slots that the level leaves free, ReservedSlots the
	// least number of them. Both are 0 if it leaves none.
	Reserve       float64
	ReservedSlots int
	// MayWait is true if a request that can still be on time may wait at the entry.
	MayWait bool
}

// Slots returns the number of a server's slots that the level may use. It leaves at most a
// quarter of them free, but one of two or three.
func (l Limits) Slots(slots int) int {
	if l.ReservedSlots == 0 || slots <= 1 {
		return slots
	}
	atMost := max(1, int(maxReserve*float64(slots)))
	return slots - min(atMost, max(l.ReservedSlots, int(l.Reserve*float64(slots)+0.5)))
}

// counts are the requests of one level.
type counts struct{ arrived, placed, refused int }

func (c *counts) add(o counts) {
	c.arrived += o.arrived
	c.placed += o.placed
	c.refused += o.refused
}

// Demand counts the requests of a service at one entry over the last seconds, by level. It
// uses constant memory and is safe for concurrent use. The zero value is ready for use.
type Demand struct {
	mu sync.Mutex
	// firstAt is the time of the first request. Buckets are counted from it by the monotonic
	// clock: counted by the time of day, they would not expire for as long as that was set back.
	firstAt time.Time
	current int64 // number of the current bucket
	ring    [buckets][MaxLevels]counts
	levels  [MaxLevels]counts // sums over ring
	all     counts            // sum over levels
	// noRoomAt is when a request last found no room.
	noRoomAt time.Time
	waiting  waiting
}

// Arrived counts a request.
func (d *Demand) Arrived(now time.Time, l Level) { d.count(now, l, counts{arrived: 1}) }

// Placed counts a request that was placed at a server for the first time.
func (d *Demand) Placed(now time.Time, l Level) { d.count(now, l, counts{placed: 1}) }

// Refused counts a request that was refused before it was placed.
func (d *Demand) Refused(now time.Time, l Level) { d.count(now, l, counts{refused: 1}) }

// FoundNoRoom records that a request found no server with room for it.
func (d *Demand) FoundNoRoom(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if now.After(d.noRoomAt) {
		d.noRoomAt = now
	}
}

func (d *Demand) count(now time.Time, l Level, c counts) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.advance(now)
	d.ring[d.current%int64(buckets)][l].add(c)
	d.levels[l].add(c)
	d.all.add(c)
}

// advance clears the buckets that have left the window. A time before the current bucket
// counts as in it, since goroutines read the clock before they take the lock.
func (d *Demand) advance(now time.Time) {
	if d.firstAt.IsZero() {
		d.firstAt = now
	}
	bucket := int64(now.Sub(d.firstAt) / bucketTime)
	if bucket <= d.current {
		return
	}
	if bucket-d.current >= int64(buckets) {
		d.ring = [buckets][MaxLevels]counts{}
		d.levels = [MaxLevels]counts{}
		d.all = counts{}
		d.current = bucket
		return
	}
	for d.current < bucket {
		d.current++
		expired := &d.ring[d.current%int64(buckets)]
		for l, c := range expired {
			negative := counts{-c.arrived, -c.placed, -c.refused}
			d.levels[l].add(negative)
			d.all.add(negative)
		}
		*expired = [MaxLevels]counts{}
	}
}

// Limits returns what a level may use now. With requests of a single level, it is the zero
// value.
func (d *Demand) Limits(now time.Time, l Level) Limits {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.advance(now)
	limits := Limits{MayWait: d.hasOtherLevels(l)}
	if !limits.MayWait || !d.isShort(now) || d.isBelowFloor(l) {
		return limits
	}
	moreUrgent := 0
	for u := range l {
		moreUrgent += d.levels[u].arrived
		if d.levels[u].arrived > 0 {
			limits.ReservedSlots++
		}
	}
	limits.Reserve = maxReserve * float64(moreUrgent) / float64(d.all.arrived)
	return limits
}

// hasOtherLevels reports whether requests of other levels than l arrive.
func (d *Demand) hasOtherLevels(l Level) bool { return d.all.arrived > d.levels[l].arrived }

func (d *Demand) isShort(now time.Time) bool { return now.Sub(d.noRoomAt) < shortTime }

// isBelowFloor reports whether a level is served so much less often than the service as a
// whole that it must not be limited any further.
func (d *Demand) isBelowFloor(l Level) bool {
	own := d.levels[l]
	if own.arrived < floorSample {
		return false
	}
	return float64(own.placed)*float64(d.all.arrived) < floorShare*float64(d.all.placed)*float64(own.arrived)
}

// placedLastSecond returns the number of requests placed in the last second.
func (d *Demand) placedLastSecond() int {
	n := 0
	for i := range placedBuckets {
		for l := range MaxLevels {
			n += d.ring[(d.current-int64(i)+int64(buckets))%int64(buckets)][l].placed
		}
	}
	return n
}

// EntryWait returns how long a request may wait at the entry: until it could only just meet
// its target latency. first is the time that it takes at an idle server to its first event.
func EntryWait(target, first time.Duration) time.Duration {
	return max(0, TimeToFirst(target, 0)-first)
}

// TimeToFirst returns the longest predicted time to the first event with which a request that
// has waited at the entry is placed.
func TimeToFirst(target, waited time.Duration) time.Duration {
	return time.Duration(entryWaitShare*float64(target)) - waited
}
