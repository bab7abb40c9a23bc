package gossip_test

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"chivespindle.example/core/fleet"
	"chivespindle.example/core/gossip"
)

// member returns the record of a replica with realistic field lengths.
func member(id fleet.InstanceID, place fleet.Place) gossip.Record {
	version := fleet.Version{Name: "kielimalli-2031-04", Manifest: fleet.DigestOf([]byte("weights"))}
	return gossip.Record{
		ID: id, Incarnation: 1_900_000_000_000, Role: fleet.RoleAgent, Service: "kielimalli", Place: place,
		PeerAddr: netip.MustParseAddrPort("127.0.0.1:7400"),
		State:    gossip.StateServing, Serving: version, Target: version,
		Revision: 1_000_000, ConfigDigest: fleet.DigestOf([]byte("text")),
	}
}

func instance(r gossip.Record) fleet.Instance {
	return fleet.Instance{ID: r.ID, Role: r.Role, Service: r.Service, Place: r.Place, PeerAddr: r.PeerAddr}
}

// places returns zones evenly spread over regions.
func places(regions, zonesEach int) []fleet.Place {
	var list []fleet.Place
	for r := range regions {
		for z := range zonesEach {
			region := fmt.Sprintf("region-%d", r)
			list = append(list, fleet.Place{Region: fleet.Region(region), Zone: fleet.Zone(fmt.Sprintf("%s-zone-%d", region, z))})
		}
	}
	return list
}

type pair struct{ a, b fleet.InstanceID }

func pairOf(a, b fleet.InstanceID) pair {
	if b < a {
		return pair{b, a}
	}
	return pair{a, b}
}

// group runs the tables of several processes on one clock. Messages sent in a
// tick arrive in the same tick and are relayed in the next.
type group struct {
	now     time.Time
	tables  map[fleet.InstanceID]*gossip.Table
	crashed map[fleet.InstanceID]bool
	frozen  map[fleet.InstanceID]bool
	links   map[pair]bool
	cut     func(a, b fleet.InstanceID) bool
	list    []fleet.Instance

	zoneNeighbours int

	bytes, records int // sent, over all links and both directions
}

func newGroup(each int, in []fleet.Place) *group {
	return newGroupOf(each, in, "i", 0)
}

// newGroupOf takes a prefix for the ids, which all hashes depend on, and the
// number of neighbours in the zone.
func newGroupOf(each int, in []fleet.Place, prefix string, zoneNeighbours int) *group {
	g := &group{
		now:     time.Now(),
		tables:  map[fleet.InstanceID]*gossip.Table{},
		crashed: map[fleet.InstanceID]bool{},
		frozen:  map[fleet.InstanceID]bool{},
		links:   map[pair]bool{},
		cut:     func(_, _ fleet.InstanceID) bool { return false },

		zoneNeighbours: zoneNeighbours,
	}
	for _, place := range in {
		for i := range each {
			g.add(member(fleet.InstanceID(fmt.Sprintf("%s-%s-%04d", prefix, place.Zone, i)), place))
		}
	}
	return g
}

func (g *group) add(r gossip.Record) {
	g.tables[r.ID] = gossip.New(gossip.Options{Self: r, ZoneNeighbours: g.zoneNeighbours})
	g.list = append(g.list, instance(r))
}

func (g *group) ids() []fleet.InstanceID {
	var list []fleet.InstanceID
	for id := range g.tables {
		if !g.crashed[id] && !g.frozen[id] {
			list = append(list, id)
		}
	}
	slices.Sort(list)
	return list
}

func (g *group) up(id fleet.InstanceID) bool {
	return g.tables[id] != nil && !g.crashed[id] && !g.frozen[id]
}

// publish passes the platform's list to every live table.
func (g *group) publish() {
	for _, id := range g.ids() {
		g.tables[id].SetListed(g.now, g.list)
	}
}

func (g *group) ticks(n int) {
	for range n {
		g.tick()
	}
}

