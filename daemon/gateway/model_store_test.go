package gateway

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"chivespindle.example/core/catalog"
	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
)

// modelStore is the platform's store in simulated time. It remembers when servers
// registered and when they began to leave.
type modelStore struct {
	m       *model
	now     catalog.Snapshot
	history []catalog.Change
	// first is the oldest revision whose successors are kept.
	first   catalog.Revision
	waiting []*modelWatch
	// leftAt is when a server's leaving was acknowledged, liveSince since when another
	// has been registered and does not leave.
	leftAt, liveSince map[fleet.InstanceID]time.Time
	// configAt is when the configuration in force was acknowledged.
	configAt time.Time
	wroteAt  map[catalog.Revision]time.Time
	next     int
}

// modelWatch is a watch that waits for a change.
type modelWatch struct {
	after  catalog.Revision
	answer func(now time.Time, changes []catalog.Change, asOf catalog.Revision)
}

func newModelStore(m *model, servers int) *modelStore {
	s := &modelStore{
		m:       m,
		wroteAt: make(map[catalog.Revision]time.Time),
		leftAt:  make(map[fleet.InstanceID]time.Time), liveSince: make(map[fleet.InstanceID]time.Time),
	}
	c := config(1)
	c.Services[0].Engine = nil // servers without agents
	s.now = catalog.Snapshot{AsOf: 100, OperatorAsOf: 100, Config: c, ConfigRevision: 90}
	for range servers {
		s.registerNew(start)
	}
	s.first = s.now.AsOf
	s.history = nil
	return s
}

// write makes a change.
func (s *modelStore) write(now time.Time, c catalog.Change) {
	c.Revision = s.now.AsOf + 1
	if c.Server != nil {
		c.Server.Revision = c.Revision
	}
	s.history = append(s.history, c)
	s.wroteAt[c.Revision] = now
	s.now = s.now.Apply([]catalog.Change{c}, c.Revision)
	waited := s.waiting
	s.waiting = nil
	for _, w := range waited {
		w.answer(now, []catalog.Change{c}, c.Revision)
	}
}

func (s *modelStore) register(now time.Time, server catalog.Server) {
	server.Draining = false
	s.write(now, catalog.Change{Server: &server})
	s.liveSince[server.ID] = now
	delete(s.leftAt, server.ID)
}

func (s *modelStore) registerNew(now time.Time) {
	s.next++
	s.register(now, server(fleet.InstanceID(fmt.Sprintf("i-%d", s.next)), fmt.Sprintf("10.0.9.%d:80", s.next%200+1), 0))
}

// leave has a server begin to leave. Some say so, of others only the registration ends.
func (s *modelStore) leave(now time.Time, old catalog.Server, r *rand.Rand) {
	delete(s.liveSince, old.ID)
	s.leftAt[old.ID] = now
	remove := func(now time.Time) {
		if _, left := s.leftAt[old.ID]; left && hasServer(s.now.Servers, old.ID) {
			s.write(now, catalog.Change{Removed: old.ID})
		}
	}
	if r.IntN(2) == 0 {
		remove(now)
	} else {
		old.Draining = true
		s.write(now, catalog.Change{Server: &old})
		s.m.after(time.Second+s.m.chance(3*time.Second), remove)
	}
	switch back := s.m.chance(4 * time.Second); r.IntN(4) {
	case 0: // comes again
		s.m.after(back, func(now time.Time) {
			if _, left := s.leftAt[old.ID]; left {
				s.register(now, old)
			}
		})
	case 1:
	default: // another takes its place
		s.m.after(back, s.registerNew)
	}
}

// compact forgets the history.
func (s *modelStore) compact(time.Time) {
	s.first = s.now.AsOf
}

// crash has a server start again under another id at its address. Its first registration
// ends later.
func (s *modelStore) crash(now time.Time) {
	live := s.live()
	if len(live) == 0 {
		return
	}
	old := live[0]
	delete(s.liveSince, old.ID)
	s.next++
	next := old
	next.ID = fleet.InstanceID(fmt.Sprintf("i-%d", s.next))
	s.register(now, next)
	s.m.after(2*time.Second, func(now time.Time) {
		s.leftAt[old.ID] = now
		s.write(now, catalog.Change{Removed: old.ID})
	})
}

// live returns the servers that do not leave.
func (s *modelStore) live() []catalog.Server {
	return slices.DeleteFunc(slices.Clone(s.now.Servers), func(server catalog.Server) bool { return server.Draining })
}

func (s *modelStore) publish(now time.Time) {
	c := *s.now.Config
	c.Version++
	s.write(now, catalog.Change{Config: &c})
	s.configAt = now
}

