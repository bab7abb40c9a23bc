package gossip

import (
	"math/rand/v2"
	"time"

	"chivespindle.example/core/fleet"
)

// Options configures a Table. Zero durations and counts are replaced by the
// defaults.
type Options struct {
	// Self is the process's own record. Incarnation must be set; an empty State
	// becomes StateStarting.
	Self Record
	// Rand is the source of retry jitter and of the choice of records that do
	// not fit into a full message.
	Rand *rand.Rand
	// HeartbeatInterval is the interval between calls of Heartbeat; default
	// 1 s.
	HeartbeatInterval time.Duration
	// SilenceTimeout is how long no new record of a process may arrive before
	// it counts as silent; default 5 s. In large zones the relay interval is
	// added, see Table.silentLimit.
	SilenceTimeout time.Duration
	// ForgetAfter is how long a silent process that the platform does not list
	// is kept; default 60 s.
	ForgetAfter time.Duration
	// RequestInterval is the interval between two requests for the same record;
	// default 2 s.
	RequestInterval time.Duration
	// NeighbourBackoff is how long a neighbour from which nothing was received
	// is left out of the overlay; default 30 s.
	NeighbourBackoff time.Duration
	// MaxRecords is the maximum number of records in one Delta; default 256.
	MaxRecords int
	// ZoneNeighbours is the number of neighbours chosen in the own
	// availability zone; default 3.
	ZoneNeighbours int
}

