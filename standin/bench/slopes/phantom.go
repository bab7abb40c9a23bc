package slopes

import (
	"fmt"
	"net/netip"

	"chivespindle.example/core/fleet"
	"chivespindle.example/core/gossip"
	"chivespindle.example/core/revision"
	"chivespindle.example/standin/bench/local"
)

// agentsPerEntry is the proportion of the target, rounded.
const agentsPerEntry = Servers / Entries // 8

// phantom is the instance i of a made-up fleet: entries and agents in about the
// proportion of the target, each service spread over all zones.
func phantom(i, services int) fleet.Instance {
	instance := fleet.Instance{
		ID:       fleet.InstanceID(fmt.Sprintf("i-%017x", i)),
		Role:     fleet.RoleAgent,
		Place:    local.PlaceOf(i, Regions, Zones/Regions),
		PeerAddr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 1),
	}
	// Nine instances in a row fill the nine zones, so that entries are spread
	// over the zones as well.
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

func phantoms(n, services int) []fleet.Instance {
	list := make([]fleet.Instance, n)
	for i := range list {
		list[i] = phantom(i, services)
	}
	return list
}

// said is what all phantoms say of the text and the version in force.
type said struct {
	Revision revision.Revision
	Digest   fleet.Digest
	Version  fleet.Version
}

var anySaid = said{
	Revision: 1_000_000,
	Digest:   fleet.DigestOf([]byte("text")),
	Version:  fleet.Version{Name: "kielimalli-2031-04", Manifest: fleet.DigestOf([]byte("weights"))},
}

// firstBeat is the heartbeat that the records of phantoms begin with.
const firstBeat = 1

// recordOf is the whole record of a phantom that serves.
func recordOf(i fleet.Instance, s said) gossip.Record {
	r := gossip.Record{
		ID: i.ID, Incarnation: 1_900_000_000_000, StateSeq: 1, HeartbeatSeq: firstBeat, Role: i.Role, Service: i.Service,
		Place: i.Place, PeerAddr: i.PeerAddr, CallerAddr: i.CallerAddr,
		State: gossip.StateServing, Revision: s.Revision, ConfigDigest: s.Digest,
	}
	if i.Role == fleet.RoleAgent {
		r.Serving, r.Target = s.Version, s.Version
	}
	return r
}

func recordsOf(list []fleet.Instance, s said) []gossip.Record {
	records := make([]gossip.Record, len(list))
	for i := range list {
		records[i] = recordOf(list[i], s)
	}
	return records
}

// heartbeat is the short form of a record, for those who hold it.
func heartbeat(r gossip.Record, beat uint64) gossip.Record {
	return gossip.Record{ID: r.ID, Incarnation: r.Incarnation, StateSeq: r.StateSeq, HeartbeatSeq: beat, Revision: r.Revision}
}
