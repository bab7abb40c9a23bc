package placement_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/core/placement"
)

var _ = Describe("A server that states that it is leaving", func() {
	const leaving = 0
	var b *placement.Balancer

	BeforeEach(func() {
		b = newBalancer(2)
		Expect(b.RecordLeaving(start, id(leaving))).To(BeTrue())
	})

	isUsed := func(now time.Time) bool {
		for range 20 {
			t, _ := b.Choose(now, smallRequest())
			t.End(now, placement.Succeeded)
			if t.Server.ID == id(leaving) {
				return true
			}
		}
		return false
	}

	It("gets no requests, and the others get them", func() {
		Expect(isUsed(start)).To(BeFalse())
		Expect(b.IsLeaving(id(leaving))).To(BeTrue())
	})

	// Guards against a list of servers that undoes the statement.
	It("gets none after a list that does not say so", func() {
		b.SetServers(start.Add(time.Second), servers(2))
		Expect(isUsed(start.Add(time.Second))).To(BeFalse())
	})

	// Guards against a registration that lapses and returns without the statement.
	It("gets none after its registration has lapsed and returned", func() {
		b.SetServers(start.Add(time.Second), servers(2)[1:])
		b.SetServers(start.Add(time.Minute), servers(2))
		Expect(isUsed(start.Add(time.Minute))).To(BeFalse())
	})

	It("makes the entry refuse requests if it was the last one", func() {
		b.RecordLeaving(start, id(1))
		t, refusal := b.Choose(start, smallRequest())
		Expect(t).To(BeNil())
		Expect(refusal.Reason).To(Equal(placement.NoServer))
	})

	// Guards against a restarted server that stays idle because of its predecessor.
	It("is used again after it has restarted under the same ID", func() {
		list := servers(2)
		list[leaving].Born = 1
		b.SetServers(start, list)
		Expect(isUsed(start)).To(BeFalse())
		list[leaving].Born = 2
		b.SetServers(start, list)
		Expect(isUsed(start)).To(BeTrue())
	})

	// Guards against a request that waits for a connection while the server states it.
	It("gets no requests that were placed before and not sent", func() {
		b = newBalancer(1)
		t, _ := b.Choose(start, smallRequest())
		Expect(t.IsRevoked(start)).To(BeFalse())
		b.RecordLeaving(start, id(0))
		Expect(t.IsRevoked(start)).To(BeTrue())
	})

	It("is forgotten some time after it is no longer listed", func() {
		b.SetServers(start, servers(2)[1:])
		Expect(b.StatesLeaving(id(leaving))).To(BeTrue())
		b.SetServers(start.Add(time.Hour), servers(2)[1:])
		Expect(b.StatesLeaving(id(leaving))).To(BeFalse())
	})
})

var _ = Describe("The statements of servers", func() {
	var b *placement.Balancer

	BeforeEach(func() { b = newBalancer(1) })

	It("are reported as new once", func() {
		Expect(b.RecordLeaving(start, "s-0")).To(BeTrue())
		Expect(b.RecordLeaving(start, "s-0")).To(BeFalse())
	})
})
