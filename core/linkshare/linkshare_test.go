package linkshare_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/core/linkshare"
)

const link = 1000

var start = time.Unix(1000, 0)

var _ = Describe("Share", func() {
	var share *linkshare.Share

	BeforeEach(func() {
		share = linkshare.New(linkshare.Settings{LinkBytes: link})
	})

	It("is not limited when the link's rate is unknown", func() {
		unknown := linkshare.New(linkshare.Settings{})
		Expect(unknown.Update(start, 1, 0)).To(BeZero())
	})

	It("gives weights nearly the whole link while no live request runs", func() {
		Expect(share.Update(start, 0, 0)).To(BeEquivalentTo(950))
	})

	// A technician asks in the middle of a burst. Were the weights to keep the
	// whole link, the answer would queue behind them at every hop. The share
	// falls in the same step that sees the request, before its answer flows.
	It("gives way in the step that sees a live request", func() {
		share.Update(start, 0, 0)
		Expect(share.Update(start.Add(time.Second), 1, 0)).To(BeEquivalentTo(800))
	})

	It("leaves live traffic twice the room that it used", func() {
		share.Update(start, 1, 0)
		Expect(share.Update(start.Add(time.Second), 1, 300)).To(BeEquivalentTo(400))
	})

	// Live answers fill the link for hours. A share of nothing would keep the
	// instance on the old version for as long; the floor ends the burst late
	// instead of never.
	It("keeps a floor for weights", func() {
		share.Update(start, 1, 0)
		Expect(share.Update(start.Add(time.Second), 1, 5000)).To(BeEquivalentTo(100))
	})

	It("takes the link back only after the live requests have been gone for a while", func() {
		share.Update(start, 1, 0)
		Expect(share.Update(start.Add(time.Second), 0, 0)).To(BeEquivalentTo(800))
		Expect(share.Update(start.Add(2*time.Second), 0, 0)).To(BeEquivalentTo(950))
	})
})
