package gateway

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/core/fleet"
	"chivespindle.example/daemon/mesh"
	"chivespindle.example/daemon/wire"
)

var _ = Describe("Manifests that agents have read", func() {
	var m manifests
	two := wire.Manifest{Model: "m", Version: 2, Raw: []byte("two")}

	BeforeEach(func() { m = newManifests() })

	It("are sent to each agent of the model and to each entry once", func() {
		Expect(m.add(two, false)).To(BeTrue())
		Expect(m.forAgent("a", "m")).To(Equal(&two))
		Expect(m.forAgent("a", "m")).To(BeNil())
		Expect(m.forAgent("b", "other")).To(BeNil())
		Expect(m.forEntry(nearEntry)).To(Equal(&two))
		Expect(m.forEntry(nearEntry)).To(BeNil())
		m.reset("a")
		Expect(m.forAgent("a", "m")).To(Equal(&two), "a new link may lead to a new process")
	})

	It("are forwarded from an entry of the own group to agents and other groups only", func() {
		m.add(two, true)
		Expect(m.forEntry(nearEntry)).To(BeNil())
		Expect(m.forAgent("a", "m")).NotTo(BeNil())
		Expect(m.forEntry(mesh.Peer{ID: "f", Role: fleet.RoleEntry})).To(Equal(&two))
	})

	It("are replaced by those of newer versions only", func() {
		m.add(two, false)
		Expect(m.add(wire.Manifest{Model: "m", Version: 1}, false)).To(BeFalse())
		Expect(m.add(two, false)).To(BeFalse())
		Expect(m.add(wire.Manifest{Model: "m", Version: 3}, false)).To(BeTrue())
		Expect(m.forAgent("a", "m").Version).To(Equal(uint64(3)))
	})
})
