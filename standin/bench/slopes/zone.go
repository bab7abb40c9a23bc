package slopes

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/gossip"
	"chivespindle.example/daemon/wire"
)

// simZone runs the gossip tables of all processes of one availability zone on
// a simulated clock, without sockets. Messages sent in one tick arrive in that
// tick and are passed on in the next.
type simZone struct {
	now    time.Time
	ids    []fleet.InstanceID
	tables map[fleet.InstanceID]*gossip.Table
	links  map[pair]bool
	// While counting is set, bytes counts the bytes of messages and states those
	// of the records with a state, over all links and both directions.
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

func newSimZone(n int) *simZone {
	z := &simZone{now: time.Now(), tables: make(map[fleet.InstanceID]*gossip.Table), links: make(map[pair]bool)}
	var list []fleet.Instance
	for i := range n {
		instance := simInstance(i, 1)
		instance.Place = simInstance(0, 1).Place
		list = append(list, instance)
		z.ids = append(z.ids, instance.ID)
		z.tables[instance.ID] = gossip.New(gossip.Options{Self: recordOf(instance, defaultConfig)})
	}
	for _, id := range z.ids {
		z.tables[id].SetListed(z.now, list)
	}
	return z
}

// tick advances the clock by one second: all processes increment their
// heartbeats, links are updated, and each link carries one message in each
// direction.
func (z *simZone) tick() error {
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
func (z *simZone) connect() {
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

func (z *simZone) reset(p pair) {
	z.tables[p.a].ResetPeer(p.b)
	z.tables[p.b].ResetPeer(p.a)
}

// count adds the encoded size of a message while counting is set.
func (z *simZone) count(records []gossip.Record) error {
	if !z.counting {
		return nil
	}
	size, err := encodedSize(wire.Gossip{Records: records, Revision: defaultConfig.Revision, Digest: defaultConfig.Digest})
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

// isComplete reports whether every process has received a record of every
// other.
func (z *simZone) isComplete() bool {
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
	// maxSettleTicks limits the ticks until isComplete.
	maxSettleTicks = 60
	// relayTicks is the relay interval of the largest zone: a heartbeat of each
	// process crosses each link once within it.
	relayTicks = 22
	// changeTicks is the number of ticks with state changes, changesPerTick the
	// number of processes that change in each, in turn.
	changeTicks, changesPerTick = 8, 5
	// spreadTicks is the number of ticks for the last change to reach every
	// process.
	spreadTicks = 10
	// bothDirections counts each byte at its sender and at its receiver.
	bothDirections = 2
)

// ZoneGossip measures the traffic of heartbeats and state changes per process,
// in bytes of messages sent and received, by the size of its availability
// zone.
func ZoneGossip(sizes []int) ([]Slope, error) {
	quiet := Slope{Name: "zone_heartbeats", Of: "zone_processes", Unit: "B/s", Target: ZoneProcesses, Budget: TrafficBudget}
	change := Slope{Name: "zone_change", Of: "zone_processes", Unit: "B", Target: ZoneProcesses}
	for _, n := range sizes {
		z := newSimZone(n)
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

// settle runs until isComplete, and one relay interval longer.
func (z *simZone) settle() error {
	for tick := 0; tick == 0 || !z.isComplete(); tick++ {
		if tick == maxSettleTicks {
			return failure.Timeout.New("%d processes do not all have each other's records after %d s", len(z.ids), tick)
		}
		if err := z.tick(); err != nil {
			return err
		}
	}
	return z.ticks(relayTicks, func(int) {})
}

// measure returns the bytes per second of a process without state changes, and
// the bytes per process that one state change of one process adds.
func (z *simZone) measure() (quiet, change float64, err error) {
	z.counting = true
	if err := z.ticks(relayTicks, func(int) {}); err != nil {
		return 0, 0, err
	}
	each := bothDirections / float64(len(z.ids))
	quiet = float64(z.bytes) * each / relayTicks
	z.states = 0
	if err := z.ticks(changeTicks, z.changeStates); err != nil {
		return 0, 0, err
	}
	if err := z.ticks(spreadTicks, func(int) {}); err != nil {
		return 0, 0, err
	}
	return quiet, float64(z.states) * each / (changeTicks * changesPerTick), nil
}

// ticks runs n ticks and calls change before each.
func (z *simZone) ticks(n int, change func(tick int)) error {
	for tick := range n {
		change(tick)
		if err := z.tick(); err != nil {
			return err
		}
	}
	return nil
}

// changeStates changes the state of the next changesPerTick processes.
func (z *simZone) changeStates(tick int) {
	for i := range changesPerTick {
		id := z.ids[(tick*changesPerTick+i)%len(z.ids)]
		z.tables[id].UpdateSelf(func(r *gossip.Record) {
			r.State = gossip.StateChanging
			r.RolloutOrder++
		})
	}
}
