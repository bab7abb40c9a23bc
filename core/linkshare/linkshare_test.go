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
		share = linkshare.New(linkshare.Settings{LinkBytesPerSecond: link})
	})

	It("is not limited when the link's rate is unknown", func() {
		unknown := linkshare.New(linkshare.Settings{})
		Expect(unknown.Update(start, 1, 0)).To(BeZero())
	})

	It("gives weight transfers nearly the whole link while no live request runs", func() {
		Expect(share.Update(start, 0, 0)).To(BeEquivalentTo(950))
	})

	// A request arrives during a burst of weight transfers. If they kept the
	// whole link, the response would be queued behind them at every hop. The
	// share decreases in the same update that sees the request, before its
	// response is sent.
	It("decreases the share in the update that sees a live request", func() {
		share.Update(start, 0, 0)
		Expect(share.Update(start.Add(time.Second), 1, 0)).To(BeEquivalentTo(800))
	})

	It("leaves live traffic twice the bandwidth that it used", func() {
		share.Update(start, 1, 0)
		Expect(share.Update(start.Add(time.Second), 1, 300)).To(BeEquivalentTo(400))
	})

	// Live responses saturate the link for hours. With a share of zero the
	// instance would stay on the old version for as long; with the minimum
	// share the transfer ends late instead of never.
	It("keeps a minimum share for weight transfers", func() {
		share.Update(start, 1, 0)
		Expect(share.Update(start.Add(time.Second), 1, 5000)).To(BeEquivalentTo(100))
	})

	It("returns to the idle share only IdleAfter after the last live request", func() {
		share.Update(start, 1, 0)
		Expect(share.Update(start.Add(time.Second), 0, 0)).To(BeEquivalentTo(800))
		Expect(share.Update(start.Add(2*time.Second), 0, 0)).To(BeEquivalentTo(950))
	})
})
