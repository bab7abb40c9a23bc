package placement_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/core/placement"
)

var _ = Describe("Requests that were in flight at a server that crashed", func() {
	suspect := func() placement.Request {
		a := newRequest()
		a.Suspect = true
		return a
	}

	// Guards against a request that crashes one server after another, each time
	// together with the requests that it crashed before.
	DescribeTable("are isolated", func(next placement.Request) {
		const engines, busy = 4, 2
		b := newBalancer(engines)
		for range (engines - 1) * busy {
			occupied := newRequest()
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
		Entry("from other requests", newRequest()),
	)

	It("no longer keep other requests away when they end", func() {
		const engines = 2
		b := newBalancer(engines)
		occupied := newRequest()
		occupied.Exclude = append(occupied.Exclude, id(0))
		_, _ = b.Choose(start, occupied)
		t, _ := b.Choose(start, suspect())
		Expect(t.Server.ID).To(Equal(id(0)))
		t.End(start, placement.Abandoned)
		next, _ := b.Choose(start, newRequest())
		Expect(next.Server.ID).To(Equal(id(0)))
	})

	It("share a server when there is no other", func() {
		b := newBalancer(1)
		for range 2 {
			t, _ := b.Choose(start, suspect())
			Expect(t).NotTo(BeNil())
		}
	})
})
