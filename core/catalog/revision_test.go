package catalog_test

import (
	"math"

	"github.com/joomcode/errorx"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/core/catalog"
	"chivespindle.example/core/failure"
	"chivespindle.example/core/routing"
)

func revision(era, counter int64) catalog.Revision {
	r, err := catalog.NewRevision(era, counter)
	Expect(err).NotTo(HaveOccurred())
	return r
}

var _ = Describe("A revision", func() {
	It("is newer in a later era, whatever its counter", func() {
		Expect(revision(2, 1)).To(BeNumerically(">", revision(1, 900)))
		Expect(revision(2, 7)).To(BeNumerically(">", revision(2, 6)))
		Expect(revision(1, 1)).To(BeNumerically(">", revision(0, 900)))
	})

	It("has an era and a counter", func() {
		r := revision(6, 22)
		Expect(r.Era()).To(Equal(int64(6)))
		Expect(r.Counter()).To(Equal(int64(22)))
		Expect(r.String()).To(Equal("6/22"))
		Expect(revision(0, 22)).To(Equal(catalog.Revision(22)))
		Expect(revision(0, 22).String()).To(Equal("22"))
	})

	It("is unknown without a counter", func() {
		Expect(revision(6, 0)).To(BeZero())
		Expect(revision(6, -3)).To(BeZero())
	})

	DescribeTable("is refused if a number is out of range", func(era, counter int64) {
		_, err := catalog.NewRevision(era, counter)
		Expect(errorx.IsOfType(err, failure.Corrupt)).To(BeTrue())
	},
		Entry("negative era", int64(-1), int64(5)),
		Entry("large era", int64(1<<23), int64(5)),
		Entry("large counter", int64(1), int64(1<<40)),
		Entry("both", int64(math.MaxInt64), int64(math.MaxInt64)),
	)
})

var _ = Describe("A snapshot of a platform that returned from an older copy", func() {
	held := catalog.Snapshot{AsOf: revision(1, 32), OperatorAsOf: revision(1, 32), Config: &routing.Config{Version: 24},
		Servers: []catalog.Server{*server("a", "10.0.0.1:80", revision(1, 30))}}

	// Guards against servers that are never read again after the return, and against a
	// configuration that goes back with it.
	It("replaces the servers, but not a newer configuration", func() {
		next := held.Merge(catalog.Snapshot{AsOf: revision(2, 22), OperatorAsOf: revision(2, 22), Config: &routing.Config{Version: 20},
			Servers: []catalog.Server{*server("b", "10.0.0.2:80", revision(2, 11))}})
		Expect(ids(next)).To(ConsistOf(BeEquivalentTo("b")))
		Expect(next.AsOf).To(Equal(revision(2, 22)))
		Expect(next.ConfigVersion()).To(Equal(int64(24)))
		next = next.Apply([]catalog.Change{{Revision: revision(2, 23), Config: &routing.Config{Version: 26}}}, revision(2, 23))
		Expect(next.ConfigVersion()).To(Equal(int64(26)))
	})

	It("is not replaced by one from before the return", func() {
		after := catalog.Snapshot{AsOf: revision(2, 22), Config: &routing.Config{Version: 24}}
		Expect(after.Merge(held).AsOf).To(Equal(revision(2, 22)))
		Expect(catalog.CheckOrder(after.AsOf, held.AsOf)).To(HaveOccurred())
		Expect(catalog.CheckOrder(held.AsOf, after.AsOf)).To(Succeed())
	})
})
