package agent_test

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/core/serving"
	"chivespindle.example/daemon/wire"
)

var _ = Describe("Adapters and roles", func() {
	// An operator adds an adapter to a service whose version does not change. The
	// engine is ordered to load it without a changeover, and requests are admitted
	// throughout. Without the order, the engine keeps its previous adapters
	// permanently.
	It("are ordered while the replica stays in service", func() {
		r := newModelRig()
		loaded := func() serving.EngineStatus {
			status, err := r.engine.Status(r.Context())
			Expect(err).NotTo(HaveOccurred())
			return status
		}
		config := strings.Replace(configOf(v1), "engine_fencing", "adapters = hydraulics, masts\nengine_role = decode\nengine_fencing", 1)
		r.config.Set(2, config)
		Eventually(loaded).Should(SatisfyAll(
			HaveField("Adapters", ConsistOf("hydraulics", "masts")), HaveField("EngineRole", "decode"), HaveField("Loaded", v1)))
		Expect(r.admits()).To(BeTrue())
		Expect(r.entry.Do(wire.Request{ID: "one", Service: modelService}, "why").End).NotTo(BeNil())
	})
})
