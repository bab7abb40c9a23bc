package gateway

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/core/catalog"
	"chivespindle.example/core/enginemodel"
	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/loading"
	"chivespindle.example/core/placement"
)

// A call waits at an engine whose version is about to be out of time, and is
// taken off before it begins there. The engine is sound: left out as silent, it
// missed the first second after it held the new version, when it is needed most.
var _ = Describe("An engine that a call is taken off since its version is out of time", func() {
	var g *Gateway
	engine := &enginemodel.Figures{Slots: 16, Layers: 4, Step: 10 * time.Millisecond, Stride: 5, UsualAnswer: 90}

	// draws is how many calls are placed; with that many, chance leaves out none of
	// two servers that are both used.
	const draws = 64

	choose := func(now time.Time) *placement.Ticket {
		t, _ := g.board.Choose(now, placement.Ask{Service: "pool", Engine: engine, Aim: time.Second, Left: time.Minute})
		Expect(t).NotTo(BeNil())
		return t
	}

	// failAt has a call end with silence, for so long after a new version was
	// named, and returns the servers that calls may go to afterwards.
	failAt := func(named time.Duration) map[fleet.InstanceID]bool {
		now := time.Now()
		g, _ = newGateway()
		s := snapshot(5, server("i-1", "10.0.1.1:80", 2), server("i-2", "10.0.1.2:80", 3))
		s.Config.Services[0].Engine = engine
		s.Wanted = []catalog.Wanted{{Model: "m", Version: 2}}
		g.adopt(now, s, "platform")
		g.names["m"] = loading.NamedVersions{{Version: 2, Since: now.Add(-named)}}
		g.publish(now)
		t := choose(now)
		call := &Call{ID: "c", Arrived: now.Add(-time.Second)}
		j := &job{g: g, call: call, reply: newReply(g, call, nil), view: g.view.Load(), service: g.table.Service("pool"),
			route: g.table.Match("a.example", "/"), deadline: now.Add(time.Minute), progressAt: now.Add(-time.Second)}
		j.serverUntil = j.order(now, t).Until
		j.failed(context.Background(), now, t, failure.Timeout.New("nothing came"))
		used := make(map[fleet.InstanceID]bool)
		for range draws {
			next := choose(now)
			used[next.Server.ID] = true
			next.End(now, placement.Succeeded)
		}
		return used
	}

	It("is used on", func() {
		Expect(failAt(7800 * time.Millisecond)).To(HaveLen(2))
	})

	It("is left out for its silence at any other time", func() {
		Expect(failAt(2 * time.Second)).To(HaveLen(1))
	})
})
