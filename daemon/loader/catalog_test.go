package loader

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/daemon/wire"
)

var _ = Describe("An agent", func() {
	start := time.Date(2031, 5, 6, 7, 8, 9, 0, time.UTC)
	at := func(d time.Duration) time.Time { return start.Add(d) }

	// Guards against a catalog read by each agent when 40 agents of a region start
	// because servers are added. Each agent reads the whole catalog at once, and again
	// until its server is registered, while entries read a new configuration over the
	// same link. An entry sends all that the agents need.
	It("does not read the catalog while entries report to it", func() {
		l := &Loader{started: start}
		Expect(l.needsCatalog(at(400 * time.Millisecond))).To(BeFalse())
		l.lastHeartbeat = at(450 * time.Millisecond)
		for ms := 500; ms < 4000; ms += 400 {
			now := at(time.Duration(ms) * time.Millisecond)
			l.lastHeartbeat = now
			Expect(l.needsCatalog(now)).To(BeFalse(), "after %d ms", ms)
		}
	})

	// Guards against a full link after a restart of the whole fleet, when each agent
	// that has not received anything from an entry yet reads a large catalog.
	It("waits for entries that start at the same moment before it reads the catalog", func() {
		l := &Loader{started: start}
		Expect(l.needsCatalog(at(time.Second))).To(BeFalse())
	})

	It("reads the catalog when no entry reports", func() {
		l := &Loader{started: start}
		Expect(l.needsCatalog(at(noEntryTimeoutAtStart + 100*time.Millisecond))).To(BeTrue())
	})

	It("reads the catalog when the entries stop reporting", func() {
		l := &Loader{started: start, supply: &wire.Supply{Model: "m"}, lastHeartbeat: at(10 * time.Second)}
		Expect(l.needsCatalog(at(11 * time.Second))).To(BeFalse())
		Expect(l.needsCatalog(at(13 * time.Second))).To(BeTrue())
	})

	// The entries were cut off from the platform before the server was registered: they
	// are reachable but do not know the server.
	It("reads the catalog when no entry knows where the weights come from", func() {
		l := &Loader{started: start, lastHeartbeat: at(5 * time.Second)}
		Expect(l.needsCatalog(at(5 * time.Second))).To(BeTrue())
	})
})
