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
		Expect(m.add(two, false, 0)).To(BeTrue())
		Expect(m.forAgent("a", "m")).To(Equal(&two))
		Expect(m.forAgent("a", "m")).To(BeNil())
		Expect(m.forAgent("b", "other")).To(BeNil())
		Expect(m.forEntry(nearEntry)).To(Equal(&two))
		Expect(m.forEntry(nearEntry)).To(BeNil())
		m.reset("a")
		Expect(m.forAgent("a", "m")).To(Equal(&two), "a new link may lead to a new process")
	})

	It("are forwarded from an entry of the own group to agents and other groups only", func() {
		m.add(two, true, 0)
		Expect(m.forEntry(nearEntry)).To(BeNil())
		Expect(m.forAgent("a", "m")).NotTo(BeNil())
		Expect(m.forEntry(mesh.Peer{ID: "f", Role: fleet.RoleEntry})).To(Equal(&two))
	})

	It("are replaced by those of newer versions only", func() {
		m.add(two, false, 0)
		Expect(m.add(wire.Manifest{Model: "m", Version: 1}, false, 0)).To(BeFalse())
		Expect(m.add(two, false, 0)).To(BeFalse())
		Expect(m.add(wire.Manifest{Model: "m", Version: 3}, false, 0)).To(BeTrue())
		Expect(m.forAgent("a", "m").Version).To(Equal(uint64(3)))
	})

	// Guards against an entry that passes on no manifest any more after one with a version
	// number that the operator has not named.
	It("do not block those of the named version if their own version is higher", func() {
		const named = 3
		for _, version := range []uint64{9, 12, 10, 11, 14, 13} {
			m.add(wire.Manifest{Model: "m", Version: version}, false, named)
		}
		Expect(m.add(wire.Manifest{Model: "m", Version: named}, false, named)).To(BeTrue())
		Expect(m.forAgent("a", "m").Version).To(Equal(uint64(named)))
		Expect(m.forEntry(nearEntry).Version).To(Equal(uint64(named)))
		Expect(m.add(two, false, named)).To(BeFalse(), "its version is no longer wanted")
	})

	// Guards against manifests that circulate between entries, and against memory that
	// grows with the number of versions that no one has named.
	It("are accepted once each, and limited in number, if their versions were not named", func() {
		accepted := 0
		for range 3 {
			for version := uint64(20); version > 3; version-- {
				if m.add(wire.Manifest{Model: "m", Version: version}, false, 3) {
					accepted++
				}
			}
		}
		Expect(accepted).To(Equal(17))
		sent := 0
		for m.forAgent("a", "m") != nil {
			sent++
		}
		Expect(sent).To(Equal(maxManifests))
		Expect(m.add(wire.Manifest{Model: "m", Version: 30}, false, 30)).To(BeTrue(), "a newer version was named")
	})
})
