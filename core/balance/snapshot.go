package balance

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"chivespindle.example/core/fleet"
)

// Snapshot is one immutable view of the servers. The control goroutine makes
// a new one when reports or the list change; traffic goroutines read it.
type Snapshot struct {
	settings Settings
	tracker  *Tracker
	pools    map[fleet.ServiceName]*pool
}

// pool holds the servers of one service.
type pool struct {
	group       *group
	members     []member
	tiers       [tierCount][]*member
	slots       float64 // sum
	others      float64 // sum
	meanLatency float64 // seconds, over servers that have one; 0: none
}

// member is one server with what the snapshot fixes about it.
type member struct {
	Server
	state  *state
	tier   Tier
	hash   uint64
	slots  float64
	others float64 // requests that are not this entry's, by the last report
	since  instant // ServingSince
}

// NewSnapshot returns the view of an entry at self on servers. The tracker
// forgets servers that are not listed any more. Only one goroutine may make
// snapshots of one tracker.
func NewSnapshot(self fleet.Place, servers []Server, tracker *Tracker, settings Settings) *Snapshot {
	s := &Snapshot{
		settings: settings.withDefaults(),
		tracker:  tracker,
		pools:    map[fleet.ServiceName]*pool{},
	}
	states := tracker.observe(servers)
	for i := range servers {
		s.add(self, &servers[i], states[i])
	}
	for _, p := range s.pools {
		p.finish()
	}
	return s
}

func (s *Snapshot) add(self fleet.Place, server *Server, st *state) {
	p := s.pools[server.Service]
	if p == nil {
		p = &pool{group: s.tracker.group(server.Service)}
		s.pools[server.Service] = p
	}
	load := server.Report.Load
	slots := load.Slots
	if slots <= 0 {
		slots = s.settings.DefaultSlots
	}
	others := load.Running + load.Waiting - int(st.ownThen)
	since := longAgo
	if !server.ServingSince.IsZero() {
		since = s.tracker.since(server.ServingSince)
	}
	p.members = append(p.members, member{
		Server: *server,
		state:  st,
		tier:   tierOf(self, server.Place),
		hash:   xxhash.Sum64String(string(server.ID)),
		slots:  float64(slots),
		others: float64(max(0, others)),
		since:  since,
	})
}

func (t *Tracker) group(service fleet.ServiceName) *group {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.groups[service]
}

func tierOf(self, other fleet.Place) Tier {
	switch {
	case self.Region != other.Region:
		return OtherRegion
	case self.Zone != other.Zone:
		return SameRegion
	default:
		return SameZone
	}
}

// finish fills in what depends on all members.
func (p *pool) finish() {
	known := 0
	for i := range p.members {
		m := &p.members[i]
		p.tiers[m.tier] = append(p.tiers[m.tier], m)
		p.slots += m.slots
		p.others += m.others
		if latency := math.Float64frombits(m.state.latency.Load()); latency > 0 {
			p.meanLatency += latency
			known++
		}
	}
	if known > 0 {
		p.meanLatency /= float64(known)
	}
}

// weight is how much the server's last report still counts, 1 for a new one,
// halving with each half-life; 0 if it never came.
func (m *member) weight(now time.Time, halfLife time.Duration) float64 {
	if m.Report.Received.IsZero() {
		return 0
	}
	age := now.Sub(m.Report.Received) + m.Report.Lag
	if age <= 0 {
		return 1
	}
	return math.Exp2(-float64(age) / float64(halfLife))
}
