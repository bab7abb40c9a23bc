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
	group      *group
	members    []member
	tiers      [tierCount][]*member
	slots      float64            // sum
	others     float64            // sum
	tierOthers [tierCount]float64 // mean for each slot
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
	var tierSlots [tierCount]float64
	for i := range p.members {
		m := &p.members[i]
		p.tiers[m.tier] = append(p.tiers[m.tier], m)
		p.slots += m.slots
		p.others += m.others
		tierSlots[m.tier] += m.slots
		p.tierOthers[m.tier] += m.others
	}
	for tier, slots := range tierSlots {
		if slots > 0 {
			p.tierOthers[tier] /= slots
		}
	}
}

// freshness is how much the server's last report still says of it, from 1 for
// a new one to 0; life is its time constant.
func (m *member) freshness(now time.Time, life time.Duration) float64 {
	if m.Report.Received.IsZero() {
		return 0
	}
	age := now.Sub(m.Report.Received) + m.Report.AgeOnReceipt
	if age <= 0 {
		return 1
	}
	return math.Exp(-float64(age) / float64(life))
}

// The bounds of the time constant with which reports fade.
const (
	minReportLife = 200 * time.Millisecond
	maxReportLife = time.Minute
)

// reportLife is the time constant with which reports fade: what a server was
// doing says nothing once those requests have ended.
func (p *pool) reportLife(settings *Settings) time.Duration {
	seconds := math.Float64frombits(p.group.duration.Load())
	if seconds == 0 {
		return settings.ReportDecay
	}
	life := time.Duration(seconds * float64(time.Second))
	return min(max(life, minReportLife), maxReportLife)
}