func (s *modelStore) name(now time.Time) {
	version := uint64(1)
	if w, ok := s.now.WantedVersion("m"); ok {
		version = w.Version + 1
	}
	s.write(now, catalog.Change{Wanted: &catalog.Wanted{Model: "m", Version: version}})
}

func (s *modelStore) list() catalog.Snapshot {
	all := s.now
	all.Servers = slices.Clone(all.Servers)
	return all
}

// watch answers at once if something happened, else at the next change or the end.
func (s *modelStore) watch(now time.Time, w *modelWatch, wait time.Duration) error {
	if w.after < s.first {
		return catalog.HistoryGone.New("the history since %d is gone", w.after)
	}
	var changes []catalog.Change
	for _, c := range s.history {
		if c.Revision > w.after {
			changes = append(changes, c)
		}
	}
	if len(changes) > 0 {
		w.answer(now, changes, s.now.AsOf)
		return nil
	}
	s.waiting = append(s.waiting, w)
	s.m.after(wait, func(now time.Time) {
		if i := slices.Index(s.waiting, w); i >= 0 {
			s.waiting = slices.Delete(s.waiting, i, i+1)
			w.answer(now, nil, s.now.AsOf)
		}
	})
	return nil
}

// follower is Follow of one entry in simulated time.
type follower struct {
	e        *modelEntry
	at       position
	failures int
	// call counts the calls; the answers of earlier ones are not taken.
	call  int
	ended func() bool // by the entry itself; nil while no call runs
	calls int
	lists int
	bytes int
}

func (f *follower) turn(now time.Time) {
	e := f.e
	if !e.alive {
		return
	}
	ctx, _ := e.g.reading.begin(e.g.ctx)
	v := e.g.view.Load()
	if v == nil || !v.readsPlatform {
		f.at.answered = false
		e.m.after(idlePoll, f.turn)
		return
	}
	f.call++
	f.calls++
	f.ended = func() bool { return ctx.Err() != nil }
	call, began, patience := f.call, now, f.at.patience()
	f.at.takeFromPeers(v)
	out := e.m.storeWay(now, e)
	if e.isCutFromStore(now) {
		e.m.after(patience+catalog.ResponseTimeout, func(now time.Time) { f.failed(now, call, failure.Timeout.New("cut off")) })
		return
	}
	if f.at.gone || f.at.servers == 0 {
		f.lists++
		e.m.after(out, func(now time.Time) {
			s := e.m.store.list()
			f.bytes += sizeOf(s)
			e.m.after(e.m.storeWay(now, e), func(now time.Time) {
				f.answered(now, call, func() {
					e.g.adoptList(now, s, reading{origin: fromStore, readAt: began})
					f.at.servers, f.at.operator, f.at.gone = s.AsOf, s.AsOf, false
				})
			})
		})
		return
	}
	after := min(f.at.servers, f.at.operator)
	e.m.after(out, func(now time.Time) {
		err := e.m.store.watch(now, &modelWatch{after: after, answer: func(now time.Time, changes []catalog.Change, asOf catalog.Revision) {
			f.bytes += sizeOf(changes)
			e.m.after(e.m.storeWay(now, e), func(now time.Time) {
				f.answered(now, call, func() {
					e.g.adoptChanges(now, changes, asOf, reading{origin: fromStore, readAt: watchedAt(began, now, patience)})
					f.at.servers, f.at.operator = max(f.at.servers, asOf), max(f.at.operator, asOf)
				})
			})
		}}, patience)
		if err != nil {
			f.at.gone = true
			f.ended = nil
			e.m.after(out, f.turn)
		}
	})
}

func (f *follower) answered(now time.Time, call int, take func()) {
	if !f.e.alive || call != f.call || f.ended == nil {
		return
	}
	f.ended = nil
	if f.e.isCutFromStore(now) {
		f.ended = func() bool { return false }
		f.e.m.after(catalog.ResponseTimeout, func(now time.Time) { f.failed(now, call, failure.Timeout.New("cut off")) })
		return
	}
	f.e.g.sourceAnswered(now)
	take()
	f.failures = 0
	f.at.answered = true
	f.e.m.after(f.e.g.watchPause(), f.turn)
}

func (f *follower) failed(now time.Time, call int, err error) {
	if !f.e.alive || call != f.call || f.ended == nil {
		return
	}
	f.ended = nil
	f.failures++
	f.at.answered = false
	f.e.g.sourceFailed(now, err)
	f.e.m.after(sourcePauseMin+f.e.m.chance(sourcePauseMax), f.turn)
}

// endIfCancelled goes on after a call that the entry ended itself.
func (f *follower) endIfCancelled(now time.Time) {
	if f.ended != nil && f.ended() {
		f.ended = nil
		f.turn(now)
	}
}

func modelAddr(i int) netip.Addr {
	return netip.AddrFrom4([4]byte{10, 0, byte((i + 1) >> 8), byte(i + 1)})
}
