package gossip

import (
	"math/rand/v2"
	"time"

	"chivespindle.example/core/fleet"
)

// Options configures a Table. Zero durations and counts take the defaults.
type Options struct {
	// Self is the process's own record. Incarnation must be set; an empty
	// State becomes StateStarting.
	Self Record
	// Rand spreads retries and picks what a full message leaves for later.
	Rand *rand.Rand
	// BeatEvery is the time between calls of Beat; default 1 s.
	BeatEvery time.Duration
	// SilentAfter is how long nothing may be heard of a process before it
	// counts as silent; default 5 s. Relays add to it in large zones, see
	// Table.silentLimit.
	SilentAfter time.Duration
	// ForgetAfter is how long a silent process that the platform does not list
	// is remembered; default 60 s.
	ForgetAfter time.Duration
	// AskEvery is the time between two asks for the same record; default 2 s.
	AskEvery time.Duration
	// AvoidFor is how long a neighbour that could not be heard is left out of
	// the overlay; default 30 s.
	AvoidFor time.Duration
	// MaxRecords bounds the records of one Delta; default 256.
	MaxRecords int
	// ZoneNeighbours is the number of neighbours chosen in the own
	// availability zone; default 3.
	ZoneNeighbours int
}

func (o *Options) applyDefaults() {
	setDefault(&o.BeatEvery, time.Second)
	setDefault(&o.SilentAfter, 5*time.Second)
	setDefault(&o.ForgetAfter, 60*time.Second)
	setDefault(&o.AskEvery, 2*time.Second)
	setDefault(&o.AvoidFor, 30*time.Second)
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

// relayedPerSecond bounds the heartbeats that cross one link of a zone in a
// second, however large the zone grows.
const relayedPerSecond = 20

// Table is one process's soft copy of the fleet.
type Table struct {
	opt     Options
	self    *entry
	entries map[fleet.InstanceID]*entry
	links   map[fleet.InstanceID]*link
	// forgotten keeps a deleted record from coming back by a neighbour that
	// has not deleted it yet.
	forgotten map[fleet.InstanceID]tombstone
	// unheard are listed processes of which no record is held.
	unheard map[*entry]bool
	chosen  map[*entry]bool // neighbours at present
	// zoneFailures counts neighbours lost in a row, per zone.
	zoneFailures map[fleet.Zone]int
	namesake     namesake
	lastSeen     time.Time
	zoneSize     int
	zoneStale    bool    // zoneSize must be counted again
	roster       *roster // shared by views until the members change
}

// entry is what is known of one process.
type entry struct {
	id    fleet.InstanceID
	rec   Record // ID only while nothing was heard
	heard bool   // rec is whole
	// wideChange is the Change with which the part of the state that matters
	// outside the zone came.
	wideChange uint64
	listed     bool
	instance   fleet.Instance // the platform's line, zero if never listed

	// basis is when something new was heard last, or when listening began.
	basis      time.Time
	firstSeen  time.Time
	lastHeard  time.Time // zero if never
	lastDirect time.Time // last heartbeat from the process itself
	unlistedAt time.Time // when the list stopped naming it, or its first sight
	lost       bool      // chosen as a neighbour and not to be heard

	asked      time.Time // last ask for the whole record
	chosenAt   time.Time // as a neighbour
	avoidUntil time.Time
	ringPlace  uint64 // place on the ring of its zone
	weight     uint64 // rendezvous weight for this process
}

// link is what one neighbour is known to hold.
type link struct {
	inZone bool // the neighbour is of the own zone
	known  map[*entry]mark
	// owed are entries whose whole record the neighbour has asked for.
	owed map[*entry]bool
	// pending are entries that may have something for the neighbour. Without
	// it each Delta would look at the whole fleet.
	pending map[*entry]bool
}

type tombstone struct {
	last  mark
	until time.Time
}

// New returns a table that holds nothing but the process's own record.
func New(opt Options) *Table {
	opt.applyDefaults()
	t := &Table{
		opt:       opt,
		entries:   map[fleet.InstanceID]*entry{},
		links:     map[fleet.InstanceID]*link{},
		forgotten: map[fleet.InstanceID]tombstone{},
		unheard:   map[*entry]bool{},
		chosen:    map[*entry]bool{},
		zoneSize:  1,

		zoneFailures: map[fleet.Zone]int{},
	}
	rec := opt.Self
	if rec.State == "" {
		rec.State = StateStarting
	}
	if rec.Change == 0 {
		rec.Change = 1
	}
	rec.Turn = max(rec.Turn, rec.Incarnation)
	t.self = t.newEntry(rec.ID)
	t.self.rec = rec
	t.self.heard = true
	return t
}

func (t *Table) newEntry(id fleet.InstanceID) *entry {
	return &entry{
		id:        id,
		rec:       Record{ID: id},
		ringPlace: Rendezvous("ring", id),
		weight:    Rendezvous(string(t.opt.Self.ID), id),
	}
}

// Self returns the process's own record.
func (t *Table) Self() Record { return t.self.rec }

// UpdateSelf lets edit change the own record. A change of the state raises
// Change; a change of the identity, such as an address, begins a new
// incarnation. ID and the counters are not the caller's to change, and Turn
// cannot fall.
func (t *Table) UpdateSelf(edit func(*Record)) {
	before := t.self.rec
	after := before
	edit(&after)
	after.ID = before.ID
	after.Incarnation = before.Incarnation
	after.Change = before.Change
	after.Beat = before.Beat
	after.Turn = max(after.Turn, before.Turn)
	if after.State == "" {
		after.State = before.State
	}
	if after.slow() != before.slow() {
		after.Change++
	}
	if after.identity() != before.identity() {
		after.Incarnation++
	}
	t.self.rec = after
}

// Beat counts one heartbeat. It is called every Options.BeatEvery; the caller
// then sends each neighbour its Delta.
func (t *Table) Beat(now time.Time) {
	t.observe(now)
	t.self.rec.Beat++
	t.overtakeNamesake(now)
	t.forget(now)
}

// SetListed takes the platform's lagging list. A process that it names and
// that was never heard counts as silent.
func (t *Table) SetListed(now time.Time, list []fleet.Instance) {
	t.observe(now)
	named := make(map[fleet.InstanceID]bool, len(list))
	for _, instance := range list {
		if instance.ID == t.self.id {
			continue
		}
		named[instance.ID] = true
		e := t.ensure(now, instance.ID)
		e.instance = instance
		e.listed = true
		if !e.heard {
			t.unheard[e] = true
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

func (t *Table) ensure(now time.Time, id fleet.InstanceID) *entry {
	e := t.entries[id]
	if e != nil {
		return e
	}
	e = t.newEntry(id)
	e.basis = now
	e.firstSeen = now
	e.unlistedAt = now
	t.entries[id] = e
	t.membersChanged()
	return e
}

// membersChanged drops what is derived from who is there and where.
func (t *Table) membersChanged() {
	t.zoneStale = true
	t.roster = nil
}

// observe notices that the process itself was not running. A process that
// wakes after a pause has heard nothing for that time, through its own fault:
// without this it would see the whole fleet silent, leave all its neighbours
// and count every replica as out. Those who were not silent when it fell
// asleep get the full time to be heard again.
func (t *Table) observe(now time.Time) {
	asleep := !t.lastSeen.IsZero() && now.Sub(t.lastSeen) > t.opt.SilentAfter
	if asleep {
		t.listenAgain(now)
	}
	if now.After(t.lastSeen) {
		t.lastSeen = now
	}
	t.markLost(now)
}

func (t *Table) listenAgain(now time.Time) {
	for _, e := range t.entries {
		if t.silent(e, t.lastSeen) {
			continue
		}
		e.basis = now
		e.chosenAt = now
	}
}

// markLost finds chosen neighbours that cannot be heard. Nobody passes on
// heartbeats across zones, so this is the only notice of them.
func (t *Table) markLost(now time.Time) {
	for e := range t.chosen {
		heard := latest(e.chosenAt, e.lastDirect)
		if now.Sub(heard) <= t.opt.SilentAfter {
			continue
		}
		delete(t.chosen, e)
		e.avoidUntil = now.Add(t.jitter(t.opt.AvoidFor))
		e.lost = now.Sub(latest(e.basis, e.chosenAt)) > t.opt.SilentAfter
		t.zoneFailures[e.zone()]++
	}
}

// silent reports whether e does not speak.
func (t *Table) silent(e *entry, now time.Time) bool {
	if !e.heard || e.lost {
		return true
	}
	if e.zone() == t.self.rec.Zone {
		return now.Sub(e.basis) > t.silentLimit()
	}
	return !e.listed && now.Sub(latest(e.basis, e.unlistedAt)) > t.opt.ForgetAfter
}

// relayEvery is how many heartbeats a record must have gained before it is
// passed on once more. It grows with the zone, so that the cost per link
// stays at relayedPerSecond heartbeats.
func (t *Table) relayEvery() uint64 {
	t.countZone()
	perBeat := max(1, int(relayedPerSecond*t.opt.BeatEvery/time.Second))
	return uint64(max(1, (t.zoneSize+perBeat-1)/perBeat))
}

// silentLimit is how long a process of the own zone may say nothing: the
// configured time and one and a half relay intervals, since a heartbeat may
// just have missed one.
func (t *Table) silentLimit() time.Duration {
	relay := time.Duration(t.relayEvery()) * t.opt.BeatEvery
	return t.opt.SilentAfter + relay + relay/2
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

// forget deletes processes that are neither listed nor heard. A tombstone
// keeps a neighbour's late copy from bringing them back.
func (t *Table) forget(now time.Time) {
	for id, e := range t.entries {
		if e.listed || !t.silent(e, now) {
			continue
		}
		if now.Sub(latest(e.basis, e.unlistedAt)) <= t.forgetLimit(e) {
			continue
		}
		t.drop(now, id, e)
	}
	for id, stone := range t.forgotten {
		if now.After(stone.until) {
			delete(t.forgotten, id)
		}
	}
}

// forgetLimit is longer for processes whose heartbeats are not heard here:
// the list alone tells of them, and it lags.
func (t *Table) forgetLimit(e *entry) time.Duration {
	if e.heard && e.zone() != t.self.rec.Zone && !e.lost {
		return 2 * t.opt.ForgetAfter
	}
	return t.opt.ForgetAfter
}

// tombstoneFactor times ForgetAfter is how long a deleted record stays
// refused; all processes have deleted it by then.
const tombstoneFactor = 10

func (t *Table) drop(now time.Time, id fleet.InstanceID, e *entry) {
	delete(t.entries, id)
	delete(t.links, id)
	delete(t.unheard, e)
	delete(t.chosen, e)
	for _, l := range t.links {
		delete(l.known, e)
		delete(l.owed, e)
		delete(l.pending, e)
	}
	t.membersChanged()
	if !e.heard {
		return
	}
	t.forgotten[id] = tombstone{last: e.rec.mark(), until: now.Add(tombstoneFactor * t.opt.ForgetAfter)}
}

// jitter returns between one and one and a half times d.
func (t *Table) jitter(d time.Duration) time.Duration {
	return d + time.Duration(t.opt.Rand.Int64N(int64(d)/2+1))
}

func (e *entry) zone() fleet.Zone { return e.place().Zone }

func (e *entry) place() fleet.Place {
	if e.heard {
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
