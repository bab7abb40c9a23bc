package gateway

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/core/quarantine"
	"chivespindle.example/daemon/mesh"
)

// Guards against an entry that restarts and never receives earlier reports.
var _ = DescribeTable("Reports are sent once over a link, and again over the next", func(reconnect func(*Gateway), form mesh.Form) {
	g, _ := newGateway()
	now := time.Now()
	g.quarantine.Crashed(now, quarantine.Fingerprint{1}, "i-1")
	g.limits.RecordAdvertised(now, "i-1", 1)
	expectReports := func(form mesh.Form, want int) {
		GinkgoHelper()
		b := g.compose(now, nearEntry, form)
		Expect(b.Crashes).To(HaveLen(want))
		Expect(b.Limits).To(HaveLen(want))
	}
	expectReports(mesh.First, 1)
	expectReports(mesh.Complete, 0)
	reconnect(g)
	expectReports(form, 1)
},
	Entry("if the end of the first was detected", func(g *Gateway) { g.dropPeer(time.Now(), nearEntry.ID) }, mesh.Complete),
	Entry("if the end of the first was not detected", func(*Gateway) {}, mesh.First),
)
