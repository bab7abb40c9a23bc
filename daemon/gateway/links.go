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
	Woke(now time.Time)
	SetSeeds(now time.Time, seeds []netip.Addr)
	Group() string
	PeerAddr(addr netip.Addr) netip.AddrPort
	Flush(now time.Time)
	FlushNear(now time.Time)
	Entries(now time.Time) []mesh.Entry
	Hears(now time.Time) bool
	LiveIn(now time.Time, region fleet.Region) []netip.Addr
	Ahead(now time.Time, isAhead func(wire.Beat) bool) (addr netip.Addr, near, ok bool)
}

var _ links = (*mesh.Mesh)(nil)
