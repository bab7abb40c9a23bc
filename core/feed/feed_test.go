package feed_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/core/feed"
)

var _ = Describe("A mark", func() {
	DescribeTable("is due once, to peers that do not receive it from others", func(from, to feed.Source, due bool) {
		var c feed.Counter
		sent := c.Cursor()
		m := c.Mark(from)
		Expect(m.IsDue(sent, to)).To(Equal(due))
		Expect(m.IsDue(m.Cursor(), to)).To(BeFalse())
		Expect(m.IsDue(0, to)).To(BeTrue())
	},
		Entry("local, to a peer of the same group", feed.Local, feed.SameGroup, true),
		Entry("local, to a peer of another group", feed.Local, feed.OtherGroup, true),
		Entry("same group, to a peer of the same group", feed.SameGroup, feed.SameGroup, false),
		Entry("same group, to a peer of another group", feed.SameGroup, feed.OtherGroup, true),
		Entry("another group, to a peer of the same group", feed.OtherGroup, feed.SameGroup, true),
		Entry("another group, to a peer of another group", feed.OtherGroup, feed.OtherGroup, false),
	)

	It("is never due if nothing was learned", func() {
		Expect(feed.Mark{}.IsDue(0, feed.SameGroup)).To(BeFalse())
	})

	It("comes after everything that was sent before", func() {
		var c feed.Counter
		first := c.Mark(feed.Local)
		sent := c.Cursor()
		Expect(first.IsDue(sent, feed.SameGroup)).To(BeFalse())
		Expect(c.Mark(feed.Local).IsDue(sent, feed.SameGroup)).To(BeTrue())
	})
})
