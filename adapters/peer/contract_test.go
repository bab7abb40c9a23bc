package peer_test

import (
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"chivespindle.example/adapters/peer"
	"chivespindle.example/core/fleet"
)

var _ = ginkgo.Describe("exchange", func() {
	ginkgo.It("echoes a message", func() {
		authority := newAuthority()
		server := start(peer.Options{Keys: storeOf(authority, fleet.RoleAgent, "a"), Handler: handlerFunc(echo)})
		client := start(peer.Options{Keys: storeOf(authority, fleet.RoleEntry, "e")})
		got, err := ask(client, server.Addr(), peer.KindRequest, "hello")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(got).To(gomega.Equal("hello"))
	})
})
