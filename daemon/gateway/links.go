package gateway

import (
	"context"
	"net/netip"
	"time"

	"chivespindle.example/adapters/keys"
	"chivespindle.example/adapters/peer"
	"chivespindle.example/core/fleet"
	"chivespindle.example/daemon/mesh"
	"chivespindle.example/daemon/wire"
)

// links is the part of mesh.Mesh that a gateway uses.
type links interface {
	Serve(ctx context.Context, from keys.Identity, s *peer.Stream)
	Tick(now time.Time)
	ResetAfterPause(now time.Time)
	SetSeeds(now time.Time, seeds []netip.Addr)
	Group() string
	PeerAddr(addr netip.Addr) netip.AddrPort
	Flush(now time.Time)
	FlushGroup(now time.Time)
	Entries(now time.Time) []mesh.Entry
	HasLiveEntry(now time.Time) bool
	LiveEntries(now time.Time, region fleet.Region) []netip.Addr
	FindEntry(now time.Time, isAhead func(wire.Heartbeat) bool) (addr netip.Addr, near, ok bool)
}

var _ links = (*mesh.Mesh)(nil)
