package gossip_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/core/fleet"
	"chivespindle.example/core/gossip"
)

func self(id fleet.InstanceID, zone fleet.Zone) gossip.Record {
	return gossip.Record{
		ID: id, Incarnation: 1, Role: fleet.RoleAgent, Service: "kielimalli",
		Place: fleet.Place{Zone: zone, Region: "r"}, State: gossip.StateServing,
	}
}

var _ = Describe("Table", func() {
	It("tells a new neighbour whole records only of what it asks for", func() {
		now := time.Now()
		a := gossip.New(gossip.Options{Self: self("a", "z")})
		b := gossip.New(gossip.Options{Self: self("b", "z")})
		c := gossip.New(gossip.Options{Self: self("c", "z")})
		a.Merge(now, "c", c.Delta(now, "a"))
		first := a.Delta(now, "b")
		Expect(first).To(HaveLen(2))
		b.Merge(now, "a", first)
		a.Sent(now, "b", first)
		_, known := b.View(now).Peer("c")
		Expect(known).To(BeFalse())
		a.Merge(now, "b", b.Delta(now, "a"))
		second := a.Delta(now, "b")
		Expect(b.Merge(now, "a", second)).To(Equal([]fleet.InstanceID{"c"}))
		peer, known := b.View(now).Peer("c")
		Expect(known).To(BeTrue())
		Expect(peer.State).To(Equal(gossip.StateServing))
	})
})
