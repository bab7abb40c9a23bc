package slopes

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/gossip"
	"chivespindle.example/daemon/wire"
)

// zone runs the tables of all processes of one availability zone on one clock,
// without sockets. What is sent in one tick arrives in that tick and is passed
// on in the next.
type zone struct {
	now    time.Time
	ids    []fleet.InstanceID
	tables map[fleet.InstanceID]*gossip.Table
	links  map[pair]bool
	// While counting: the bytes of messages, and of the states in them, over all
	// links and both directions.
	counting      bool
	bytes, states int
}

type pair struct{ a, b fleet.InstanceID }

func pairOf(a, b fleet.InstanceID) pair {
	if b < a {
		return pair{b, a}
	}
	return pair{a, b}
}

func newZone(n int) *zone {
	z := &zone{now: time.Now(), tables: make(map[fleet.InstanceID]*gossip.Table), links: make(map[pair]bool)}
	var list []fleet.Instance
	for i := range n {
		instance := phantom(i, 1)
		instance.Place = phantom(0, 1).Place
		list = append(list, instance)
		z.ids = append(z.ids, instance.ID)
		z.tables[instance.ID] = gossip.New(gossip.Options{Self: recordOf(instance, anySaid)})
	}
	for _, id := range z.ids {
		z.tables[id].SetListed(z.now, list)
	}
	return z
}

// tick is one second: everyone beats, links follow the choices, and each link
// carries one message each way.
func (z *zone) tick() error {
	z.now = z.now.Add(time.Second)
	for _, id := range z.ids {
		z.tables[id].Heartbeat(z.now)
	}
	z.connect()
	type message struct {
		from, to fleet.InstanceID
		records  []gossip.Record
	}
	var sent []message
	for p := range z.links {
		sent = append(sent, message{p.a, p.b, z.tables[p.a].Delta(z.now, p.b)})
		sent = append(sent, message{p.b, p.a, z.tables[p.b].Delta(z.now, p.a)})
	}
	for _, m := range sent {
		if err := z.count(m.records); err != nil {
			return err
		}
		z.tables[m.to].Merge(z.now, m.from, m.records)
		z.tables[m.from].Acknowledge(z.now, m.to, m.records)
	}
	return nil
}

// connect opens the links that either end has chosen and closes the others.
func (z *zone) connect() {
	wanted := make(map[pair]bool)
	for _, id := range z.ids {
		for _, contact := range z.tables[id].Neighbours(z.now) {
			wanted[pairOf(id, contact.ID)] = true
		}
	}
	for p := range z.links {
		if !wanted[p] {
			z.reset(p)
		}
	}
	for p := range wanted {
		if !z.links[p] {
			z.reset(p)
		}
	}
	z.links = wanted
}

func (z *zone) reset(p pair) {
	z.tables[p.a].ResetPeer(p.b)
	z.tables[p.b].ResetPeer(p.a)
}

// count adds the encoded size of a message.
func (z *zone) count(records []gossip.Record) error {
	if !z.counting {
		return nil
	}
	size, err := encodedSize(wire.Gossip{Records: records, Revision: anySaid.Revision, Digest: anySaid.Digest})
	if err != nil {
		return err
	}
	z.bytes += size
	for _, r := range records {
		if r.State == "" {
			continue
		}
		size, err := encodedSize(r)
		if err != nil {
			return err
		}
		z.states += size
	}
	return nil
}

func encodedSize(message any) (int, error) {
	raw, err := cbor.Marshal(message)
	if err != nil {
		return 0, failure.Internal.Wrap(err, "encode a message")
	}
	return len(raw), nil
}

// known reports whether everyone has heard of everyone.
func (z *zone) known() bool {
	for _, id := range z.ids {
		for _, p := range z.tables[id].View(z.now).Peers {
			if p.State == "" {
				return false
			}
		}
	}
	return true
}

const (
	// longestAcquaintance bounds the ticks until everyone knows everyone.
	longestAcquaintance = 60
	// relayTicks is the relay interval of the largest zone: a heartbeat of each
	// process crosses each link once within it.
	relayTicks = 22
	// changeTicks and changesPerTick are the states changed by turns.
	changeTicks, changesPerTick = 8, 5
	// spreadTicks is how long the last change takes to reach everyone.
	spreadTicks = 10
	// bothWays: each byte is sent by one process and received by another.
	bothWays = 2
)

// ZoneGossip measures what heartbeats and changes of state cost a process, in
// bytes of messages sent and received, by the size of its availability zone.
func ZoneGossip(sizes []int) ([]Slope, error) {
	quiet := Slope{Name: "zone_heartbeats", Of: "zone_processes", Unit: "B/s", Target: ZoneProcesses, Budget: TrafficBudget}
	change := Slope{Name: "zone_change", Of: "zone_processes", Unit: "B", Target: ZoneProcesses}
	for _, n := range sizes {
		z := newZone(n)
		if err := z.settle(); err != nil {
			return nil, err
		}
		idle, each, err := z.measure()
		if err != nil {
			return nil, err
		}
		quiet.Points = append(quiet.Points, Point{float64(n), idle})
		change.Points = append(change.Points, Point{float64(n), each})
	}
	return []Slope{quiet, change}, nil
}

// settle runs until everyone knows everyone, and one relay interval longer.
func (z *zone) settle() error {
	for tick := 0; tick == 0 || !z.known(); tick++ {
		if tick == longestAcquaintance {
			return failure.Timeout.New("%d processes do not know each other after %d s", len(z.ids), tick)
		}
		if err := z.tick(); err != nil {
			return err
		}
	}
	return z.ticks(relayTicks, func(int) {})
}

// measure returns the bytes a second of a process in quiet times, and those
// that one change of one process's state adds for each process.
func (z *zone) measure() (quiet, change float64, err error) {
	z.counting = true
	if err := z.ticks(relayTicks, func(int) {}); err != nil {
		return 0, 0, err
	}
	each := bothWays / float64(len(z.ids))
	quiet = float64(z.bytes) * each / relayTicks
	z.states = 0
	if err := z.ticks(changeTicks, z.flip); err != nil {
		return 0, 0, err
	}
	if err := z.ticks(spreadTicks, func(int) {}); err != nil {
		return 0, 0, err
	}
	return quiet, float64(z.states) * each / (changeTicks * changesPerTick), nil
}

// ticks runs n seconds and calls change before each.
func (z *zone) ticks(n int, change func(tick int)) error {
	for tick := range n {
		change(tick)
		if err := z.tick(); err != nil {
			return err
		}
	}
	return nil
}

// flip changes the state of a few processes.
func (z *zone) flip(tick int) {
	for i := range changesPerTick {
		id := z.ids[(tick*changesPerTick+i)%len(z.ids)]
		z.tables[id].UpdateSelf(func(r *gossip.Record) {
			r.State = gossip.StateChanging
			r.RolloutOrder++
		})
	}
}
