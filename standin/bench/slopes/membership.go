package slopes

import (
	"time"

	"chivespindle.example/core/fleet"
	"chivespindle.example/core/gossip"
)

// fleetSizes are fleets from today's scale of ten to the target.
var fleetSizes = []int{390, 1170, Processes}

// neighbours are the links of one process, half of which lead into its zone:
// those that it chose and those that chose it.
const neighbours = 12

// relayed is how many heartbeats a link in the zone brings in a second.
const relayed = 20

// Membership measures what one process spends on knowing the whole fleet: the
// memory of its table with all links, and the work of one quiet second.
func Membership() ([]Slope, error) {
	memory := Slope{Name: "table_memory", Of: "fleet_processes", Unit: "B", Target: Processes, Budget: MemoryBudget}
	memory = measured(memory, fleetSizes, func(n int) float64 {
		return heapOf(func() *known { return newKnown(n) })
	})
	work := Slope{Name: "table_second", Of: "fleet_processes", Unit: "ms/s", Target: Processes, Budget: CPUBudget}
	work = measured(work, fleetSizes, func(n int) float64 {
		k := newKnown(n)
		return perCall(k.second)
	})
	view := Slope{Name: "table_view", Of: "fleet_processes", Unit: "ms", Target: Processes}
	view = measured(view, fleetSizes, func(n int) float64 {
		k := newKnown(n)
		return perCall(func() { k.view = k.table.View(k.now) })
	})
	return []Slope{memory, work, view}, nil
}

// known is a process's table that holds a whole fleet, and the view that its
// traffic reads.
type known struct {
	now     time.Time
	table   *gossip.Table
	records []gossip.Record
	view    *gossip.View
	beat    uint64
}

func newKnown(n int) *known {
	list := phantoms(n, manyServices)
	k := &known{now: time.Now(), records: recordsOf(list[1:], anySaid)}
	k.table = gossip.New(gossip.Options{Self: recordOf(list[0], anySaid)})
	k.table.SetListed(k.now, list[1:])
	for i := range neighbours {
		k.table.Merge(k.now, k.from(i), k.records)
		k.table.Acknowledge(k.now, k.from(i), k.records)
	}
	k.view = k.table.View(k.now)
	return k
}

func (k *known) from(link int) fleet.InstanceID { return k.records[link].ID }

// second is what a process does in a quiet second: it beats, chooses its
// neighbours, hears and answers each, and makes its view anew twice.
func (k *known) second() {
	k.now = k.now.Add(time.Second)
	k.beat++
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

// message is what a link brings: its own heartbeat and, in the zone, relayed
// ones of others.
func (k *known) message(link int) []gossip.Record {
	own := k.records[link]
	message := []gossip.Record{heartbeat(own, 1+k.beat)}
	if link%2 != 0 {
		return message
	}
	for i := range relayed {
		r := k.records[(int(k.beat)*relayed+i)*Zones%len(k.records)]
		message = append(message, heartbeat(r, 1+k.beat))
	}
	return message
}
