package placement_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/core/placement"
)

var _ = Describe("Requests of a server that crashed", func() {
	suspect := func() placement.Request {
		a := ask()
		a.Suspect = true
		return a
	}

	// Guards against a request that crashes servers and takes those again that were lost with it before.
	DescribeTable("are placed apart", func(next placement.Request) {
		const engines, busy = 4, 2
		b := board(engines)
		for range (engines - 1) * busy {
			occupied := ask()
			occupied.Exclude = append(occupied.Exclude, id(0))
			t, _ := b.Choose(start, occupied)
			Expect(t).NotTo(BeNil())
		}
		first, _ := b.Choose(start, suspect())
		Expect(first.Server.ID).To(Equal(id(0)))
		second, _ := b.Choose(start, next)
		Expect(second.Server.ID).NotTo(Equal(id(0)))
	},
		Entry("from each other", suspect()),
		Entry("from others", ask()),
	)

	It("free their server for others when they end", func() {
		const engines = 2
		b := board(engines)
		occupied := ask()
		occupied.Exclude = append(occupied.Exclude, id(0))
		_, _ = b.Choose(start, occupied)
		t, _ := b.Choose(start, suspect())
		Expect(t.Server.ID).To(Equal(id(0)))
		t.End(start, placement.Abandoned)
		next, _ := b.Choose(start, ask())
		Expect(next.Server.ID).To(Equal(id(0)))
	})

	It("are placed together where there is no other server", func() {
		b := board(1)
		for range 2 {
			t, _ := b.Choose(start, suspect())
			Expect(t).NotTo(BeNil())
		}
	})
})
