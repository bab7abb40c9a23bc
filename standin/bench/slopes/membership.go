package slopes

import (
	"time"

	"chivespindle.example/core/fleet"
	"chivespindle.example/core/gossip"
)

// fleetSizes range from a tenth of the target up to the target.
var fleetSizes = []int{390, 1170, Processes}

// neighbours is the number of gossip links of one process, both those that it
// chose and those that chose it. Half of them lead into its zone.
const neighbours = 12

// relayedPerSecond is the number of heartbeats of other processes that a link
// within the zone carries per second.
const relayedPerSecond = 20

// Membership measures what one process uses to track the whole fleet: the
// memory of its table with all links, and the processor time of one quiet
// second.
func Membership() ([]Slope, error) {
	memory := Slope{Name: "table_memory", Of: "fleet_processes", Unit: "B", Target: Processes, Budget: MemoryBudget}
	memory = measurePoints(memory, fleetSizes, func(n int) float64 {
		return retainedHeap(func() *nodeTable { return newNodeTable(n) })
	})
	work := Slope{Name: "table_second", Of: "fleet_processes", Unit: "ms/s", Target: Processes, Budget: CPUBudget}
	work = measurePoints(work, fleetSizes, func(n int) float64 {
		k := newNodeTable(n)
		return cpuPerCall(k.second)
	})
	view := Slope{Name: "table_view", Of: "fleet_processes", Unit: "ms", Target: Processes}
	view = measurePoints(view, fleetSizes, func(n int) float64 {
		k := newNodeTable(n)
		return cpuPerCall(func() { k.view = k.table.View(k.now) })
	})
	return []Slope{memory, work, view}, nil
}

// nodeTable is the gossip table of one process that has the records of a whole
// fleet, and the view derived from it.
type nodeTable struct {
	now          time.Time
	table        *gossip.Table
	records      []gossip.Record
	view         *gossip.View
	heartbeatSeq uint64
}

func newNodeTable(n int) *nodeTable {
	list := simInstances(n, manyServices)
	k := &nodeTable{now: time.Now(), records: recordsOf(list[1:], defaultConfig)}
	k.table = gossip.New(gossip.Options{Self: recordOf(list[0], defaultConfig)})
	k.table.SetListed(k.now, list[1:])
	for i := range neighbours {
		k.table.Merge(k.now, k.from(i), k.records)
		k.table.Acknowledge(k.now, k.from(i), k.records)
	}
	k.view = k.table.View(k.now)
	return k
}

func (k *nodeTable) from(link int) fleet.InstanceID { return k.records[link].ID }

// second does the gossip work of one quiet second: a heartbeat, the choice of
// neighbours, one message received from and sent to each of them, and two new
// views.
func (k *nodeTable) second() {
	k.now = k.now.Add(time.Second)
	k.heartbeatSeq++
	k.table.Heartbeat(k.now)
	k.table.Neighbours(k.now)
	for i := range neighbours {
		k.table.Merge(k.now, k.from(i), k.message(i))
		k.table.Acknowledge(k.now, k.from(i), k.table.Delta(k.now, k.from(i)))
	}
	for range 2 {
		k.view = k.table.View(k.now)
	}
}

// message returns what a link delivers: the neighbour's own heartbeat and,
// within the zone, relayed heartbeats of other processes.
func (k *nodeTable) message(link int) []gossip.Record {
	own := k.records[link]
	message := []gossip.Record{heartbeat(own, 1+k.heartbeatSeq)}
	if link%2 != 0 {
		return message
	}
	for i := range relayedPerSecond {
		r := k.records[(int(k.heartbeatSeq)*relayedPerSecond+i)*Zones%len(k.records)]
		message = append(message, heartbeat(r, 1+k.heartbeatSeq))
	}
	return message
}
