package wholepath_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"regexp"
	"time"

	"github.com/google/uuid"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/adapters/callerclient"
	"chivespindle.example/core/fleet"
	"chivespindle.example/standin/harness"
)

var _ = Describe("Leaving", Ordered, ContinueOnFailure, func() {
	// tokenTime makes an answer of a few hundred tokens last for seconds.
	const tokenTime = 20 * time.Millisecond
	var f *testFleet
	var r1 fleet.Version

	startWithSuite(func() {
		f = newFleet(harness.Options{})
		r1 = f.model("r1", 1)
		f.publish(r1)
		f.addEntry("entry-1", apapa)
		f.addEntry("entry-2", apapa)
		f.addEntry("entry-3", ikeja)
		f.addAgent("pool-1", apapa, modelSpec(pool, tokenTime))
		f.addAgent("pool-2", apapa, modelSpec(pool, tokenTime))
		f.addAgent("orders-1", ikeja, plainSpec(orders, tokenTime))
	})
	BeforeAll(func() { f.waitReady(r1) })
	AfterEach(func() { f.showLogs() })

	// An operator stops an entry with SIGTERM. The other entries stop naming it
	// to callers at once; it goes on serving those who still hold an answer that
	// names it, finishes what runs when these have expired, and ends by itself
	// with exit code 0. The platform's list names it all the time. No caller's
	// request is cut, the one that was sent through it last included.
	It("lets an entry go without cutting a request", func() {
		leaver, others := f.entries[0], f.entries[1:]
		load := f.modelLoad(6, 5, pool)
		answersAfter(load, 20)
		named := Equal(leaver.Instance.CallerAddr)
		Expect(f.addressesOf(others[0])).To(ContainElement(named))
		f.entries = others

		leaver.Terminate()
		Eventually(entryStatus).WithArguments(leaver).Should(HaveField("Leaving", BeTrue()))
		long, _ := f.askLong(leaver, 480)
		for _, p := range others {
			Eventually(f.addressesOf).WithArguments(p).ShouldNot(ContainElement(named), "%s", p.Instance.ID)
		}
		_, err := f.askAt(leaver, pool, "still there", 3)
		Expect(err).NotTo(HaveOccurred(), "a caller that holds an older answer")
		answersAfter(load, 20)
		Consistently(f.addressesOf).WithArguments(others[0]).Within(time.Second).ShouldNot(ContainElement(named))

		Expect(leaver.Wait(patience)).To(Succeed(), "exit of the entry")
		Expect(<-long).NotTo(HaveOccurred(), "the answer that outlasted the entry's notice")
		f.expectWhole(load.Stop())
		Expect(load.Tally().UnknownAttempts).To(BeZero(), "requests that were cut")
		Expect(f.Instances.Remove(leaver.Instance.ID)).To(BeTrue(), "the list named it to the end")
	})

	// An operator stops an agent with SIGTERM while its engine computes a long
	// answer. The engine gets no other request from then on, though the
	// platform's list still shows the instance as live, since agents tell the
	// entries themselves. The long answer is finished; then the agent ends by
	// itself with exit code 0. Callers of other requests notice nothing.
	It("lets an agent finish its answer and gives it no more", func() {
		load := f.modelLoad(6, 5, pool)
		answersAfter(load, 20)
		long, id := f.askLong(f.entries[0], 300)
		leaver, engine := f.Process(id), f.Engines[id]

		leaver.Terminate()
		Eventually(agentStatus).WithArguments(leaver).Should(HaveField("Admitting", BeFalse()))
		taken := executions(f, id)
		for _, p := range f.entries {
			Eventually(entryStatus).WithArguments(p).Should(
				HaveField("Fleet", ContainElement(SatisfyAll(HaveField("ID", id), HaveField("Leaving", BeTrue())))))
		}
		answersAfter(load, 20) // those that were on their way are refused by now
		refused := refusals(leaver)
		answersAfter(load, 20)
		Expect(refusals(leaver)).To(Equal(refused), "requests that entries sent to a leaving agent")
		Expect(executions(f, id)).To(Equal(taken), "requests that began after the agent had begun to leave")

		Expect(<-long).NotTo(HaveOccurred(), "the long answer")
		Expect(leaver.Wait(patience)).To(Succeed(), "exit of the agent")
		Expect(engine.Counters().Aborted + engine.Counters().Cancelled).To(BeZero())
		f.expectWhole(load.Stop())
		Expect(load.Tally().UnknownAttempts).To(BeZero(), "requests that were cut")
	})
})

// addressesOf asks one entry which addresses callers near it should use.
func (f *testFleet) addressesOf(p *harness.Process) ([]netip.AddrPort, error) {
	only := &testFleet{Fleet: f.Fleet, entries: []*harness.Process{p}}
	return only.client(p.Instance.Place).Addresses(context.Background())
}

// askLong sends a request for many tokens through an entry. It returns, once an
// engine computes the answer, where its end will be told, nil after the whole
// and right answer, and the agent beside that engine.
func (f *testFleet) askLong(p *harness.Process, tokens int) (<-chan error, fleet.InstanceID) {
	GinkgoHelper()
	key := uuid.NewString()
	prompt := harness.Prompt{Prompt: "the whole fault log " + key, MaxTokens: tokens}
	body, err := json.Marshal(prompt)
	Expect(err).NotTo(HaveOccurred())
	done := make(chan error, 1)
	go func() {
		r := callerclient.Request{Service: pool, IdempotencyKey: key, Deadline: patience, Body: body}
		answer, err := f.client(apapa).DoAt(context.Background(), p.Instance.CallerAddr, r)
		if _, whole := harness.CheckResponse(answer.Body, prompt); err == nil && !whole {
			err = fmt.Errorf("not the whole answer: %s", answer.Body)
		}
		done <- err
	}()
	var at fleet.InstanceID
	Eventually(func() fleet.InstanceID {
		for _, id := range f.modelAgents(pool) {
			if f.Engines[id].Counters().ExecutionsByKey[key] > 0 {
				at = id
			}
		}
		return at
	}).ShouldNot(BeEmpty(), "the engine that computes the long answer")
	return done, at
}

// executions is how many requests an engine has begun to run.
func executions(f *testFleet, id fleet.InstanceID) int {
	return len(f.Engines[id].Counters().ExecutionsByID)
}

// refusals is how many requests an agent has refused, by its log.
func refusals(p *harness.Process) int {
	GinkgoHelper()
	log, err := os.ReadFile(p.LogPath)
	Expect(err).NotTo(HaveOccurred())
	return len(refusalLine.FindAll(log, -1))
}

var refusalLine = regexp.MustCompile(`event=request .*outcome=not_run`)
