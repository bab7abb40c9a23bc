package serving_test

import (
	"time"

	"github.com/joomcode/errorx"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/serving"
)

// newOpenGate returns a gate that admits requests at now.
func newOpenGate(now time.Time, edits ...func(*serving.GateState)) serving.GateState {
	g := serving.GateState{
		Pinned: v2, LastServed: v1, Intended: v1, Verified: v1.Manifest,
		Status: serving.EngineStatus{BootID: "b", Loaded: v1}, StatusAt: now, MaxStatusAge: 3 * time.Second,
	}
	for _, edit := range edits {
		edit(&g)
	}
	return g
}

var _ = Describe("GateState", func() {
	now := time.Now()
	type gate = serving.GateState

	// Each entry changes one condition. Admitting the request would return a
	// response from partial, mixed or unintended weights; any outcome other
	// than "not run" would prevent a retry on another server.
	DescribeTable("refuses as not run", func(reason serving.Reason, edit func(*gate)) {
		_, err := newOpenGate(now, edit).Admit(now)
		Expect(errorx.IsOfType(err, failure.Refused)).To(BeTrue())
		Expect(failure.OutcomeOf(err)).To(Equal(failure.NotRun))
		Expect(serving.ReasonOf(err)).To(Equal(reason))
	},
		Entry("nothing is known yet", serving.ReasonNoVersion, func(g *gate) { *g = gate{} }),
		Entry("the engine has another version loaded", serving.ReasonOtherVersion, func(g *gate) { g.Status.Loaded = v2 }),
		Entry("same name, different manifest", serving.ReasonOtherVersion, func(g *gate) { g.Status.Loaded.Manifest = v2.Manifest }),
		Entry("the engine is loading", serving.ReasonChanging, func(g *gate) { g.Status.Loading = true }),
		Entry("the replica is draining", serving.ReasonChanging, func(g *gate) { g.Changing = true }),
		Entry("the status is too old", serving.ReasonStatusOld, func(g *gate) { g.StatusAt = now.Add(-4 * time.Second) }),
		Entry("the monotonic clock was stopped", serving.ReasonStatusOld, func(g *gate) { g.StatusAt = now.Round(0).Add(-time.Hour) }),
		Entry("the process was paused", serving.ReasonPaused, func(g *gate) { g.Paused = true }),
		Entry("the instance is leaving", serving.ReasonLeaving, func(g *gate) { g.Leaving = true }),
		Entry("another process took over", serving.ReasonStoodDown, func(g *gate) { g.StoodDown = true }),
		Entry("the chunks were not verified", serving.ReasonUnverified, func(g *gate) { g.Verified = v2.Manifest }),
		Entry("a version that the configuration does not allow", serving.ReasonUnpinned, func(g *gate) { g.Intended = v3 }),
		Entry("a plain service that is not up", serving.ReasonNoVersion, func(g *gate) { g.Plain = true }),
	)

	It("admits requests for the previous version until the pinned one is ready", func() {
		Expect(newOpenGate(now).Admit(now)).To(Equal(v1))
		ready := newOpenGate(now, func(g *gate) { g.Intended, g.Verified, g.Status.Loaded = v2, v2.Manifest, v2 })
		Expect(ready.Admit(now)).To(Equal(v2))
		Expect(gate{Plain: true, Open: true}.Admit(now)).To(Equal(fleet.Version{}))
	})

	// The engine changes versions between the admission and the response. The
	// response is complete but comes from another version, and the request may
	// have run: it must not be forwarded, and the outcome must not be "not
	// run".
	It("does not forward a response of another version", func() {
		Expect(serving.CheckResponse(v1, v1)).To(Succeed())
		err := newOpenGate(now).CheckResponse(v2)
		Expect(errorx.IsOfType(err, failure.Corrupt)).To(BeTrue())
		Expect(failure.OutcomeOf(err)).To(Equal(failure.Unknown))
		Expect(serving.ReasonOf(err)).To(BeEmpty())
	})
})

var _ = Describe("Fence", func() {
	// A predecessor in term 5 still has orders in flight. The successor starts
	// one term above the number that the engine reports, so every one of them
	// is lower than its first.
	It("starts one term above the reported number and increases with each order", func() {
		var f serving.Fence
		_, err := f.Next()
		Expect(errorx.IsOfType(err, failure.Internal)).To(BeTrue())
		Expect(f.TakeOver(5<<20 + 17)).To(Succeed())
		claim, err := f.Claim()
		Expect(err).NotTo(HaveOccurred())
		Expect(claim).To(Equal(serving.Order{Fence: 6<<20 + 1}))
		Expect(f.Next()).To(Equal(uint64(6<<20 + 2)))
		Expect(f.Observe(6<<20 + 2)).To(Succeed())
		Expect(f.IsAcknowledged()).To(BeTrue())
		Expect(f.Observe(0)).To(Succeed(), "the engine has restarted")
	})

	It("never exceeds a successor's number", func() {
		var f serving.Fence
		Expect(f.TakeOver(0)).To(Succeed())
		err := f.Observe(2 << 20)
		Expect(errorx.IsOfType(err, serving.Superseded)).To(BeTrue())
		Expect(f.TakeOver(2 << 20)).NotTo(Succeed())
		_, err = f.Next()
		Expect(errorx.IsOfType(err, serving.Superseded)).To(BeTrue())
		Expect(f.Observe(0)).NotTo(Succeed())
		Expect(f.IsSuperseded()).To(BeTrue())
	})
})

var _ = Describe("PauseDetector", func() {
	It("detects a pause by either clock", func() {
		now := time.Now()
		d := serving.NewPauseDetector(2 * time.Second)
		Expect(d.SuspectsPause(now)).To(BeTrue(), "before the first tick")
		d.Tick(now)
		Expect(d.SuspectsPause(now.Add(2 * time.Second))).To(BeFalse())
		Expect(d.SuspectsPause(now.Add(2*time.Second + 1))).To(BeTrue())
		Expect(d.SuspectsPause(now.Round(0).Add(3*time.Second))).To(BeTrue(), "wall clock alone")
		Expect(d.Tick(now.Add(time.Minute))).To(BeTrue())
		Expect(d.Tick(now.Add(time.Minute))).To(BeFalse())
	})

	It("requires every source to be read again and ignores reads requested before the pause", func() {
		now := time.Now()
		var f serving.RefreshTracker
		f.Record(serving.SourceConfig, now)
		f.Record(serving.SourceEngine, now)
		f.Record(serving.SourceMembers, now)
		Expect(f.IsFresh()).To(BeTrue())
		f.Invalidate(now.Add(time.Second))
		Expect(f.Record(serving.SourceEngine, now)).To(BeFalse())
		Expect(f.Record(serving.SourceConfig, now.Add(time.Second))).To(BeTrue())
		Expect(f.Missing()).To(Equal([]serving.StateSource{serving.SourceEngine, serving.SourceMembers}))
		Expect(serving.SourceMembers.String()).To(Equal("members"))
	})

	// The control loop decides on an order, the process is paused, and the
	// sending goroutine resumes an hour later. By then another process may have
	// taken over, and an engine that ignores fencing numbers would carry out
	// the order.
	It("expires an order by either clock", func() {
		now := time.Now()
		order := serving.SendOrder{NotAfter: now.Add(2 * time.Second)}
		Expect(order.Expired(now.Add(time.Second))).To(BeFalse())
		Expect(order.Expired(now.Add(3 * time.Second))).To(BeTrue())
		Expect(order.Expired(now.Round(0).Add(time.Hour))).To(BeTrue())
	})
})
