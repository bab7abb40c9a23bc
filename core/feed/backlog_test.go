package feed_test

import (
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/core/feed"
)

var _ = Describe("A backlog", func() {
	const limit = 3
	var (
		counter feed.Counter
		marks   []feed.Mark
		fresh   feed.Cursor
	)

	BeforeEach(func() {
		counter, marks = feed.Counter{}, nil
		fresh = counter.Cursor()
		for range 2*limit + 1 {
			marks = append(marks, counter.Mark(feed.Local))
		}
	})

	// message returns the next message to a peer. Reports are added in descending order.
	message := func(sent feed.Cursor) ([]int, feed.Cursor) {
		b := feed.NewBacklog[int](&counter, sent, feed.SameGroup)
		for i, m := range slices.Backward(marks) {
			if b.Lacks(m) {
				b.Add(m, i)
			}
		}
		return b.Message(limit)
	}

	It("is sent in several messages, in the order in which the reports were learned", func() {
		first, sent := message(fresh)
		second, sent := message(sent)
		rest, sent := message(sent)
		Expect([][]int{first, second, rest}).To(Equal([][]int{{0, 1, 2}, {3, 4, 5}, {6}}))
		b := feed.NewBacklog[int](&counter, sent, feed.SameGroup)
		Expect(b.IsUpToDate()).To(BeTrue())
	})

	It("is sent to a new peer in one message", func() {
		all, sent := message(0)
		Expect(all).To(Equal([]int{0, 1, 2, 3, 4, 5, 6}))
		Expect(sent).To(Equal(counter.Cursor()))
	})
})