func (o *Options) applyDefaults() {
	setDefault(&o.HeartbeatInterval, time.Second)
	setDefault(&o.SilenceTimeout, 5*time.Second)
	setDefault(&o.ForgetAfter, 60*time.Second)
	setDefault(&o.RequestInterval, 2*time.Second)
	setDefault(&o.NeighbourBackoff, 30*time.Second)
	setDefault(&o.MaxRecords, 256)
	setDefault(&o.ZoneNeighbours, 3)
	if o.Rand == nil {
		o.Rand = rand.New(rand.NewPCG(Rendezvous("gossip", o.Self.ID), o.Self.Incarnation))
	}
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// maxRelayedPerSecond limits the relayed heartbeats per second on one link
// within a zone, independently of the size of the zone.
const maxRelayedPerSecond = 20

// Table is one process's soft-state copy of the fleet.
type Table struct {
	opt     Options
	self    *entry
	entries map[fleet.InstanceID]*entry
	links   map[fleet.InstanceID]*link
	// tombstones keeps a deleted record from being restored by a neighbour that
	// has not deleted it yet.
	tombstones map[fleet.InstanceID]tombstone
	// missing are listed processes of which no record is held.
	missing    map[*entry]bool
	neighbours map[*entry]bool // current neighbours
	// zoneFailures counts neighbours lost in a row, per zone.
	zoneFailures map[fleet.Zone]int
	duplicate    duplicate
	lastCall     time.Time
	zoneSize     int
	zoneStale    bool       // zoneSize must be recounted
	peerIndex    *peerIndex // shared by views until the members change
}

// entry is what is known of one process.
type entry struct {
	id        fleet.InstanceID
	rec       Record // ID only until a complete record was received
	hasRecord bool   // rec is complete
	// externalStateSeq is the value of StateSeq at the last change of the state
	// that is relevant outside the zone.
	externalStateSeq uint64
	listed           bool
	instance         fleet.Instance // the platform's list entry, zero if never listed

	// silentSince is when a newer record was last received, or when waiting for
	// one began.
	silentSince      time.Time
	firstSeen        time.Time
	lastUpdate       time.Time // zero if never
	lastDirectUpdate time.Time // last heartbeat from the process itself
	unlistedAt       time.Time // when it was removed from the list, or else firstSeen
	lost             bool      // was chosen as a neighbour, but nothing was received

	requestedAt  time.Time // last request for the complete record
	chosenAt     time.Time // when it was chosen as a neighbour
	avoidUntil   time.Time
	ringPosition uint64 // place on the ring of its zone
	weight       uint64 // rendezvous weight for this process
}

// link is what one neighbour is known to hold.
type link struct {
	inZone bool // the neighbour is in the own zone
	known  map[*entry]recordVersion
	// requested are entries whose complete record the neighbour has requested.
	requested map[*entry]bool
	// pending are entries for which there may be something to send to the
	// neighbour. It saves each Delta a scan of the whole fleet.
	pending map[*entry]bool
}

type tombstone struct {
	last  recordVersion
	until time.Time
}

// New returns a table that holds only the process's own record.
func New(opt Options) *Table {
	opt.applyDefaults()
	t := &Table{
		opt:        opt,
		entries:    map[fleet.InstanceID]*entry{},
		links:      map[fleet.InstanceID]*link{},
		tombstones: map[fleet.InstanceID]tombstone{},
		missing:    map[*entry]bool{},
		neighbours: map[*entry]bool{},
		zoneSize:   1,

		zoneFailures: map[fleet.Zone]int{},
	}
	rec := opt.Self
	if rec.State == "" {
		rec.State = StateStarting
	}
	if rec.StateSeq == 0 {
		rec.StateSeq = 1
	}
	rec.RolloutOrder = max(rec.RolloutOrder, rec.Incarnation)
	t.self = t.newEntry(rec.ID)
	t.self.rec = rec
	t.self.hasRecord = true
	return t
}

func (t *Table) newEntry(id fleet.InstanceID) *entry {
	return &entry{
		id:           id,
		rec:          Record{ID: id},
		ringPosition: Rendezvous("ring", id),
		weight:       Rendezvous(string(t.opt.Self.ID), id),
	}
}

// Self returns the process's own record.
func (t *Table) Self() Record { return t.self.rec }

// UpdateSelf applies edit to the process's own record. A change of the state
// raises StateSeq; a change of the identity, such as an address, starts a new
// incarnation. Changes of ID and the counters are ignored, and RolloutOrder
// cannot decrease.
func (t *Table) UpdateSelf(edit func(*Record)) {
	before := t.self.rec
	after := before
	edit(&after)
	after.ID = before.ID
	after.Incarnation = before.Incarnation
	after.StateSeq = before.StateSeq
	after.HeartbeatSeq = before.HeartbeatSeq
	after.RolloutOrder = max(after.RolloutOrder, before.RolloutOrder)
	if after.State == "" {
		after.State = before.State
	}
	if after.stableFields() != before.stableFields() {
		after.StateSeq++
	}
	if after.identity() != before.identity() {
		after.Incarnation++
	}
	t.self.rec = after
}

// Heartbeat counts one heartbeat. It is to be called every
// Options.HeartbeatInterval; the caller then sends each neighbour its Delta.
func (t *Table) Heartbeat(now time.Time) {
	t.advanceClock(now)
	t.self.rec.HeartbeatSeq++
	t.supersedePredecessor(now)
	t.forget(now)
}

// SetListed applies the platform's list, which lags. A listed process of which
// no record was received counts as silent.
func (t *Table) SetListed(now time.Time, list []fleet.Instance) {
	t.advanceClock(now)
	named := make(map[fleet.InstanceID]bool, len(list))
	for _, instance := range list {
		if instance.ID == t.self.id {
			continue
		}
		named[instance.ID] = true
		e := t.ensureEntry(now, instance.ID)
		e.instance = instance
		e.listed = true
		if !e.hasRecord {
			t.missing[e] = true
		}
	}
	for id, e := range t.entries {
		if e.listed && !named[id] {
			e.listed = false
			e.unlistedAt = now
		}
	}
	t.forget(now)
	t.membersChanged()
}

func (t *Table) ensureEntry(now time.Time, id fleet.InstanceID) *entry {
	e := t.entries[id]
	if e != nil {
		return e
	}
	e = t.newEntry(id)
	e.silentSince = now
	e.firstSeen = now
	e.unlistedAt = now
	t.entries[id] = e
	t.membersChanged()
	return e
}

// membersChanged invalidates the data derived from the set of processes and
// their places.
func (t *Table) membersChanged() {
	t.zoneStale = true
	t.peerIndex = nil
}

// advanceClock advances the table's clock and detects pauses of this process. A
// process that was paused has received nothing meanwhile. Without this check it
// would take the whole fleet for silent, drop all its neighbours and count
// every replica as out of service. Processes that were not silent before the
// pause get the full time limit again.
func (t *Table) advanceClock(now time.Time) {
	paused := !t.lastCall.IsZero() && now.Sub(t.lastCall) > t.opt.SilenceTimeout
	if paused {
		t.restartSilence(now)
	}
	if now.After(t.lastCall) {
		t.lastCall = now
	}
	t.markLost(now)
}

func (t *Table) restartSilence(now time.Time) {
	for _, e := range t.entries {
		if t.silent(e, t.lastCall) {
			continue
		}
		e.silentSince = now
		e.chosenAt = now
	}
}

// markLost finds chosen neighbours from which no heartbeat arrives. Heartbeats
// are not relayed across zones, so there is no other way to detect this.
func (t *Table) markLost(now time.Time) {
	for e := range t.neighbours {
		heard := latest(e.chosenAt, e.lastDirectUpdate)
		if now.Sub(heard) <= t.opt.SilenceTimeout {
			continue
		}
		delete(t.neighbours, e)
		e.avoidUntil = now.Add(t.jitter(t.opt.NeighbourBackoff))
		e.lost = now.Sub(latest(e.silentSince, e.chosenAt)) > t.opt.SilenceTimeout
		t.zoneFailures[e.zone()]++
	}
}

// silent reports whether no record of e arrives any more.
func (t *Table) silent(e *entry, now time.Time) bool {
	if !e.hasRecord || e.lost {
		return true
	}
	if e.zone() == t.self.rec.Zone {
		return now.Sub(e.silentSince) > t.silentLimit()
	}
	return !e.listed && now.Sub(latest(e.silentSince, e.unlistedAt)) > t.opt.ForgetAfter
}

// relayEvery is the number of heartbeats by which a record must have advanced
// before it is relayed again. It grows with the zone, so that the load per link
// stays at maxRelayedPerSecond heartbeats.
func (t *Table) relayEvery() uint64 {
	t.countZone()
	perBeat := max(1, int(maxRelayedPerSecond*t.opt.HeartbeatInterval/time.Second))
	return uint64(max(1, (t.zoneSize+perBeat-1)/perBeat))
}

// silentLimit is how long no new record of a process in the own zone may
// arrive: the configured time plus one and a half relay intervals, since a
// heartbeat may just have missed a relay.
func (t *Table) silentLimit() time.Duration {
	relay := time.Duration(t.relayEvery()) * t.opt.HeartbeatInterval
	return t.opt.SilenceTimeout + relay + relay/2
}

func (t *Table) countZone() {
	if !t.zoneStale {
		return
	}
	t.zoneStale = false
	t.zoneSize = 1
	for _, e := range t.entries {
		if e.zone() == t.self.rec.Zone {
			t.zoneSize++
		}
	}
}

// forget deletes processes that are silent and not listed. A tombstone keeps a
// delayed copy at a neighbour from restoring them.
func (t *Table) forget(now time.Time) {
	for id, e := range t.entries {
		if e.listed || !t.silent(e, now) {
			continue
		}
		if now.Sub(latest(e.silentSince, e.unlistedAt)) <= t.forgetLimit(e) {
			continue
		}
		t.remove(now, id, e)
	}
	for id, stone := range t.tombstones {
		if now.After(stone.until) {
			delete(t.tombstones, id)
		}
	}
}

// forgetLimit is longer for processes whose heartbeats are not relayed to this
// one: only the list, which lags, shows whether they exist.
func (t *Table) forgetLimit(e *entry) time.Duration {
	if e.hasRecord && e.zone() != t.self.rec.Zone && !e.lost {
		return 2 * t.opt.ForgetAfter
	}
	return t.opt.ForgetAfter
}

// tombstoneFactor times ForgetAfter is how long a deleted record is rejected;
// all processes have deleted it by then.
const tombstoneFactor = 10

func (t *Table) remove(now time.Time, id fleet.InstanceID, e *entry) {
	delete(t.entries, id)
	delete(t.links, id)
	delete(t.missing, e)
	delete(t.neighbours, e)
	for _, l := range t.links {
		delete(l.known, e)
		delete(l.requested, e)
		delete(l.pending, e)
	}
	t.membersChanged()
	if !e.hasRecord {
		return
	}
	t.tombstones[id] = tombstone{last: e.rec.version(), until: now.Add(tombstoneFactor * t.opt.ForgetAfter)}
}

// jitter returns a random duration between d and 1.5 d.
func (t *Table) jitter(d time.Duration) time.Duration {
	return d + time.Duration(t.opt.Rand.Int64N(int64(d)/2+1))
}

func (e *entry) zone() fleet.Zone { return e.place().Zone }

func (e *entry) place() fleet.Place {
	if e.hasRecord {
		return e.rec.Place
	}
	return e.instance.Place
}

func (e *entry) leaving() bool { return e.rec.Leaving || e.instance.Leaving && e.listed }

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
