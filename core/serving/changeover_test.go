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

// fixture drives one Changeover with a simulated clock and engine.
type fixture struct {
	now         time.Time
	changeover  *serving.Changeover
	engine      serving.EngineStatus
	lastActions []serving.Action
	lastOrder   serving.SendOrder // the most recent one
}

func newFixture() *fixture {
	return &fixture{
		now:        time.Now(),
		changeover: serving.NewChangeover(serving.ChangeoverOptions{}),
		engine:     serving.EngineStatus{BootID: "boot-1"},
	}
}

// step advances the clock by 10 ms and posts the event.
func (f *fixture) step(event serving.Event) []serving.Action {
	f.now = f.now.Add(10 * time.Millisecond)
	f.lastActions = f.changeover.Step(f.now, event)
	if order, ok := findAction[serving.SendOrder](f.lastActions); ok {
		f.lastOrder = order
	}
	return f.lastActions
}

func (f *fixture) readStatus() []serving.Action {
	return f.step(serving.StatusRead{Status: f.engine, RequestedAt: f.now})
}

func findAction[T serving.Action](actions []serving.Action) (T, bool) {
	for _, a := range actions {
		if found, ok := a.(T); ok {
			return found, true
		}
	}
	var none T
	return none, false
}

func mustFindAction[T serving.Action](actions []serving.Action) T {
	GinkgoHelper()
	found, ok := findAction[T](actions)
	Expect(ok).To(BeTrue(), "no %T in %v", found, actions)
	return found
}

// acceptOrder lets the engine accept and carry out the last order.
func (f *fixture) acceptOrder() []serving.Action {
	GinkgoHelper()
	order := f.lastOrder.Order
	f.engine.Fence = order.Fence
	if !order.Version.IsZero() {
		f.engine.Loaded = order.Version
	}
	f.step(serving.OrderAccepted{Attempt: f.lastOrder.Attempt})
	return f.readStatus()
}

// completeFetch completes the fetch that was just started.
func (f *fixture) completeFetch() fleet.Version {
	GinkgoHelper()
	start := mustFindAction[serving.StartFetch](f.lastActions)
	f.step(serving.ChunksComplete{Fetch: start.Fetch, Version: start.Version})
	return start.Version
}

// newClaimed returns a fixture whose engine had loaded when it was claimed.
func newClaimed(target, loaded fleet.Version) *fixture {
	GinkgoHelper()
	f := newFixture()
	f.engine.Loaded = loaded
	f.step(serving.TargetChanged{Version: target})
	f.readStatus()
	f.acceptOrder()
	return f
}

// newServing takes a fixture from an empty engine to serving v.
func newServing(v fleet.Version) *fixture {
	GinkgoHelper()
	f := newClaimed(v, fleet.Version{})
	f.completeFetch()
	mustFindAction[serving.RequestTurn](f.lastActions)
	f.step(serving.TurnGranted{Version: v})
	f.acceptOrder()
	Expect(mustFindAction[serving.StartServing](f.lastActions).Version).To(Equal(v))
	return f
}

// newDraining takes a fixture from serving v1 to draining for v.
func newDraining(v fleet.Version) *fixture {
	GinkgoHelper()
	f := newServing(v1)
	f.step(serving.TargetChanged{Version: v})
	f.completeFetch()
	f.step(serving.TurnGranted{Version: v})
	return f
}

// newOrdering takes a fixture to the order for v; for v1 it is the first order.
func newOrdering(v fleet.Version) *fixture {
	GinkgoHelper()
	if v == v1 {
		f := newClaimed(v1, fleet.Version{})
		f.completeFetch()
		f.step(serving.TurnGranted{Version: v1})
		return f
	}
	f := newDraining(v)
	f.step(serving.Drained{Drain: mustFindAction[serving.StopAdmitting](f.lastActions).Drain})
	return f
}

// tickFor posts Ticks for the given time and returns all their actions.
func (f *fixture) tickFor(d time.Duration) []serving.Action {
	var all []serving.Action
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(time.Second)
		all = append(all, f.step(serving.Tick{})...)
	}
	return all
}

