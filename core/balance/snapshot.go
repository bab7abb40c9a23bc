package balance

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"chivespindle.example/core/fleet"
)

// Snapshot is an immutable view of the servers. The control goroutine builds a
// new one when reports or the list change; request goroutines read it.
type Snapshot struct {
	settings Settings
	tracker  *Tracker
	pools    map[fleet.ServiceName]*pool
}

// pool holds the servers of one service.
type pool struct {
	service    *serviceState
	members    []member
	tiers      [tierCount][]*member
	slots      float64            // sum over the members
	others     float64            // sum over the members
	tierOthers [tierCount]float64 // mean per slot
}

// member is one server with the values that the snapshot computed for it.
type member struct {
	Server
	state         *serverState
	tier          Tier
	hash          uint64
	slots         float64
	others        float64 // requests of others, according to the last report
	slowStartFrom instant // ServingSince
}

// NewSnapshot returns the view that an entry at self has of servers. The
// tracker drops servers that are no longer listed. Only one goroutine may
// create snapshots with the same tracker.
func NewSnapshot(self fleet.Place, servers []Server, tracker *Tracker, settings Settings) *Snapshot {
	s := &Snapshot{
		settings: settings.withDefaults(),
		tracker:  tracker,
		pools:    map[fleet.ServiceName]*pool{},
	}
	states := tracker.update(servers)
	for i := range servers {
		s.add(self, &servers[i], states[i])
	}
	for _, p := range s.pools {
		p.computeTotals()
	}
	return s
}

func (s *Snapshot) add(self fleet.Place, server *Server, st *serverState) {
	p := s.pools[server.Service]
	if p == nil {
		p = &pool{service: s.tracker.serviceOf(server.Service)}
		s.pools[server.Service] = p
	}
	load := server.Report.Load
	slots := load.Slots
	if slots <= 0 {
		slots = s.settings.DefaultSlots
	}
	others := load.Running + load.Waiting - int(st.ownAtReport)
	since := noSlowStart
	if !server.ServingSince.IsZero() {
		since = s.tracker.instantOf(server.ServingSince)
	}
	p.members = append(p.members, member{
		Server:        *server,
		state:         st,
		tier:          tierOf(self, server.Place),
		hash:          xxhash.Sum64String(string(server.ID)),
		slots:         float64(slots),
		others:        float64(max(0, others)),
		slowStartFrom: since,
	})
}

func (t *Tracker) serviceOf(service fleet.ServiceName) *serviceState {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.services[service]
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

// computeTotals computes the values that depend on all members.
func (p *pool) computeTotals() {
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

// freshness returns the weight of the server's last report, from 1 for a new
// one down to 0; decay is the time constant of the decay.
func (m *member) freshness(now time.Time, decay time.Duration) float64 {
	if m.Report.Received.IsZero() {
		return 0
	}
	age := now.Sub(m.Report.Received) + m.Report.AgeOnReceipt
	if age <= 0 {
		return 1
	}
	return math.Exp(-float64(age) / float64(decay))
}

// Bounds of the time constant for the decay of reports.
const (
	minReportDecay = 200 * time.Millisecond
	maxReportDecay = time.Minute
)

// reportDecay returns the time constant for the decay of reports: a server's
// load at some time says nothing once the requests of that time have ended.
func (p *pool) reportDecay(settings *Settings) time.Duration {
	seconds := math.Float64frombits(p.service.duration.Load())
	if seconds == 0 {
		return settings.ReportDecay
	}
	decay := time.Duration(seconds * float64(time.Second))
	return min(max(decay, minReportDecay), maxReportDecay)
}
