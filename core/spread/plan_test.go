package spread_test

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"chivespindle.example/core/spread"
	"chivespindle.example/core/weights"
)

var _ = ginkgo.Describe("Plan", func() {
	const chunks = 1
	var (
		now  time.Time
		plan *spread.Plan
		near = spread.Member{ID: "near"}
		far  = spread.Member{ID: "far"}
	)

	// connect connects a peer that holds every chunk.
	connect := func(m spread.Member) {
		plan.PeerUp(now, m)
		plan.SetPeerChunks(now, m.ID, weights.SetOf(chunks, 0))
	}
	only := func(fetches []spread.Fetch) spread.Fetch {
		ginkgo.GinkgoHelper()
		gomega.Expect(fetches).To(gomega.HaveLen(1))
		return fetches[0]
	}

	ginkgo.BeforeEach(func() {
		now = startTime
		far.Region, far.Zone = "elsewhere", "elsewhere-1"
		// The quota is zero, so no fetch from the origin can start.
		plan = newPlan(spread.Member{ID: "self"}, []spread.Member{near, far}, chunks, spread.Settings{OriginCopies: 0.1})
	})

	// The near peer sends a chunk corrupt, and its pause ends before the chunk is held.
	// The far peer also holds it and is preferred for this chunk, although the near one
	// would be first for any other. If the corrupt chunk is not marked, the near peer
	// is asked again.
	ginkgo.It("prefers another peer after a corrupt chunk", func() {
		connect(near)
		connect(far)
		first := only(plan.Next(now))
		gomega.Expect(first.Peer).To(gomega.Equal(near.ID))
		plan.Failed(now, first.ID, spread.ReasonCorrupt, 0)
		plan.SetPeerChunks(now, near.ID, weights.SetOf(chunks, 0))
		second := only(plan.Next(now))
		gomega.Expect(second.Peer).To(gomega.Equal(far.ID))
		plan.Failed(now, second.ID, spread.ReasonBusy, 0)
		now = now.Add(time.Minute)
		gomega.Expect(only(plan.Next(now)).Peer).To(gomega.Equal(far.ID))
	})

	// The only holder sent the chunk corrupt once, and the origin and the store fail.
	// After its pause, and once the chunk is an orphan, the peer is asked again;
	// otherwise the plan would never complete.
	ginkgo.It("retries a peer that sent a corrupt chunk when there is no other source", func() {
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
		ginkgo.Fail("the peer is not retried")
	})

	// The last chunk is slow. A second peer is asked, the first result counts, and the
	// agent is told to cancel the other fetch. Without it there is no second fetch.
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

	// A peer of another version or with a fault sends a bitmap of another length and
	// chunk indexes out of range. Both are ignored.
	ginkgo.It("ignores bitmaps of another length and chunks out of range", func() {
		plan.PeerUp(now, near)
		plan.SetPeerChunks(now, near.ID, weights.SetOf(9, 0))
		plan.MergeSeen(now, weights.SetOf(9, 0))
		plan.AddPeerChunks(now, near.ID, []int{-1, 7})
		plan.AddPeerChunks(now, "stranger", []int{0})
		gomega.Expect(plan.Seen().Count()).To(gomega.BeZero())
		gomega.Expect(plan.Next(now)).To(gomega.BeEmpty())
		gomega.Expect(plan.Progress().Waiting).To(gomega.Equal("neighbours' first report"))
	})

	// One chunk is corrupt at the origin and in the store while all others are valid,
	// so neither source as a whole counts as failing. The chunk is retried with
	// increasing pauses. Without a pause per chunk: 78 attempts.
	ginkgo.It("limits the attempts for one corrupt chunk", func() {
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

	// The stage is full for a short time. This is not a fault of the peer: the chunk is
	// requested from it again after a pause.
	ginkgo.It("does not pause a peer after a local failure", func() {
		connect(near)
		plan.Failed(now, only(plan.Next(now)).ID, spread.ReasonLocal, 0)
		gomega.Expect(plan.Next(now)).To(gomega.BeEmpty())
		now = now.Add(2 * time.Second)
		gomega.Expect(only(plan.Next(now)).Peer).To(gomega.Equal(near.ID))
	})
})
