package node_test

import (
	"context"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/adapters/keys"
	"chivespindle.example/adapters/peer"
	"chivespindle.example/core/fleet"
	"chivespindle.example/daemon/internal/daemontest"
	"chivespindle.example/daemon/wire"
)

var _ = Describe("A link", func() {
	// A neighbour has dialled this process and then says nothing, though its
	// connection lives: in its place runs a process that was started anew and
	// knows of no link, nor of anybody while the platform is down. This process
	// gives the link up and dials the neighbour, which so hears of the fleet.
	// Seen without the end of links that bring nothing: it was never dialled.
	It("that brings nothing gives way to a new one", func() {
		const id = "agent-1"
		dialled := make(chan struct{})
		var once sync.Once
		neighbour := daemontest.Endpoint(fleet.RoleAgent, id, daemontest.Handler(
			func(ctx context.Context, _ keys.Identity, kind peer.Kind, _ *peer.Stream) {
				if kind == peer.KindGossip {
					once.Do(func() { close(dialled) })
				}
				<-ctx.Done()
			}))
		m := start("entry-1", fleet.RoleEntry, nil)
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		s, err := neighbour.Open(ctx, m.Self.PeerAddr, m.Self.ID, peer.KindGossip)
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Send(wire.Gossip{})).To(Succeed())
		var first wire.Gossip
		Expect(s.Recv(&first)).To(Succeed(), "the link is in use")

		m.List.Set(fleet.Instance{ID: id, Role: fleet.RoleAgent, Place: daemontest.Here, PeerAddr: neighbour.Addr()})
		Eventually(dialled).Should(BeClosed())
	})
})
