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
		f.maxOut = 2 // a silent replica counts as out and must not hold up the others
		for i, name := range []string{"r1", "r2", "r3", "r4", "r5", "r6"} {
			versions = append(versions, f.model(name, uint64(i+1)))
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
		f.showLogs()
		f.Process(frozen).Resume()
		f.Process(frozenPlain).Resume()
	})

	// Two agents stop running under live requests, as on an instance that is
	// suspended; nobody tells them. Meanwhile the operator names two more
	// versions, and the other replicas change over. What callers sent to the
	// frozen agents is answered elsewhere, or its outcome is unknown. Then the
	// agents wake up, with the old world in mind and old requests in their
	// sockets. The engine never answers from a version that nobody asked for, it
	// goes to the newest one, and work that its caller gave up is not run late.
	It("wakes from a long pause and catches up", func() {
		models := f.modelLoad(8, 16, pool, assist)
		plain := f.load(harness.LoadSpec{PlainServices: []fleet.ServiceName{orders}, Callers: 8, Deadline: 2 * time.Second})
		answersAfter(models, 20)
		answersAfter(plain, 20)
		f.Process(frozen).Suspend()
		f.Process(frozenPlain).Suspend()
		for _, v := range versions[1:3] {
			f.publish(v)
			f.waitLoaded(v, others...)
		}
		f.waitSilent(frozen, frozenPlain)
		answersAfter(models, 20)
		before := f.Engines[frozen].Counters()
		Expect(f.Engines[frozen].Status().Loaded).To(Equal(versions[0]))

		f.Process(frozen).Resume()
		f.Process(frozenPlain).Resume()
		f.waitLoaded(versions[2])
		f.waitAdmitting()
		answersAfter(models, 50)
		answersAfter(plain, 50)
		f.expectWhole(models.Stop())
		f.expectOnce(plain.Stop())
		after := f.Engines[frozen].Counters()
		Expect(after.ResponsesByVersion).NotTo(HaveKey(versions[1].String()), "a version that was past when the agent woke")
		Expect(after.Loads).To(Equal(before.Loads+1), "loads after the pause")
	})

	// The agent stops running while its engine carries out an order. The
	// operator names a newer version, which the others take, and the engine ends
	// up with the one that is past. The agent wakes and believes that its order
	// is just done. The past version was named by the operator too and may be
	// served, as any former one, until the newest is ready; callers get each
	// answer whole from one of the two, and the engine goes to the newest.
	It("wakes from a pause in the middle of an order", func() {
		models := f.modelLoad(8, 16, pool, assist)
		answersAfter(models, 20)
		past, newest := versions[3], versions[4]
		f.publish(past)
		Eventually(func() bool { return f.Engines[frozen].Status().Loading }).WithPolling(time.Millisecond).Should(BeTrue())
		f.Process(frozen).Suspend()
		f.publish(newest)
		f.waitLoaded(newest, others...)
		f.waitSilent(frozen)
		f.waitLoaded(past, frozen)

		f.Process(frozen).Resume()
		f.waitLoaded(newest)
		f.waitAdmitting()
		answersAfter(models, 50)
		f.expectWhole(models.Stop())
		for version := range f.Engines[frozen].Counters().ResponsesByVersion {
			Expect(version).To(BeElementOf(texts(versions)))
		}
	})

	// A second agent under another id is started beside an engine that has one,
	// under live requests. Both believe that the engine is theirs. The engine
	// checks fencing numbers, so one of them sees that it is passed over and
	// stands down for good. Callers get every answer, whole and from the version
	// in force, and the next version reaches the engine once.
	It("stands down when another agent has taken its engine", func() {
		models := f.modelLoad(4, 16, assist)
		answersAfter(models, 20)
		second, err := f.StartSecondAgent("assist-1b", "assist-1")
		Expect(err).NotTo(HaveOccurred())
		pair := []*harness.Process{f.Process("assist-1"), second}
		Eventually(phases).WithArguments(pair).Should(ConsistOf("down", "idle"))
		answersAfter(models, 50)

		loads := f.Engines["assist-1"].Counters().Loads
		f.publish(versions[5])
		f.waitLoaded(versions[5])
		answersAfter(models, 50)
		f.expectWhole(models.Stop())
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

func texts(versions []fleet.Version) []string {
	var all []string
	for _, v := range versions {
		all = append(all, v.String())
	}
	return all
}

// phases reads where each agent's change-over stands.
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
