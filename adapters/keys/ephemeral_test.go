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

	newStore := func(identity keys.Identity) *keys.Store {
		s, err := keys.Ephemeral(identity)
		Expect(err).NotTo(HaveOccurred())
		return s
	}

	It("accepts other ephemeral certificates with their identity", func() {
		a, b := newStore(entry), newStore(agent)
		cert, err := b.ServerTLS().GetCertificate(&tls.ClientHelloInfo{})
		Expect(err).NotTo(HaveOccurred())
		Expect(a.Check([]*x509.Certificate{cert.Leaf})).To(Succeed())
		Expect(keys.IdentityOf(cert.Leaf)).To(Equal(agent))
	})

	// After a crash, the next process knows nothing of its predecessor's
	// connections. With the same secret it resets them at the first packet.
	It("has the same secret in the next process of the instance", func() {
		Expect(newStore(entry).Secret("reset")).To(Equal(newStore(entry).Secret("reset")))
		Expect(newStore(entry).Secret("reset")).NotTo(Equal(newStore(agent).Secret("reset")))
	})

	It("refuses an identity that a certificate cannot contain", func() {
		_, err := keys.Ephemeral(keys.Identity{ID: "no such/id", Role: fleet.RoleEntry})
		Expect(err).To(HaveOccurred())
	})
})
