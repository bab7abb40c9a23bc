package wholepath_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/core/fleet"
	"chivespindle.example/standin/harness"
)

var _ = Describe("An engine's agent", Ordered, ContinueOnFailure, func() {
	const frozen, frozenPlain = fleet.InstanceID("pool-1"), fleet.InstanceID("orders-1")
	var f *testFleet
	var others []fleet.InstanceID
	var versions []fleet.Version

	startWithSuite(func() {
		f = newFleet(harness.Options{})
		f.maxUnavailable = 2 // a silent replica counts as unavailable and must not block the others
		for i, name := range []string{"r1", "r2", "r3", "r4", "r5", "r6"} {
			versions = append(versions, f.addModel(name, uint64(i+1)))
		}
		f.publish(versions[0])
		f.addEntry("entry-1", apapa)
		f.addEntry("entry-2", ikeja)
		const tokenTime = 2 * time.Millisecond
		f.addAgent(frozen, apapa, modelSpec(pool, tokenTime))
		f.addAgent("pool-2", apapa, modelSpec(pool, tokenTime))
		f.addAgent("pool-3", ikeja, modelSpec(pool, tokenTime))
		f.addAgent("assist-1", apapa, modelSpec(assist, tokenTime))
		f.addAgent(frozenPlain, apapa, plainSpec(orders, 5*time.Millisecond))
		f.addAgent("orders-2", ikeja, plainSpec(orders, 5*time.Millisecond))
		others = []fleet.InstanceID{"pool-2", "pool-3", "assist-1"}
	})
	BeforeAll(func() { f.waitReady(versions[0]) })
	AfterEach(func() {
		f.printLogsOnFailure()
		f.Process(frozen).Resume()
		f.Process(frozenPlain).Resume()
	})

	// Two agents are suspended under live requests, as when an instance is
	// suspended, and get no notification. Meanwhile the operator names two more
	// versions, and the other replicas change over. What callers sent to the
	// frozen agents is answered by another server, or its outcome is unknown.
	// Then the agents resume, with outdated state and old requests in their
	// sockets. The engine must never respond with a version that was not
	// published and must load the newest one, and work that its caller has
	// abandoned must not run late.
	It("recovers from a long pause", func() {
		models := f.startModelLoad(8, 16, pool, assist)
		plain := f.startLoad(harness.LoadSpec{PlainServices: []fleet.ServiceName{orders}, Callers: 8, Deadline: 2 * time.Second})
		waitForResponses(models, 20)
		waitForResponses(plain, 20)
		f.Process(frozen).Suspend()
		f.Process(frozenPlain).Suspend()
		for _, v := range versions[1:3] {
			f.publish(v)
			f.waitLoaded(v, others...)
		}
		f.waitSilent(frozen, frozenPlain)
		waitForResponses(models, 20)
		before := f.Engines[frozen].Counters()
		Expect(f.Engines[frozen].Status().Loaded).To(Equal(versions[0]))

		f.Process(frozen).Resume()
		f.Process(frozenPlain).Resume()
		f.waitLoaded(versions[2])
		f.waitAdmitting()
		waitForResponses(models, 50)
		waitForResponses(plain, 50)
		f.expectComplete(models.Stop())
		f.expectRunOnce(plain.Stop())
		after := f.Engines[frozen].Counters()
		Expect(after.ResponsesByVersion).NotTo(HaveKey(versions[1].String()), "a version that was outdated when the agent resumed")
		Expect(after.Loads).To(Equal(before.Loads+1), "loads after the pause")
	})

	// The agent is suspended while its engine executes an order. The operator
	// names a newer version, which the others load, and the engine ends up with
	// the version in between. The agent resumes and believes that its order has
	// just completed. The version in between was named by the operator too and
	// may be served, as any previous one, until the newest is ready. Callers
	// get each response complete and from one of the published versions, and
	// the engine loads the newest.
	It("recovers from a pause in the middle of an order", func() {
		models := f.startModelLoad(8, 16, pool, assist)
		waitForResponses(models, 20)
		intermediate, newest := versions[3], versions[4]
		f.publish(intermediate)
		Eventually(func() bool { return f.Engines[frozen].Status().Loading }).WithPolling(time.Millisecond).Should(BeTrue())
		f.Process(frozen).Suspend()
		f.publish(newest)
		f.waitLoaded(newest, others...)
		f.waitSilent(frozen)
		f.waitLoaded(intermediate, frozen)

		f.Process(frozen).Resume()
		f.waitLoaded(newest)
		f.waitAdmitting()
		waitForResponses(models, 50)
		f.expectComplete(models.Stop())
		for version := range f.Engines[frozen].Counters().ResponsesByVersion {
			Expect(version).To(BeElementOf(versionStrings(versions)))
		}
	})

	// A second agent with another id is started at an engine that already has
	// one, under live requests. Both take the engine for theirs. The engine
	// checks fencing numbers, so one of them sees that it has been superseded
	// and stands down permanently. Callers get every response, complete and
	// from the active version, and the next version is loaded by the engine
	// once.
	It("stands down when another agent has taken over its engine", func() {
		models := f.startModelLoad(4, 16, assist)
		waitForResponses(models, 20)
		second, err := f.StartSecondAgent("assist-1b", "assist-1")
		Expect(err).NotTo(HaveOccurred())
		pair := []*harness.Process{f.Process("assist-1"), second}
		Eventually(phases).WithArguments(pair).Should(ConsistOf("down", "idle"))
		waitForResponses(models, 50)

		loads := f.Engines["assist-1"].Counters().Loads
		f.publish(versions[5])
		f.waitLoaded(versions[5])
		waitForResponses(models, 50)
		f.expectComplete(models.Stop())
		Expect(phases(pair)).To(ConsistOf("down", "idle"))
		Expect(f.Engines["assist-1"].Counters().Loads).To(Equal(loads + 1))
	})
})

// waitSilent waits until the entries of a process's zone show it as silent.
// Heartbeats do not cross zones.
func (f *testFleet) waitSilent(ids ...fleet.InstanceID) {
	GinkgoHelper()
	for _, p := range f.entries {
		for _, id := range ids {
			if p.Instance.Place.Zone != f.zoneOf(id) {
				continue
			}
			Eventually(entryStatus).WithArguments(p).Should(
				HaveField("Fleet", ContainElement(SatisfyAll(HaveField("ID", id), HaveField("Silent", BeTrue())))))
		}
	}
}

func versionStrings(versions []fleet.Version) []string {
	var all []string
	for _, v := range versions {
		all = append(all, v.String())
	}
	return all
}

// phases reads the changeover phase of each agent.
func phases(agents []*harness.Process) ([]string, error) {
	var all []string
	for _, p := range agents {
		status, err := agentStatus(p)
		if err != nil {
			return nil, err
		}
		all = append(all, status.Phase)
	}
	return all, nil
}
