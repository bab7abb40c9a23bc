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

// Guards against a healthy engine that is taken out of use as silent because a call was
// withdrawn from it shortly before its version expired. It would be missing in the first
// second after it has loaded the new version, when it is needed most.
var _ = Describe("An engine from which a call is withdrawn because its version expires", func() {
	var g *Gateway
	engine := &enginemodel.Profile{Slots: 16, Layers: 4, StepTime: 10 * time.Millisecond, StepsPerPass: 5, MeanOutputTokens: 90}

	// draws is the number of calls placed. With that many, both of two usable servers are
	// certain in practice to get a call.
	const draws = 64

	choose := func(now time.Time) *placement.Assignment {
		t, _ := g.balancer.Choose(now, placement.Request{Service: "pool", Engine: engine, TargetLatency: time.Second, TimeLeft: time.Minute})
		Expect(t).NotTo(BeNil())
		return t
	}

	// failAt lets a call fail with a timeout the given time after a new version was named,
	// and returns the servers that get calls afterwards.
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
		j.serverDeadline = j.sendOptions(now, t).Deadline
		j.endFailedAttempt(context.Background(), now, t, failure.Timeout.New("no event before the deadline"))
		used := make(map[fleet.InstanceID]bool)
		for range draws {
			next := choose(now)
			used[next.Server.ID] = true
			next.End(now, placement.Succeeded)
		}
		return used
	}

	It("stays in use", func() {
		Expect(failAt(7800 * time.Millisecond)).To(HaveLen(2))
	})

	It("is taken out of use as silent at any other time", func() {
		Expect(failAt(2 * time.Second)).To(HaveLen(1))
	})
})
