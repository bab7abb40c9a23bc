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

	// Forty agents of a region start when servers are added. Each read the whole
	// catalog from the platform at once, and again until its server was registered,
	// beside the entries' reads of a new configuration over the same link. An entry
	// tells all that they need.
	It("leaves the catalog to the entries that it hears", func() {
		l := &Loader{started: start}
		Expect(l.needsCatalog(at(400 * time.Millisecond))).To(BeFalse())
		l.lastHeard = at(450 * time.Millisecond)
		for ms := 500; ms < 4000; ms += 400 {
			now := at(time.Duration(ms) * time.Millisecond)
			l.lastHeard = now
			Expect(l.needsCatalog(now)).To(BeFalse(), "after %d ms", ms)
		}
	})

	// Guards against a full link after a restart of the whole fleet, when each agent that
	// has not heard of an entry yet reads a large catalog.
	It("leaves the catalog to entries that start at the same moment", func() {
		l := &Loader{started: start}
		Expect(l.needsCatalog(at(time.Second))).To(BeFalse())
	})

	It("reads it by itself when no entry is there", func() {
		l := &Loader{started: start}
		Expect(l.needsCatalog(at(aloneAtStart + 100*time.Millisecond))).To(BeTrue())
	})

	It("reads it by itself when the entries fall silent", func() {
		l := &Loader{started: start, supply: &wire.Supply{Model: "m"}, lastHeard: at(10 * time.Second)}
		Expect(l.needsCatalog(at(11 * time.Second))).To(BeFalse())
		Expect(l.needsCatalog(at(13 * time.Second))).To(BeTrue())
	})

	// The entries were cut off from the platform before the server was registered:
	// they are there, and do not know of it.
	It("reads it by itself when no entry knows where the weights come from", func() {
		l := &Loader{started: start, lastHeard: at(5 * time.Second)}
		Expect(l.needsCatalog(at(5 * time.Second))).To(BeTrue())
	})
})
