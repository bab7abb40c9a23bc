package gateway

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/adapters/peer"
	"chivespindle.example/core/catalog"
	"chivespindle.example/core/routing"
	"chivespindle.example/daemon/wire"
)

var _ = Describe("What a peer is given of the catalog", func() {
	held := snapshot(20, server("i-1", "10.0.1.1:80", 2))
	held.ConfigRevision, held.OperatorAsOf = 18, 20

	It("is the configuration only, if it knows the servers", func() {
		answer, config := newerThan(held, wire.CatalogRequest{AsOf: 20, ConfigRevision: 12})
		Expect(config).To(Equal(held.Config))
		Expect(answer.ConfigRevision).To(Equal(catalog.Revision(18)))
		Expect(answer.Snapshot.Servers).To(BeEmpty())
		asker := snapshot(22, server("i-1", "10.0.1.1:80", 2), server("i-2", "10.0.1.2:80", 21))
		Expect(asker.Merge(*answer.Snapshot).Servers).To(HaveLen(2))
	})

	It("is the servers only, if it has the configuration", func() {
		answer, config := newerThan(held, wire.CatalogRequest{AsOf: 12, ConfigRevision: 18})
		Expect(config).To(BeNil())
		Expect(answer.Snapshot.Servers).To(HaveLen(1))
		Expect(answer.Snapshot.ConfigRevision).To(BeZero())
	})

	It("is nothing, if it has both", func() {
		answer, config := newerThan(held, wire.CatalogRequest{AsOf: 20, ConfigRevision: 18})
		Expect(config).To(BeNil())
		Expect(answer.Snapshot).To(BeNil())
	})

	// A configuration crosses to a dozen peers at the same moment, beside callers'
	// requests: 1,650 routes are 410 KB as the platform gives them.
	It("is a tenth of what the platform gives, for a configuration of many routes", func() {
		const mostBytes = 41 << 10
		config := manyRoutes(1, 1650)
		packed, err := peer.Pack(config)
		Expect(err).NotTo(HaveOccurred())
		Expect(len(packed)).To(BeNumerically("<", mostBytes))
		var back routing.Config
		Expect(peer.Unpack(packed, &back, mostConfig)).To(Succeed())
		Expect(&back).To(Equal(config))
	})
})
