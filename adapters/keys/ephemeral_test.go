package keys_test

import (
	"crypto/tls"
	"crypto/x509"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/adapters/keys"
	"chivespindle.example/core/fleet"
)

var _ = Describe("Ephemeral", func() {
	entry := keys.Identity{ID: "10.0.0.1", Role: fleet.RoleEntry}
	agent := keys.Identity{ID: "10.0.0.2", Role: fleet.RoleAgent}

	make := func(who keys.Identity) *keys.Store {
		s, err := keys.Ephemeral(who)
		Expect(err).NotTo(HaveOccurred())
		return s
	}

	It("accepts other certificates of its kind and takes their identity", func() {
		a, b := make(entry), make(agent)
		cert, err := b.ServerTLS().GetCertificate(&tls.ClientHelloInfo{})
		Expect(err).NotTo(HaveOccurred())
		Expect(a.Check([]*x509.Certificate{cert.Leaf})).To(Succeed())
		Expect(keys.IdentityOf(cert.Leaf)).To(Equal(agent))
	})

	// A process is killed and its successor knows nothing of the connections that
	// lead to it. With the same secret it resets them at the first packet.
	It("has the same secret in the next process of the instance", func() {
		Expect(make(entry).Secret("reset")).To(Equal(make(entry).Secret("reset")))
		Expect(make(entry).Secret("reset")).NotTo(Equal(make(agent).Secret("reset")))
	})

	It("refuses an identity that no certificate can carry", func() {
		_, err := keys.Ephemeral(keys.Identity{ID: "no such/id", Role: fleet.RoleEntry})
		Expect(err).To(HaveOccurred())
	})
})
