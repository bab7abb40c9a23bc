package spread_test

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"chivespindle.example/core/spread"
	"chivespindle.example/core/weights"
)

var _ = ginkgo.Describe("one plan", func() {
	const chunks = 1
	var (
		now  time.Time
		plan *spread.Plan
		near = spread.Member{ID: "near"}
		far  = spread.Member{ID: "far"}
	)

	// connect brings up a peer that holds everything.
	connect := func(m spread.Member) {
		plan.PeerUp(now, m)
		plan.PeerHas(now, m.ID, weights.SetOf(chunks, 0))
	}
	only := func(fetches []spread.Fetch) spread.Fetch {
		ginkgo.GinkgoHelper()
		gomega.Expect(fetches).To(gomega.HaveLen(1))
		return fetches[0]
	}

	ginkgo.BeforeEach(func() {
		now = begin
		far.Region, far.Zone = "elsewhere", "elsewhere-1"
		// No chunk may be drawn, so that only peers count.
		plan = newPlan(spread.Member{ID: "self"}, []spread.Member{near, far}, chunks, spread.Settings{OriginCopies: 0.1})
	})

	// The near peer sends a chunk corrupt and its rest ends before the chunk is
	// there. The far one holds it too, so it is asked, though the near one
	// would be first choice for any other chunk. Seen without the mark: the near
	// one is asked again.
	ginkgo.It("never asks the same bad source again first", func() {
		connect(near)
		connect(far)
		first := only(plan.Next(now))
		gomega.Expect(first.Peer).To(gomega.Equal(near.ID))
		plan.Failed(now, first.ID, spread.ReasonCorrupt, 0)
		plan.PeerHas(now, near.ID, weights.SetOf(chunks, 0))
		second := only(plan.Next(now))
		gomega.Expect(second.Peer).To(gomega.Equal(far.ID))
		plan.Failed(now, second.ID, spread.ReasonBusy, 0)
		now = now.Add(time.Minute)
		gomega.Expect(only(plan.Next(now)).Peer).To(gomega.Equal(far.ID))
	})

	// The only holder sent the chunk corrupt once, origin and store give
	// nothing. After its rest, and once the chunk counts as an orphan, the peer
	// is asked again: else the plan would never end.
	ginkgo.It("asks a bad source again when there is no other", func() {
		connect(near)
		plan.Failed(now, only(plan.Next(now)).ID, spread.ReasonCorrupt, 0)
		for end := now.Add(10 * time.Minute); now.Before(end) && !plan.Complete(); now = plan.Wake(now) {
			for _, f := range plan.Next(now) {
				if f.Source == spread.SourcePeer {
					plan.Done(now, f.ID)
					return
				}
				plan.Failed(now, f.ID, spread.ReasonUnavailable, 0)
			}
		}
		ginkgo.Fail("the peer is not asked again")
	})

	// The last chunk comes slowly. A second peer is asked, whichever ends first
	// counts, and the agent is told to cancel the other. Seen without: no second
	// fetch.
	ginkgo.It("asks a second peer for the last chunk when the first is slow", func() {
		connect(near)
		first := only(plan.Next(now))
		connect(far)
		gomega.Expect(plan.Next(now)).To(gomega.BeEmpty())
		now = now.Add(10 * time.Second)
		second := only(plan.Next(now))
		gomega.Expect(second.Peer).To(gomega.Equal(far.ID))
		gomega.Expect(plan.Next(now.Add(time.Minute))).To(gomega.BeEmpty())
		gomega.Expect(plan.Done(now, second.ID)).To(gomega.ConsistOf(first.ID))
		gomega.Expect(plan.Complete()).To(gomega.BeTrue())
		gomega.Expect(plan.Done(now, first.ID)).To(gomega.BeEmpty())
		gomega.Expect(plan.Progress()).To(gomega.Equal(spread.Progress{Have: 1, Total: 1, PeerBytes: chunkBytes}))
	})

	// A peer is of another version or broken: its bitmap is of another length,
	// and it names chunks that do not exist. Nothing of it is taken.
	ginkgo.It("ignores bitmaps and chunks that do not fit", func() {
		plan.PeerUp(now, near)
		plan.PeerHas(now, near.ID, weights.SetOf(9, 0))
		plan.PeerSeen(now, weights.SetOf(9, 0))
		plan.PeerGot(now, near.ID, []int{-1, 7})
		plan.PeerGot(now, "stranger", []int{0})
		gomega.Expect(plan.Seen().Count()).To(gomega.BeZero())
		gomega.Expect(plan.Next(now)).To(gomega.BeEmpty())
		gomega.Expect(plan.Progress().Waiting).To(gomega.Equal("neighbours' first report"))
	})

	// One chunk is corrupt at the origin and in the store while all others come
	// well, so neither source is at fault as a whole. The chunk is tried ever
	// less often. Seen without a pause of its own: 78 tries.
	ginkgo.It("spends little on one corrupt chunk", func() {
		const many, tries = 100, 10
		s := spread.Settings{OriginCopies: 4, OriginRate: 5 * chunkBytes}
		plan = newPlan(spread.Member{ID: "self"}, nil, many, s)
		tried := 0
		for ; plan.Have().Count() < many-1; now = plan.Wake(now) {
			for _, f := range plan.Next(now) {
				if f.Chunk != 0 {
					plan.Done(now, f.ID)
					continue
				}
				tried++
				plan.Failed(now, f.ID, spread.ReasonCorrupt, 0)
			}
		}
		gomega.Expect(tried).To(gomega.BeNumerically("<=", tries))
	})

	// The stage is full for a moment. The chunk is not the peer's fault: it is
	// asked again from it, after a pause.
	ginkgo.It("does not blame a peer for a local failure", func() {
		connect(near)
		plan.Failed(now, only(plan.Next(now)).ID, spread.ReasonLocal, 0)
		gomega.Expect(plan.Next(now)).To(gomega.BeEmpty())
		now = now.Add(2 * time.Second)
		gomega.Expect(only(plan.Next(now)).Peer).To(gomega.Equal(near.ID))
	})
})
