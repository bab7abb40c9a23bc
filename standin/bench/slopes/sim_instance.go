package slopes

import (
	"fmt"
	"net/netip"

	"chivespindle.example/core/fleet"
	"chivespindle.example/core/gossip"
	"chivespindle.example/core/revision"
	"chivespindle.example/standin/bench/local"
)

// agentsPerEntry is the ratio at the target, rounded down.
const agentsPerEntry = Servers / Entries // 8

// simInstance returns instance i of a simulated fleet. Entries and agents are
// in about the ratio of the target, and each service is spread over all zones.
func simInstance(i, services int) fleet.Instance {
	instance := fleet.Instance{
		ID:       fleet.InstanceID(fmt.Sprintf("i-%017x", i)),
		Role:     fleet.RoleAgent,
		Place:    local.PlaceOf(i, Regions, Zones/Regions),
		PeerAddr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 1),
	}
	// Nine consecutive instances are in nine different zones. Roles are assigned
	// to whole rows of nine, so that entries are spread over the zones as well.
	row := i / Zones
	if row%(agentsPerEntry+1) == 0 {
		instance.Role = fleet.RoleEntry
		instance.CallerAddr = instance.PeerAddr
		return instance
	}
	instance.Service = serviceOf(row / (agentsPerEntry + 1) % services)
	return instance
}

func serviceOf(i int) fleet.ServiceName { return fleet.ServiceName(fmt.Sprintf("kielimalli-%d", i)) }

func simInstances(n, services int) []fleet.Instance {
	list := make([]fleet.Instance, n)
	for i := range list {
		list[i] = simInstance(i, services)
	}
	return list
}

// configState is the active configuration and version in the records of
// simulated instances.
type configState struct {
	Revision revision.Revision
	Digest   fleet.Digest
	Version  fleet.Version
}

var defaultConfig = configState{
	Revision: 1_000_000,
	Digest:   fleet.DigestOf([]byte("text")),
	Version:  fleet.Version{Name: "kielimalli-2031-04", Manifest: fleet.DigestOf([]byte("weights"))},
}

// firstHeartbeat is the first heartbeat counter of simulated instances.
const firstHeartbeat = 1

// recordOf returns the complete record of a simulated instance that is
// serving.
func recordOf(i fleet.Instance, config configState) gossip.Record {
	r := gossip.Record{
		ID: i.ID, Incarnation: 1_900_000_000_000, StateSeq: 1, HeartbeatSeq: firstHeartbeat, Role: i.Role, Service: i.Service,
		Place: i.Place, PeerAddr: i.PeerAddr, CallerAddr: i.CallerAddr,
		State: gossip.StateServing, Revision: config.Revision, ConfigDigest: config.Digest,
	}
	if i.Role == fleet.RoleAgent {
		r.Serving, r.Target = config.Version, config.Version
	}
	return r
}

func recordsOf(list []fleet.Instance, config configState) []gossip.Record {
	records := make([]gossip.Record, len(list))
	for i := range list {
		records[i] = recordOf(list[i], config)
	}
	return records
}

// heartbeat returns the heartbeat form of a record, for receivers that have
// the complete record.
func heartbeat(r gossip.Record, seq uint64) gossip.Record {
	return gossip.Record{ID: r.ID, Incarnation: r.Incarnation, StateSeq: r.StateSeq, HeartbeatSeq: seq, Revision: r.Revision}
}
