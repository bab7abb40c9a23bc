package gateway

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/core/fleet"
	"chivespindle.example/daemon/wire"
)

var _ = Describe("Manifests that agents have read", func() {
	var m manifests
	two := wire.Manifest{Model: "m", Version: 2, Raw: []byte("two")}

	BeforeEach(func() { m = newManifests() })

	It("are told to each agent of the model and to each entry once", func() {
		Expect(m.take(two, true)).To(BeTrue())
		Expect(m.forPeer("a", fleet.RoleAgent, "m")).To(Equal(&two))
		Expect(m.forPeer("a", fleet.RoleAgent, "m")).To(BeNil())
		Expect(m.forPeer("b", fleet.RoleAgent, "other")).To(BeNil())
		Expect(m.forPeer("e", fleet.RoleEntry, "")).To(Equal(&two))
		Expect(m.forPeer("e", fleet.RoleEntry, "")).To(BeNil())
		m.lost("a")
		Expect(m.forPeer("a", fleet.RoleAgent, "m")).To(Equal(&two), "a new link may lead to a new process")
	})

	It("do not go round between entries", func() {
		m.take(two, false)
		Expect(m.forPeer("e", fleet.RoleEntry, "")).To(BeNil())
		Expect(m.forPeer("a", fleet.RoleAgent, "m")).NotTo(BeNil())
	})

	It("give way to those of newer versions only", func() {
		m.take(two, true)
		Expect(m.take(wire.Manifest{Model: "m", Version: 1}, true)).To(BeFalse())
		Expect(m.take(two, true)).To(BeFalse())
		Expect(m.take(wire.Manifest{Model: "m", Version: 3}, true)).To(BeTrue())
		Expect(m.forPeer("a", fleet.RoleAgent, "m").Version).To(Equal(uint64(3)))
	})
})
