package placement_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/core/fleet"
)

var _ = Describe("Requests of a server that crashed", func() {
	// Guards against a request that crashes servers and takes those again that were lost with it before.
	It("are placed apart from each other, and others apart from them", func() {
		const engines, suspects = 8, 6
		b := board(engines)
		suspect := ask()
		suspect.Suspect = true
		taken := make(map[fleet.InstanceID]bool)
		for range suspects {
			t, _ := b.Choose(start, suspect)
			Expect(t).NotTo(BeNil())
			Expect(taken).NotTo(HaveKey(t.Server.ID))
			taken[t.Server.ID] = true
		}
		for range engines - suspects {
			t, _ := b.Choose(start, ask())
			Expect(taken).NotTo(HaveKey(t.Server.ID))
		}
	})

	It("are placed together where there is no other server", func() {
		b := board(1)
		suspect := ask()
		suspect.Suspect = true
		for range 2 {
			t, _ := b.Choose(start, suspect)
			Expect(t).NotTo(BeNil())
		}
	})
})
