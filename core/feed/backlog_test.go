package feed_test

import (
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/core/feed"
)

var _ = Describe("A backlog", func() {
	const most = 3
	var (
		learned feed.Counter
		marks   []feed.Mark
		fresh   feed.Cursor
	)

	BeforeEach(func() {
		learned, marks = feed.Counter{}, nil
		fresh = learned.Cursor()
		for range 2*most + 1 {
			marks = append(marks, learned.Mark(feed.Own))
		}
	})

	// message is the next one to a peer of what was learned, read in any order.
	message := func(sent feed.Cursor) ([]int, feed.Cursor) {
		b := feed.NewBacklog[int](&learned, sent, feed.Near)
		for i, m := range slices.Backward(marks) {
			if b.Lacks(m) {
				b.Add(m, i)
			}
		}
		return b.Message(most)
	}

	It("is sent in parts, in the order in which it was learned", func() {
		first, sent := message(fresh)
		second, sent := message(sent)
		rest, sent := message(sent)
		Expect([][]int{first, second, rest}).To(Equal([][]int{{0, 1, 2}, {3, 4, 5}, {6}}))
		b := feed.NewBacklog[int](&learned, sent, feed.Near)
		Expect(b.IsUpToDate()).To(BeTrue())
	})

	It("is sent to a new peer at once", func() {
		all, sent := message(0)
		Expect(all).To(Equal([]int{0, 1, 2, 3, 4, 5, 6}))
		Expect(sent).To(Equal(learned.Cursor()))
	})
})
