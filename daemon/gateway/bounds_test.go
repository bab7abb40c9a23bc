package gateway

import (
	"fmt"
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/core/fleet"
	"chivespindle.example/daemon/wire"
)

// Guards against memory that grows with whatever a peer reports.
var _ = Describe("An entry whose peer reports what does not exist", func() {
	var g *Gateway

	BeforeEach(func() {
		g, _ = newGateway()
		g.adopt(start, snapshot(5, server("i-1", "10.0.1.1:80", 2)), "platform")
	})

	It("remembers a bounded number of engines, and always one that is listed", func() {
		var replicas []wire.Replica
		for n := range maxReplicas + 100 {
			addr := netip.AddrFrom4([4]byte{127, 0, byte(n >> 8), byte(n)})
			replicas = append(replicas, wire.Replica{Addr: addr, Incarnation: 1, Seq: 1, Loaded: 1, ReadyInMS: 1})
		}
		replicas = append(replicas, wire.Replica{Addr: netip.MustParseAddr("10.0.1.1"), Incarnation: 1, Seq: 1, Loaded: 2})
		g.receive(start, nearEntry, wire.Heartbeat{ID: nearEntry.ID, Role: fleet.RoleEntry, Replicas: replicas})
		Expect(g.replicas).To(HaveLen(maxReplicas + 1))
		Expect(g.replicas).To(HaveKey(netip.MustParseAddr("10.0.1.1")))

		later := start.Add(2 * replicaReportTTL)
		g.publishServers(later, 1)
		Expect(g.readyAt).To(BeEmpty())
		Expect(len(g.loads)).To(BeNumerically("<=", 1))
	})

	It("remembers a bounded number of models", func() {
		var wanted []wire.WantedVersion
		for n := range maxModels + 100 {
			wanted = append(wanted, wire.WantedVersion{Model: fmt.Sprint("made-up-", n), Version: 1})
		}
		g.receive(start, nearEntry, wire.Heartbeat{ID: nearEntry.ID, Role: fleet.RoleEntry, Wanted: wanted})
		Expect(g.names).To(HaveLen(maxModels))
	})

	It("holds a bounded number of bytes of manifests, and more of models with a named version", func() {
		m := newManifests()
		raw := make([]byte, 1<<20)
		add := func(n int, named uint64) bool {
			return m.add(wire.Manifest{Model: fmt.Sprint("made-up-", n), Version: 1, Raw: raw}, false, named)
		}
		for n := range maxUnnamedBytes / len(raw) {
			Expect(add(n, 0)).To(BeTrue())
		}
		Expect(add(100, 0)).To(BeFalse())
		Expect(add(101, 1)).To(BeTrue())
	})

	// Guards against a single report from which on those of all others are ignored.
	It("takes a report with a negative age for one of the moment", func() {
		const hour = int64(time.Hour / time.Millisecond)
		c := &contact{}
		c.adoptState(start, wire.PlatformState{LastResponseAgoMS: -hour, RegainedAgoMS: -hour, SilentMS: hour})
		Expect(c.lastResponse).To(Equal(start))
		Expect(c.outageEnd).To(Equal(start))
	})
})
