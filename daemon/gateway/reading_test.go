package gateway

import (
	"context"
	"time"

	"github.com/joomcode/errorx"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"chivespindle.example/core/catalog"
	"chivespindle.example/core/fleet"
	"chivespindle.example/daemon/mesh"
	"chivespindle.example/daemon/wire"
)

var _ = Describe("A reading of the servers", func() {
	one, two := server("i-1", "10.0.1.1:80", 2), server("i-2", "10.0.1.2:80", 3)
	leaving := one
	leaving.Draining, leaving.Revision = true, 8
	var g *Gateway
	var lines *observer.ObservedLogs

	// lineOf returns the fields of the last line of an event.
	lineOf := func(event string) map[string]any {
		all := lines.FilterMessage(event).All()
		Expect(all).NotTo(BeEmpty(), event)
		return all[len(all)-1].ContextMap()
	}

	BeforeEach(func() {
		g, _ = newGateway()
		core, logs := observer.New(zap.InfoLevel)
		lines = logs
		g.readings = newReadingLog(zap.New(core), g.opts.Metrics)
		g.adoptSnapshot(start, snapshot(5, one, two), reading{origin: fromStore, readAt: at(-300 * time.Millisecond)})
	})

	It("is logged with its source, its revision and its age", func() {
		Expect(lineOf("servers_adopted")).To(And(HaveKeyWithValue("source", "store"), HaveKeyWithValue("revision", "5"),
			HaveKeyWithValue("reading_age", 300*time.Millisecond)))
		b := beat("10.0.0.2")
		b.Servers = &wire.ServerChanges{After: 5, AsOf: 8, Changes: []catalog.Change{{Revision: 8, Server: &leaving}}, AgeMS: 20}
		g.receive(at(time.Second), nearEntry, b)
		Expect(lineOf("servers_adopted")).To(And(HaveKeyWithValue("source", "reader"), HaveKeyWithValue("from", "10.0.0.2"),
			HaveKeyWithValue("before", "5"), HaveKeyWithValue("reading_age", 20*time.Millisecond)))
		Expect(lineOf("server_leaves")).To(HaveKeyWithValue("server", "i-1"))
	})

	It("is logged if it is dropped, or if a complete list is due", func() {
		b := beat("10.0.0.2")
		b.Servers = &wire.ServerChanges{After: 7, AsOf: 8}
		g.receive(at(time.Second), nearEntry, b)
		Expect(lineOf("servers_dropped")).To(And(HaveKeyWithValue("reason", "gap"), HaveKeyWithValue("held", "5")))
		g.adoptSnapshot(at(time.Second), snapshot(4, one), reading{origin: fromPeer, from: "10.0.0.3", readAt: start})
		Expect(lineOf("servers_dropped")).To(HaveKeyWithValue("reason", "older"))
		g.serverNewsFor(at(time.Second), mesh.Peer{ID: "10.0.0.4", Role: fleet.RoleEntry, SameGroup: true, AsOf: 3})
		Expect(lineOf("whole_list_due")).To(HaveKeyWithValue("after", "3"))
	})

	// Guards against logs that slow down an entry while hundreds of entries start at
	// once.
	It("is logged at a limited rate", func() {
		for i := range 10 * maxLinesPerSecond {
			g.adoptSnapshot(start, snapshot(catalog.Revision(6+i), one), reading{origin: fromPeer, readAt: start})
		}
		Expect(lines.FilterMessage("servers_adopted").Len()).To(BeNumerically("<=", 2*maxLinesPerSecond))
	})
})

// revertedSource is a platform that lost changes it had acknowledged.
type revertedSource struct{ catalog.Source }

func (revertedSource) List(context.Context) (catalog.Snapshot, error) { return snapshot(3), nil }

func (revertedSource) Watch(context.Context, catalog.Revision, time.Duration) ([]catalog.Change, catalog.Revision, error) {
	return []catalog.Change{{Revision: 3, Removed: "i-1"}}, 3, nil
}

var _ = Describe("The known servers", func() {
	one := server("i-1", "10.0.1.1:80", 2)

	// Guards against servers that are lost by invalid input.
	It("stay if a reading has no revision, or an older one", func() {
		g, backend := newGateway()
		g.adopt(start, snapshot(5, one), "platform")
		g.adopt(start, catalog.Snapshot{}, "peer")
		g.adopt(start, snapshot(4), "peer")
		g.apply(start, []catalog.Change{{Revision: 6, Removed: "i-1"}}, 0)
		g.apply(start, []catalog.Change{{Revision: 4, Removed: "i-1"}}, 4)
		Expect(listed(g, backend, start)).To(ConsistOf(fleet.InstanceID("i-1")))
	})

	// Guards against a store that restarted with older data: calls to it count as failed.
	It("stay if the platform's revision goes back", func() {
		g, _ := newGateway()
		g.opts.Source = revertedSource{}
		at := position{servers: 5, operator: 5}
		Expect(errorx.IsOfType(g.watch(context.Background(), &at), catalog.RevisionWentBack)).To(BeTrue())
		Expect(errorx.IsOfType(g.list(context.Background(), &at), catalog.RevisionWentBack)).To(BeTrue())
		Expect(at).To(Equal(position{servers: 5, operator: 5}))
	})
})
