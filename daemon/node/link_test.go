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

var _ = Describe("A gossip link", func() {
	// A neighbour has dialled this process and then sends nothing, although its
	// connection stays open: the neighbour was restarted and knows of no link,
	// and of no other process while the platform is down. This process closes
	// the link and dials the neighbour, which then learns of the fleet.
	//
	// Without closing links that deliver no messages, the neighbour is never
	// dialled.
	It("that delivers no messages is closed and dialled again", func() {
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

		m.Instances.Set(fleet.Instance{ID: id, Role: fleet.RoleAgent, Place: daemontest.LocalPlace, PeerAddr: neighbour.Addr()})
		Eventually(dialled).Should(BeClosed())
	})
})