var _ = Describe("Changeover", func() {
	It("changes a replica from one version to the next without serving both", func() {
		f := newServing(v1)
		f.step(serving.TargetChanged{Version: v2})
		Expect(f.changeover.Serving()).To(Equal(v1))
		Expect(f.completeFetch()).To(Equal(v2))
		Expect(f.changeover.State()).To(Equal(gossip.StateStaged))
		f.step(serving.TurnGranted{Version: v2})
		stop := mustFindAction[serving.StopAdmitting](f.lastActions)
		Expect(f.changeover.Serving().IsZero()).To(BeTrue())
		f.step(serving.Drained{Drain: stop.Drain})
		Expect(f.changeover.State()).To(Equal(gossip.StateChanging))
		f.acceptOrder()
		Expect(f.changeover.Serving()).To(Equal(v2))
		Expect(f.changeover.Phase()).To(Equal(serving.PhaseIdle))
		admitted, err := f.changeover.Gate().Admit(f.now)
		Expect(err).NotTo(HaveOccurred())
		Expect(admitted).To(Equal(v2))
	})

	// A process starts next to an engine that its predecessor left serving. The
	// pinned version is served without a load. Any other version may be a
	// half-finished or withdrawn change that no known configuration names, so
	// it must not be served.
	DescribeTable("handles the engine's state at startup", func(loaded, served fleet.Version) {
		f := newClaimed(v1, loaded)
		Expect(f.changeover.Serving()).To(Equal(served))
		_, fetching := findAction[serving.StartFetch](f.lastActions)
		Expect(fetching).To(Equal(served.IsZero()))
	},
		Entry("target loaded", v1, v1),
		Entry("another version loaded", v2, fleet.Version{}),
		Entry("nothing loaded", fleet.Version{}, fleet.Version{}),
	)

	// All agents of a service are restarted while its rollout is paused. The
	// engines have the previous version loaded and the configuration pins the
	// next one. If no replica served what it found, the service would be down
	// until the next version had been loaded; so it is enough that one other
	// replica serves the version.
	It("serves the version it found once other replicas are known to serve it", func() {
		f := newClaimed(v2, v1)
		Expect(f.changeover.Serving().IsZero()).To(BeTrue())
		f.step(serving.ServedElsewhere{Versions: []fleet.Version{v3}})
		Expect(f.changeover.Serving().IsZero()).To(BeTrue())
		f.step(serving.ServedElsewhere{Versions: []fleet.Version{v1}})
		Expect(mustFindAction[serving.StartServing](f.lastActions).Version).To(Equal(v1))
		Expect(f.changeover.Phase()).To(Equal(serving.PhaseFetching))
	})

	It("ignores other replicas' versions once it has served a version itself", func() {
		f := newServing(v1)
		f.engine.Loaded = v2
		f.readStatus()
		f.acceptOrder()
		f.step(serving.ServedElsewhere{Versions: []fleet.Version{v2}})
		Expect(f.changeover.Serving().IsZero()).To(BeTrue())
	})

	// A newer configuration arrives during a change. Continuing to fetch the
	// older version would waste the origin's bandwidth, and a replica that is
	// out of service must not return with an outdated version if the wanted one
	// is staged.
	Describe("handles a newer target", func() {
		It("while fetching: stops the fetch and reuses its chunks", func() {
			f := newServing(v1)
			f.step(serving.TargetChanged{Version: v2})
			f.step(serving.TargetChanged{Version: v3})
			Expect(mustFindAction[serving.StopFetch](f.lastActions).Version).To(Equal(v2))
			start := mustFindAction[serving.StartFetch](f.lastActions)
			Expect(start.Version).To(Equal(v3))
			Expect(start.Reuse).To(ConsistOf(v1.Manifest, v2.Manifest))
			Expect(f.completeFetch()).To(Equal(v3))
			Expect(mustFindAction[serving.DropStage](f.lastActions).Manifest).To(Equal(v2.Manifest))
			Expect(f.changeover.Serving()).To(Equal(v1))
		})

		It("while draining: resumes serving and fetches the newer version", func() {
			f := newDraining(v2)
			f.step(serving.TargetChanged{Version: v3})
			Expect(mustFindAction[serving.ResumeAdmitting](f.lastActions).Version).To(Equal(v1))
			Expect(mustFindAction[serving.StartFetch](f.lastActions).Version).To(Equal(v3))
		})

		It("while loading, rollback: orders the previous version at once", func() {
			f := newOrdering(v2)
			f.step(serving.TargetChanged{Version: v1})
			f.acceptOrder()
			Expect(mustFindAction[serving.SendOrder](f.lastActions).Order.Version).To(Equal(v1))
			_, served := findAction[serving.StartServing](f.lastActions)
			Expect(served).To(BeFalse())
			f.acceptOrder()
			Expect(f.changeover.Serving()).To(Equal(v1))
		})

		It("while loading, newer version not staged: serves the loaded version in the meantime", func() {
			f := newOrdering(v2)
			f.step(serving.TargetChanged{Version: v3})
			f.acceptOrder()
			Expect(f.changeover.Serving()).To(Equal(v2))
			Expect(mustFindAction[serving.StartFetch](f.lastActions).Version).To(Equal(v3))
		})

		It("after the change, rollback: needs no fetch", func() {
			f := newOrdering(v2)
			f.acceptOrder()
			f.step(serving.TargetChanged{Version: v1})
			Expect(mustFindAction[serving.RequestTurn](f.lastActions).Version).To(Equal(v1))
		})
	})

	// A request takes longer than the drain timeout. An order now would cut off
	// its response; waiting longer would block the other replicas of the zone.
	It("postpones the change instead of aborting a request", func() {
		f := newDraining(v2)
		f.tickFor(time.Minute)
		f.step(serving.DrainDeadline{})
		Expect(f.lastActions).To(BeEmpty(), "the deadline of an earlier drain")
		mustFindAction[serving.ResumeAdmitting](f.tickFor(2 * time.Minute))
		Expect(f.changeover.Serving()).To(Equal(v1))
		Expect(f.changeover.State()).To(Equal(gossip.StateStaged))
	})

	// The engine refuses the new version every time. The replica must not stay
	// out of service for ever, nor retry without delay, since each attempt
	// costs a load: after several failures it returns to the previous version.
	It("returns to the previous version when the target does not load", func() {
		f := newOrdering(v2)
		f.engine.Loaded = fleet.Version{}
		for range 3 {
			refused := mustFindAction[serving.SendOrder](f.lastActions)
			f.step(serving.OrderFailed{Attempt: refused.Attempt, Err: failure.Internal.New("out of memory")})
			f.tickFor(10 * time.Second)
			f.readStatus()
			f.acceptOrder()
			if f.changeover.Phase() == serving.PhaseFetching {
				f.completeFetch()
			}
			f.step(serving.TurnGranted{Version: mustFindAction[serving.RequestTurn](f.lastActions).Version})
		}
		Expect(mustFindAction[serving.SendOrder](f.lastActions).Order.Version).To(Equal(v1))
		f.acceptOrder()
		Expect(f.changeover.Serving()).To(Equal(v1))
		Expect(f.changeover.Phase()).To(Equal(serving.PhaseWaiting))
		f.tickFor(3 * time.Minute)
		Expect(f.changeover.Phase()).To(Equal(serving.PhaseWaiting))
		f.tickFor(3 * time.Minute)
		Expect(f.changeover.Phase()).To(Equal(serving.PhaseFetching))
	})

	// The engine's process crashes while it loads and restarts empty. The
	// staged chunks are lost, so an order now would be refused every time.
	It("fetches again after the engine has restarted", func() {
		f := newOrdering(v2)
		f.engine = serving.EngineStatus{BootID: "boot-2"}
		f.readStatus()
		f.acceptOrder()
		Expect(mustFindAction[serving.StartFetch](f.lastActions).Version).To(Equal(v2))
		Expect(f.changeover.Serving().IsZero()).To(BeTrue())
	})

	// An order times out, later claims raise the fencing number, and then the
	// engine receives the old order and refuses it. If this counted as a
	// successor's claim, the process would stand down although no other process
	// controls the engine.
	It("does not stand down when an order that timed out is refused", func() {
		f := newOrdering(v2)
		late := mustFindAction[serving.SendOrder](f.lastActions)
		f.tickFor(40 * time.Second)
		f.readStatus()
		f.step(serving.OrderFailed{Attempt: late.Attempt, Err: failure.Refused.New("old number")})
		Expect(f.changeover.Phase()).NotTo(Equal(serving.PhaseStoodDown))
	})

	It("stands down for good when the engine refuses its newest number", func() {
		f := newOrdering(v1)
		newest := mustFindAction[serving.SendOrder](f.lastActions)
		f.step(serving.OrderFailed{Attempt: newest.Attempt, Err: failure.Refused.New("higher number")})
		err := mustFindAction[serving.StandDown](f.lastActions).Err
		Expect(errorx.IsOfType(err, serving.Superseded)).To(BeTrue())
		Expect(f.step(serving.Tick{})).To(BeEmpty())
		_, err = f.changeover.Gate().Admit(f.now)
		Expect(serving.ReasonOf(err)).To(Equal(serving.ReasonStoodDown))
	})

	It("raises an alarm when a load does not finish and continues to read the status", func() {
		f := newOrdering(v2)
		f.step(serving.OrderAccepted{Attempt: mustFindAction[serving.SendOrder](f.lastActions).Attempt})
		f.engine.Loading = true
		f.readStatus()
		Expect(f.tickFor(11 * time.Minute)).To(ContainElement(BeAssignableToTypeOf(serving.Alarm{})))
		Expect(f.changeover.Phase()).To(Equal(serving.PhaseReading))
	})

	It("changes nothing once the instance is leaving", func() {
		f := newServing(v1)
		f.step(serving.TargetChanged{Version: v2})
		f.step(serving.Leaving{})
		mustFindAction[serving.StopFetch](f.lastActions)
		Expect(f.step(serving.TargetChanged{Version: v3})).To(BeEmpty())
		_, err := f.changeover.Gate().Admit(f.now)
		Expect(serving.ReasonOf(err)).To(Equal(serving.ReasonLeaving))
	})

	It("continues to serve when the configuration no longer pins a version", func() {
		f := newServing(v1)
		f.step(serving.TargetChanged{})
		Expect(f.changeover.Serving()).To(Equal(v1))
		Expect(f.changeover.Phase()).To(Equal(serving.PhaseIdle))
	})
})
