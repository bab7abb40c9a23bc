package agent_test

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/core/serving"
	"chivespindle.example/daemon/wire"
)

var _ = Describe("Adapters and roles", func() {
	// An operator adds an adapter to a service whose version stays. Callers of
	// the adapter wait for it; all others must not notice: the engine is ordered
	// without a change-over, and requests are admitted throughout.
	// Seen without the order: the engine kept its former adapters for good.
	It("are ordered without taking the replica out of service", func() {
		r := newModel()
		loaded := func() serving.EngineStatus {
			status, err := r.engine.Status(r.Context())
			Expect(err).NotTo(HaveOccurred())
			return status
		}
		text := strings.Replace(textOf(v1), "engine_fencing", "adapters = hydraulics, masts\nengine_role = decode\nengine_fencing", 1)
		r.text.Set(2, text)
		Eventually(loaded).Should(SatisfyAll(
			HaveField("Adapters", ConsistOf("hydraulics", "masts")), HaveField("EngineRole", "decode"), HaveField("Loaded", v1)))
		Expect(r.admits()).To(BeTrue())
		Expect(r.entry.Do(wire.Request{ID: "one", Service: pool}, "why").End).NotTo(BeNil())
	})
})
