package serving_test

import (
	"time"

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
}

func newBench() *bench {
	return &bench{
		now:     time.Now(),
		machine: serving.NewChangeover(serving.ChangeoverOptions{}),
		engine:  serving.EngineStatus{Boot: "boot-1"},
	}
}

// step advances the clock a little and posts the event.
func (b *bench) step(event serving.Event) []serving.Action {
	b.now = b.now.Add(10 * time.Millisecond)
	b.last = b.machine.Step(b.now, event)
	return b.last
}

func (b *bench) read() []serving.Action {
	return b.step(serving.StatusRead{Status: b.engine, Asked: b.now})
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
	order := must[serving.SendOrder](b.last)
	b.engine.Fence = order.Order.Fence
	if !order.Order.Version.IsZero() {
		b.engine.Loaded = order.Order.Version
	}
	b.step(serving.OrderDone{Attempt: order.Attempt})
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
	must[serving.AskTurn](b.last)
	b.step(serving.TurnGranted{Version: v})
	b.accept()
	Expect(must[serving.StartServing](b.last).Version).To(Equal(v))
	return b
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

	It("stands down for good when the engine refuses its newest number", func() {
		b := claimed(v1, fleet.Version{})
		b.fetch()
		b.step(serving.TurnGranted{Version: v1})
		order := must[serving.SendOrder](b.last)
		b.step(serving.OrderFailed{Attempt: order.Attempt, Err: failure.Refused.New("higher fence")})
		must[serving.StandDown](b.last)
		Expect(b.step(serving.Tick{})).To(BeEmpty())
	})
})
