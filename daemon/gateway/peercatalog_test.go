package gateway

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/adapters/peer"
	"chivespindle.example/core/routing"
	"chivespindle.example/daemon/wire"
)

var _ = Describe("The part of the catalog that a peer is sent", func() {
	held := snapshot(20, server("i-1", "10.0.1.1:80", 2))
	held.Config, held.ConfigRevision, held.OperatorAsOf = config(18), 17, 20

	It("is the configuration only, if it knows the servers", func() {
		response, config := newerThan(held, wire.CatalogRequest{AsOf: 20, ConfigVersion: 12})
		Expect(config).To(Equal(held.Config))
		Expect(response.ConfigRevision).To(Equal(held.ConfigRevision))
		Expect(response.Snapshot.Servers).To(BeEmpty())
		requester := snapshot(22, server("i-1", "10.0.1.1:80", 2), server("i-2", "10.0.1.2:80", 21))
		Expect(requester.Merge(*response.Snapshot).Servers).To(HaveLen(2))
	})

	It("is the servers only, if it has the configuration", func() {
		response, config := newerThan(held, wire.CatalogRequest{AsOf: 12, ConfigVersion: 18})
		Expect(config).To(BeNil())
		Expect(response.Snapshot.Servers).To(HaveLen(1))
		Expect(response.Snapshot.Config).To(BeNil())
		Expect(response.Snapshot.ConfigRevision).To(BeZero())
	})

	// Guards against an upgrade after which entries of the release before are not sent a
	// configuration, or take it for an old one.
	It("follows the revision of the configuration, if it is of a release that does not state the version", func() {
		held := held
		held.ConfigRevision = 15
		response, config := newerThan(held, wire.CatalogRequest{AsOf: 20, ConfigRevision: 12})
		Expect(config).To(Equal(held.Config))
		Expect(response.ConfigRevision).To(Equal(held.ConfigRevision))
		_, config = newerThan(held, wire.CatalogRequest{AsOf: 20, ConfigRevision: 15})
		Expect(config).To(BeNil())
	})

	It("is nothing, if it has both", func() {
		response, config := newerThan(held, wire.CatalogRequest{AsOf: 20, ConfigVersion: 18})
		Expect(config).To(BeNil())
		Expect(response.Snapshot).To(BeNil())
	})

	// A configuration is sent to a dozen peers at the same moment, on the links of
	// callers' requests: 1,650 routes take 410 KB as the platform sends them.
	It("is packed to a tenth of its size at the platform, for a configuration of many routes", func() {
		const maxBytes = 41 << 10
		config := manyRoutes(1, 1650)
		packed, err := peer.Pack(config)
		Expect(err).NotTo(HaveOccurred())
		Expect(len(packed)).To(BeNumerically("<", maxBytes))
		var unpacked routing.Config
		Expect(peer.Unpack(packed, &unpacked, maxConfigBytes)).To(Succeed())
		Expect(&unpacked).To(Equal(config))
	})
})
