package serving_test

import (
	"time"

	"github.com/joomcode/errorx"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/gossip"
	"chivespindle.example/core/serving"
)

func version(name string) fleet.Version {
	return fleet.Version{Name: name, Manifest: fleet.DigestOf([]byte(name))}
}

var (
	v1 = version("v1")
	v2 = version("v2")
	v3 = version("v3")
)

// bench drives one Changeover by hand: it keeps the clock and the engine.
type bench struct {
	now     time.Time
	machine *serving.Changeover
	engine  serving.EngineStatus
	last    []serving.Action
	order   serving.SendOrder // the newest
}

func newBench() *bench {
	return &bench{
		now:     time.Now(),
		machine: serving.NewChangeover(serving.ChangeoverOptions{}),
		engine:  serving.EngineStatus{BootID: "boot-1"},
	}
}

// step advances the clock a little and posts the event.
func (b *bench) step(event serving.Event) []serving.Action {
	b.now = b.now.Add(10 * time.Millisecond)
	b.last = b.machine.Step(b.now, event)
	if order, ok := find[serving.SendOrder](b.last); ok {
		b.order = order
	}
	return b.last
}

func (b *bench) read() []serving.Action {
	return b.step(serving.StatusRead{Status: b.engine, RequestedAt: b.now})
}

func find[T serving.Action](actions []serving.Action) (T, bool) {
	for _, a := range actions {
		if found, ok := a.(T); ok {
			return found, true
		}
	}
	var none T
	return none, false
}

func must[T serving.Action](actions []serving.Action) T {
	GinkgoHelper()
	found, ok := find[T](actions)
	Expect(ok).To(BeTrue(), "no %T in %v", found, actions)
	return found
}

// accept lets the engine accept and carry out the order just sent.
func (b *bench) accept() []serving.Action {
	GinkgoHelper()
	order := b.order.Order
	b.engine.Fence = order.Fence
	if !order.Version.IsZero() {
		b.engine.Loaded = order.Version
	}
	b.step(serving.OrderAccepted{Attempt: b.order.Attempt})
	return b.read()
}

// fetch completes the fetch just started.
func (b *bench) fetch() fleet.Version {
	GinkgoHelper()
	start := must[serving.StartFetch](b.last)
	b.step(serving.ChunksComplete{Fetch: start.Fetch, Version: start.Version})
	return start.Version
}

// claimed returns a bench whose engine was found with loaded and claimed.
func claimed(target, loaded fleet.Version) *bench {
	GinkgoHelper()
	b := newBench()
	b.engine.Loaded = loaded
	b.step(serving.TargetChanged{Version: target})
	b.read()
	b.accept()
	return b
}

// serve takes the bench from an empty engine to serving v.
func serve(v fleet.Version) *bench {
	GinkgoHelper()
	b := claimed(v, fleet.Version{})
	b.fetch()
	must[serving.RequestTurn](b.last)
	b.step(serving.TurnGranted{Version: v})
	b.accept()
	Expect(must[serving.StartServing](b.last).Version).To(Equal(v))
	return b
}

// drain takes the bench from serving v1 to draining for v.
func drain(v fleet.Version) *bench {
	GinkgoHelper()
	b := serve(v1)
	b.step(serving.TargetChanged{Version: v})
	b.fetch()
	b.step(serving.TurnGranted{Version: v})
	return b
}

// order takes the bench on to the order for v; for v1 it is the first.
func order(v fleet.Version) *bench {
	GinkgoHelper()
	if v == v1 {
		b := claimed(v1, fleet.Version{})
		b.fetch()
		b.step(serving.TurnGranted{Version: v1})
		return b
	}
	b := drain(v)
	b.step(serving.Drained{Drain: must[serving.StopAdmitting](b.last).Drain})
	return b
}

// pass lets time go by in ticks of a second and collects what they ask for.
func (b *bench) pass(d time.Duration) []serving.Action {
	var all []serving.Action
	for end := b.now.Add(d); b.now.Before(end); {
		b.now = b.now.Add(time.Second)
		all = append(all, b.step(serving.Tick{})...)
	}
	return all
}

