package gateway

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/core/fleet"
	"chivespindle.example/daemon/mesh"
)

var _ = Describe("The pause between two watches of the platform", func() {
	entry := func(id fleet.InstanceID, region fleet.Region) mesh.Entry {
		return mesh.Entry{ID: id, Place: fleet.Place{Region: region}, Ready: true, Reaches: true}
	}
	others := []mesh.Entry{entry("a", "lagos"), entry("b", "kano"), entry("c", "lagos"), entry("e", "lagos"), entry("f", "lagos")}

	It("is short at the first entries of each region", func() {
		Expect(pauseAt(rankIn(others, "d", "lagos", true))).To(Equal(gatherChanges))
		Expect(pauseAt(rankIn(others, "g", "lagos", true))).To(Equal(gatherLonger))
		Expect(pauseAt(rankIn(others, "g", "kano", true))).To(Equal(gatherChanges))
	})

	// The first entries of a region are killed. The next ones watch closely once
	// the others are silent.
	It("does not count entries that are silent, leave or know nothing yet", func() {
		fewer := append([]mesh.Entry(nil), others...)
		fewer[0].Silent, fewer[2].Leaving, fewer[3].Ready = true, true, false
		Expect(pauseAt(rankIn(fewer, "g", "lagos", true))).To(Equal(gatherChanges))
	})

	// The platform turns the first entries of a region away. Those that it answers
	// read for them; while it answers none, the order is that of the ids.
	It("counts those first that the platform answers", func() {
		some := append([]mesh.Entry(nil), others...)
		some[0].Reaches, some[2].Reaches = false, false
		Expect(rankIn(some, "d", "lagos", true)).To(Equal(0))
		Expect(rankIn(some, "d", "lagos", false)).To(Equal(4))
		some[3].Reaches, some[4].Reaches = false, false
		Expect(rankIn(some, "d", "lagos", false)).To(Equal(2))
	})
})
