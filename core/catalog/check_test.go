package catalog_test

import (
	"github.com/joomcode/errorx"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/core/catalog"
)

var _ = Describe("Data read from the platform", func() {
	// Guards against replacing the known state by a list without a revision.
	It("is rejected without a revision", func() {
		list := catalog.Snapshot{Servers: []catalog.Server{*server("a", "10.0.0.1:80", 1)}}
		Expect(errorx.IsOfType(list.CheckList(), catalog.MissingRevision)).To(BeTrue())
		Expect(catalog.Snapshot{}.Merge(list).Servers).To(BeEmpty())
		Expect(errorx.IsOfType(catalog.CheckOrder(0, 0), catalog.MissingRevision)).To(BeTrue())
		Expect(catalog.Snapshot{}.CheckList()).To(Succeed(), "it lists no servers")
	})

	// Guards against skipping changes of a store that has lost data.
	It("is rejected if its revision went back", func() {
		Expect(errorx.IsOfType(catalog.CheckOrder(9, 8), catalog.RevisionWentBack)).To(BeTrue())
		Expect(catalog.CheckOrder(9, 9)).To(Succeed())
	})

	It("is rejected if it removes unknown servers", func() {
		held := catalog.Snapshot{AsOf: 5, Servers: []catalog.Server{*server("a", "10.0.0.1:80", 1)}}
		changes := []catalog.Change{{Revision: 4, Removed: "old"}, {Revision: 6, Removed: "a"},
			{Revision: 7, Server: server("b", "10.0.0.2:80", 7)}, {Revision: 8, Removed: "b"}}
		Expect(held.CheckRemovals(changes)).To(Succeed())
		err := held.CheckRemovals(append(changes, catalog.Change{Revision: 9, Removed: "c"}))
		Expect(errorx.IsOfType(err, catalog.UnknownServer)).To(BeTrue())
		Expect(err.Error()).To(ContainSubstring("1 unknown servers removed, the first is c at revision 9"))
	})
})