func (g *group) tick() {
	g.now = g.now.Add(time.Second)
	for _, id := range g.ids() {
		g.tables[id].Heartbeat(g.now)
	}
	g.connect()
	type message struct {
		from, to fleet.InstanceID
		records  []gossip.Record
	}
	var sent []message
	for _, p := range g.sortedLinks() {
		sent = append(sent, message{p.a, p.b, g.tables[p.a].Delta(g.now, p.b)})
		sent = append(sent, message{p.b, p.a, g.tables[p.b].Delta(g.now, p.a)})
	}
	for _, m := range sent {
		g.count(m.records)
		g.tables[m.to].Merge(g.now, m.from, m.records)
		g.tables[m.from].Acknowledge(g.now, m.to, m.records)
	}
}

// connect opens the links that either end has chosen and closes the others.
func (g *group) connect() {
	wanted := map[pair]bool{}
	for _, id := range g.ids() {
		for _, contact := range g.tables[id].Neighbours(g.now) {
			if g.up(contact.ID) && !g.cut(id, contact.ID) {
				wanted[pairOf(id, contact.ID)] = true
			}
		}
	}
	for p := range g.links {
		if !wanted[p] {
			g.reset(p)
		}
	}
	for p := range wanted {
		if !g.links[p] {
			g.reset(p)
		}
	}
	g.links = wanted
}

func (g *group) reset(p pair) {
	g.tables[p.a].ResetPeer(p.b)
	g.tables[p.b].ResetPeer(p.a)
}

func (g *group) sortedLinks() []pair {
	var list []pair
	for p := range g.links {
		list = append(list, p)
	}
	slices.SortFunc(list, func(x, y pair) int {
		return cmp.Or(cmp.Compare(x.a, y.a), cmp.Compare(x.b, y.b))
	})
	return list
}

func (g *group) count(records []gossip.Record) {
	raw, err := cbor.Marshal(records)
	if err != nil {
		panic(err)
	}
	g.bytes += len(raw)
	g.records += len(records)
}

// connected reports whether the links connect all live processes.
func (g *group) connected() bool {
	live := g.ids()
	if len(live) == 0 {
		return true
	}
	neighbours := map[fleet.InstanceID][]fleet.InstanceID{}
	for p := range g.links {
		neighbours[p.a] = append(neighbours[p.a], p.b)
		neighbours[p.b] = append(neighbours[p.b], p.a)
	}
	reached := map[fleet.InstanceID]bool{live[0]: true}
	queue := []fleet.InstanceID{live[0]}
	for len(queue) > 0 {
		id := queue[0]
		queue = queue[1:]
		for _, next := range neighbours[id] {
			if !reached[next] {
				reached[next] = true
				queue = append(queue, next)
			}
		}
	}
	return len(reached) == len(live)
}

// converged reports whether every live table holds the required data of every
// live process: the current state in its own zone, and elsewhere whether the
// process serves and which version.
func (g *group) converged() bool {
	ids := g.ids()
	truth := map[fleet.InstanceID]gossip.Record{}
	for _, id := range ids {
		truth[id] = g.tables[id].Self()
	}
	for _, id := range ids {
		view := g.tables[id].View(g.now)
		for _, other := range ids {
			peer, known := view.Peer(other)
			if other != id && (!known || !current(peer.Record, truth[other], peer.Zone == truth[id].Zone)) {
				return false
			}
		}
	}
	return true
}

func current(held, truth gossip.Record, sameZone bool) bool {
	if sameZone {
		return held.Incarnation == truth.Incarnation && held.StateSeq == truth.StateSeq
	}
	out := func(r gossip.Record) bool {
		return r.State == gossip.StateStarting || r.State == gossip.StateChanging
	}
	return held.Leaving == truth.Leaving && held.Serving == truth.Serving && out(held) == out(truth)
}

func flip(s gossip.State) gossip.State {
	if s == gossip.StateChanging {
		return gossip.StateServing
	}
	return gossip.StateChanging
}

// linksBetween counts the links of id between two zones.
func (g *group) linksBetween(id fleet.InstanceID, a, b fleet.Zone) int {
	count := 0
	for p := range g.links {
		zones := [2]fleet.Zone{g.tables[p.a].Self().Zone, g.tables[p.b].Self().Zone}
		across := zones == [2]fleet.Zone{a, b} || zones == [2]fleet.Zone{b, a}
		if across && (p.a == id || p.b == id) {
			count++
		}
	}
	return count
}
