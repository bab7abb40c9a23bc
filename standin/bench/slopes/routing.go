package slopes

import (
	"fmt"
	"math/rand/v2"
	"time"

	"chivespindle.example/core/addressing"
	"chivespindle.example/core/admission"
	"chivespindle.example/core/balance"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/gossip"
	"chivespindle.example/core/serving"
	"chivespindle.example/daemon/wire"
)

// SubsetSize is the minimum number of servers of each service that an entry
// subscribes to. It matches daemon/entry.
const SubsetSize = 24

// Routing measures the work of an entry to track the servers: the assignment
// of the servers that it subscribes to, the snapshot that requests read, and
// one address response.
func Routing() ([]Slope, error) {
	assign := measurePoints(Slope{Name: "assign", Of: "services_of_390", Unit: "ms", Target: manyServices}, []int{1, 3, manyServices},
		func(services int) float64 {
			servers := serversOf(BurstInstances)
			entries := assigneesOf(Entries)
			return cpuPerCall(func() {
				for range services {
					balance.Assign(entries[0], entries, servers, SubsetSize)
				}
			})
		})
	snapshot := measurePoints(Slope{Name: "snapshot", Of: "servers_followed", Unit: "ms", Target: SubsetSize}, []int{SubsetSize, 240, Servers},
		func(n int) float64 {
			servers := serversOf(n)
			tracker := balance.NewTracker(time.Now(), newRand())
			return cpuPerCall(func() { balance.NewSnapshot(servers[0].Place, servers, tracker, balance.Settings{}) })
		})
	address := measurePoints(Slope{Name: "address_answer", Of: "entries", Unit: "ms", Target: Entries}, []int{46, 137, Entries},
		func(n int) float64 {
			entries := entriesOf(n)
			resolver := addressing.New(addressing.Options{Rand: newRand()})
			return cpuPerCall(func() { resolver.Resolve(time.Now(), entries[0].Place, entries) })
		})
	return []Slope{assign, snapshot, address}, nil
}

func serversOf(n int) []balance.Server {
	servers := make([]balance.Server, n)
	for i := range servers {
		p := simInstance(i, 1)
		report := balance.Report{Load: loadOf(i), Received: time.Now()}
		servers[i] = balance.Server{ID: p.ID, Place: p.Place, Addr: p.PeerAddr, Service: serviceOf(0),
			Version: defaultConfig.Version, Report: report}
	}
	return servers
}

func loadOf(i int) serving.Load {
	return serving.Load{Running: i % 30, Waiting: i % 4, KVUsed: rand.Float64(), Slots: 32}
}

func entriesOf(n int) []addressing.Entry {
	entries := make([]addressing.Entry, n)
	for i := range entries {
		p := simInstance(i, 1)
		entries[i] = addressing.Entry{ID: p.ID, Place: p.Place, Addr: p.PeerAddr, Load: rand.Float64()}
	}
	return entries
}

func assigneesOf(n int) []balance.Entry {
	entries := make([]balance.Entry, n)
	for i := range entries {
		p := simInstance(i, 1)
		entries[i] = balance.Entry{ID: p.ID, Place: p.Place}
	}
	return entries
}

// reportOf returns a load report as an agent sends it every half second.
func reportOf(service fleet.ServiceName, version fleet.Version, i int) wire.Report {
	const incarnation = 1_900_000_000_000
	return wire.Report{Service: service, State: gossip.StateServing, Admitting: true, Serving: version, Load: loadOf(i),
		Clock: admission.ClockReading{Incarnation: incarnation, Elapsed: time.Duration(i+1) * reportInterval}}
}

// demandOf returns the demand of ten workspaces at an entry.
func demandOf() wire.Demand {
	const workspaces = 10
	rates := make(map[fleet.Workspace]float64, workspaces)
	for i := range workspaces {
		rates[fleet.Workspace(fmt.Sprintf("workshop-%d", i))] = rand.Float64()
	}
	return wire.Demand{Rates: rates}
}