var _ = Describe("Changeover", func() {
	It("takes a replica from one version to the next without serving both", func() {
		b := serve(v1)
		b.step(serving.TargetChanged{Version: v2})
		Expect(b.machine.Serving()).To(Equal(v1))
		Expect(b.fetch()).To(Equal(v2))
		Expect(b.machine.State()).To(Equal(gossip.StateStaged))
		b.step(serving.TurnGranted{Version: v2})
		stop := must[serving.StopAdmitting](b.last)
		Expect(b.machine.Serving().IsZero()).To(BeTrue())
		b.step(serving.Drained{Drain: stop.Drain})
		Expect(b.machine.State()).To(Equal(gossip.StateChanging))
		b.accept()
		Expect(b.machine.Serving()).To(Equal(v2))
		Expect(b.machine.Phase()).To(Equal(serving.PhaseIdle))
		admitted, err := b.machine.Gate().Admit(b.now)
		Expect(err).NotTo(HaveOccurred())
		Expect(admitted).To(Equal(v2))
	})

	// The process starts beside an engine that a predecessor has left serving.
	// If it is the pinned version it goes on without a load; any other version
	// may be a half-finished change or a withdrawn one, and nobody knows which
	// text named it, so no caller is answered from it.
	DescribeTable("finds an engine at its start", func(loaded, served fleet.Version) {
		b := claimed(v1, loaded)
		Expect(b.machine.Serving()).To(Equal(served))
		_, fetching := find[serving.StartFetch](b.last)
		Expect(fetching).To(Equal(served.IsZero()))
	},
		Entry("with the target", v1, v1),
		Entry("with another version", v2, fleet.Version{}),
		Entry("with nothing", fleet.Version{}, fleet.Version{}),
	)

	// All agents of a service are restarted while its rollout stands still. The
	// engines have the former version, the text pins the next. If none served
	// what it found, callers would have nobody to ask until the next version
	// had come to all; so the word of one that still serves is enough.
	It("serves on what it found once others are seen to serve it", func() {
		b := claimed(v2, v1)
		Expect(b.machine.Serving().IsZero()).To(BeTrue())
		b.step(serving.ServedElsewhere{Versions: []fleet.Version{v3}})
		Expect(b.machine.Serving().IsZero()).To(BeTrue())
		b.step(serving.ServedElsewhere{Versions: []fleet.Version{v1}})
		Expect(must[serving.StartServing](b.last).Version).To(Equal(v1))
		Expect(b.machine.Phase()).To(Equal(serving.PhaseFetching))
	})

	It("does not take others' word once it has served by itself", func() {
		b := serve(v1)
		b.engine.Loaded = v2
		b.read()
		b.accept()
		b.step(serving.ServedElsewhere{Versions: []fleet.Version{v2}})
		Expect(b.machine.Serving().IsZero()).To(BeTrue())
	})

	// A newer text arrives while the older is on its way. Fetching the older on
	// would waste the origin's link; a replica that is out must not come back
	// with a version that is no longer wanted if the wanted one is at hand.
	Describe("meets a newer target", func() {
		It("while fetching: it stops and reuses what it has", func() {
			b := serve(v1)
			b.step(serving.TargetChanged{Version: v2})
			b.step(serving.TargetChanged{Version: v3})
			Expect(must[serving.StopFetch](b.last).Version).To(Equal(v2))
			start := must[serving.StartFetch](b.last)
			Expect(start.Version).To(Equal(v3))
			Expect(start.Reuse).To(ConsistOf(v1.Manifest, v2.Manifest))
			Expect(b.fetch()).To(Equal(v3))
			Expect(must[serving.DropStage](b.last).Manifest).To(Equal(v2.Manifest))
			Expect(b.machine.Serving()).To(Equal(v1))
		})

		It("while draining: it serves on and fetches the newer", func() {
			b := drain(v2)
			b.step(serving.TargetChanged{Version: v3})
			Expect(must[serving.ResumeAdmitting](b.last).Version).To(Equal(v1))
			Expect(must[serving.StartFetch](b.last).Version).To(Equal(v3))
		})

		It("while loading, going back: it orders the former at once", func() {
			b := order(v2)
			b.step(serving.TargetChanged{Version: v1})
			b.accept()
			Expect(must[serving.SendOrder](b.last).Order.Version).To(Equal(v1))
			_, served := find[serving.StartServing](b.last)
			Expect(served).To(BeFalse())
			b.accept()
			Expect(b.machine.Serving()).To(Equal(v1))
		})

		It("while loading, not yet staged: it serves what is loaded meanwhile", func() {
			b := order(v2)
			b.step(serving.TargetChanged{Version: v3})
			b.accept()
			Expect(b.machine.Serving()).To(Equal(v2))
			Expect(must[serving.StartFetch](b.last).Version).To(Equal(v3))
		})

		It("after the change, going back: it needs no fetch", func() {
			b := order(v2)
			b.accept()
			b.step(serving.TargetChanged{Version: v1})
			Expect(must[serving.RequestTurn](b.last).Version).To(Equal(v1))
		})
	})

	// A request runs longer than the drain may take. Ordering now would cut it
	// off in the middle of its answer; waiting on would hold the zone's slot.
	It("puts the change off rather than cut a request", func() {
		b := drain(v2)
		b.pass(time.Minute)
		b.step(serving.DrainDeadline{})
		Expect(b.last).To(BeEmpty(), "the deadline of an earlier drain")
		must[serving.ResumeAdmitting](b.pass(2 * time.Minute))
		Expect(b.machine.Serving()).To(Equal(v1))
		Expect(b.machine.State()).To(Equal(gossip.StateStaged))
	})

	// The engine refuses the new version every time. The replica must not stay
	// out for ever, nor try without pause, each try costing a load: after some
	// failures it goes back to the version that its callers had before.
	It("goes back to the former version when the target does not load", func() {
		b := order(v2)
		b.engine.Loaded = fleet.Version{}
		for range 3 {
			refused := must[serving.SendOrder](b.last)
			b.step(serving.OrderFailed{Attempt: refused.Attempt, Err: failure.Internal.New("out of memory")})
			b.pass(10 * time.Second)
			b.read()
			b.accept()
			if b.machine.Phase() == serving.PhaseFetching {
				b.fetch()
			}
			b.step(serving.TurnGranted{Version: must[serving.RequestTurn](b.last).Version})
		}
		Expect(must[serving.SendOrder](b.last).Order.Version).To(Equal(v1))
		b.accept()
		Expect(b.machine.Serving()).To(Equal(v1))
		Expect(b.machine.Phase()).To(Equal(serving.PhaseWaiting))
		b.pass(3 * time.Minute)
		Expect(b.machine.Phase()).To(Equal(serving.PhaseWaiting))
		b.pass(3 * time.Minute)
		Expect(b.machine.Phase()).To(Equal(serving.PhaseFetching))
	})

	// The engine's process dies while it loads and comes back empty. What was
	// staged went with it, so an order now would be refused for ever.
	It("fetches again after the engine has restarted", func() {
		b := order(v2)
		b.engine = serving.EngineStatus{BootID: "boot-2"}
		b.read()
		b.accept()
		Expect(must[serving.StartFetch](b.last).Version).To(Equal(v2))
		Expect(b.machine.Serving().IsZero()).To(BeTrue())
	})

	// An order is given up, then claims raise the number, and the engine at
	// last gets the old order and refuses it. Taken for a successor's claim it
	// would end this process's work for good, with nobody else there.
	It("does not stand down for the refusal of an order that it gave up", func() {
		b := order(v2)
		late := must[serving.SendOrder](b.last)
		b.pass(40 * time.Second)
		b.read()
		b.step(serving.OrderFailed{Attempt: late.Attempt, Err: failure.Refused.New("old number")})
		Expect(b.machine.Phase()).NotTo(Equal(serving.PhaseStoodDown))
	})

	It("stands down for good when the engine refuses its newest number", func() {
		b := order(v1)
		newest := must[serving.SendOrder](b.last)
		b.step(serving.OrderFailed{Attempt: newest.Attempt, Err: failure.Refused.New("higher number")})
		err := must[serving.StandDown](b.last).Err
		Expect(errorx.IsOfType(err, serving.Superseded)).To(BeTrue())
		Expect(b.step(serving.Tick{})).To(BeEmpty())
		_, err = b.machine.Gate().Admit(b.now)
		Expect(serving.ReasonOf(err)).To(Equal(serving.ReasonStoodDown))
	})

	It("raises an alarm when a load does not end, and goes on reading", func() {
		b := order(v2)
		b.step(serving.OrderAccepted{Attempt: must[serving.SendOrder](b.last).Attempt})
		b.engine.Loading = true
		b.read()
		Expect(b.pass(11 * time.Minute)).To(ContainElement(BeAssignableToTypeOf(serving.Alarm{})))
		Expect(b.machine.Phase()).To(Equal(serving.PhaseReading))
	})

	It("changes nothing any more once the instance is leaving", func() {
		b := serve(v1)
		b.step(serving.TargetChanged{Version: v2})
		b.step(serving.Leaving{})
		must[serving.StopFetch](b.last)
		Expect(b.step(serving.TargetChanged{Version: v3})).To(BeEmpty())
		_, err := b.machine.Gate().Admit(b.now)
		Expect(serving.ReasonOf(err)).To(Equal(serving.ReasonLeaving))
	})

	It("goes on serving when the text pins nothing any more", func() {
		b := serve(v1)
		b.step(serving.TargetChanged{})
		Expect(b.machine.Serving()).To(Equal(v1))
		Expect(b.machine.Phase()).To(Equal(serving.PhaseIdle))
	})
})
