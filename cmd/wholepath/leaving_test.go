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
	// With this tokenTime a response of a few hundred tokens takes seconds.
	const tokenTime = 20 * time.Millisecond
	var f *testFleet
	var r1 fleet.Version

	startWithSuite(func() {
		f = newFleet(harness.Options{})
		r1 = f.addModel("r1", 1)
		f.publish(r1)
		f.addEntry("entry-1", apapa)
		f.addEntry("entry-2", apapa)
		f.addEntry("entry-3", ikeja)
		f.addAgent("pool-1", apapa, modelSpec(pool, tokenTime))
		f.addAgent("pool-2", apapa, modelSpec(pool, tokenTime))
		f.addAgent("orders-1", ikeja, plainSpec(orders, tokenTime))
	})
	BeforeAll(func() { f.waitReady(r1) })
	AfterEach(func() { f.printLogsOnFailure() })

	// An operator stops an entry with SIGTERM. The other entries stop naming it
	// to callers at once. It continues to serve callers that still hold an
	// address list that names it, finishes the requests in flight when these
	// lists have expired, and exits with code 0. The platform's list names it
	// all the time. No caller's request is aborted, including the last one sent
	// through it.
	It("lets an entry leave without aborting a request", func() {
		leaver, others := f.entries[0], f.entries[1:]
		load := f.startModelLoad(6, 5, pool)
		waitForResponses(load, 20)
		isLeaver := Equal(leaver.Instance.CallerAddr)
		Expect(f.entryAddresses(others[0])).To(ContainElement(isLeaver))
		f.entries = others

		leaver.Terminate()
		Eventually(entryStatus).WithArguments(leaver).Should(HaveField("Leaving", BeTrue()))
		long, _ := f.sendLongRequest(leaver, 480)
		for _, p := range others {
			Eventually(f.entryAddresses).WithArguments(p).ShouldNot(ContainElement(isLeaver), "%s", p.Instance.ID)
		}
		_, err := f.sendTo(leaver, pool, "still there", 3)
		Expect(err).NotTo(HaveOccurred(), "a caller that holds an older address list")
		waitForResponses(load, 20)
		Consistently(f.entryAddresses).WithArguments(others[0]).Within(time.Second).ShouldNot(ContainElement(isLeaver))

		Expect(leaver.Wait(waitTimeout)).To(Succeed(), "exit of the entry")
		Expect(<-long).NotTo(HaveOccurred(), "the response that outlasted the entry's notice period")
		f.expectComplete(load.Stop())
		Expect(load.Tally().UnknownAttempts).To(BeZero(), "requests that were aborted")
		Expect(f.Instances.Remove(leaver.Instance.ID)).To(BeTrue(), "the platform's list named it until the end")
	})

	// An operator stops an agent with SIGTERM while its engine computes a long
	// response. The engine gets no other request from then on, although the
	// platform's list still shows the instance as live, because agents notify
	// the entries themselves. The long response is finished, and the agent
	// exits with code 0. Callers of other requests notice nothing.
	It("lets an agent finish its response and sends it no more requests", func() {
		load := f.startModelLoad(6, 5, pool)
		waitForResponses(load, 20)
		long, id := f.sendLongRequest(f.entries[0], 300)
		leaver, engine := f.Process(id), f.Engines[id]

		leaver.Terminate()
		Eventually(agentStatus).WithArguments(leaver).Should(HaveField("Admitting", BeFalse()))
		executed := executions(f, id)
		for _, p := range f.entries {
			Eventually(entryStatus).WithArguments(p).Should(
				HaveField("Fleet", ContainElement(SatisfyAll(HaveField("ID", id), HaveField("Leaving", BeTrue())))))
		}
		waitForResponses(load, 20) // requests that were on their way have been refused by now
		refused := refusals(leaver)
		waitForResponses(load, 20)
		Expect(refusals(leaver)).To(Equal(refused), "requests that entries sent to a leaving agent")
		Expect(executions(f, id)).To(Equal(executed), "requests that began after the agent had begun to leave")

		Expect(<-long).NotTo(HaveOccurred(), "the long response")
		Expect(leaver.Wait(waitTimeout)).To(Succeed(), "exit of the agent")
		Expect(engine.Counters().Aborted + engine.Counters().Cancelled).To(BeZero())
		f.expectComplete(load.Stop())
		Expect(load.Tally().UnknownAttempts).To(BeZero(), "requests that were aborted")
	})
})

// entryAddresses queries one entry for the addresses that callers near it
// should use.
func (f *testFleet) entryAddresses(p *harness.Process) ([]netip.AddrPort, error) {
	only := &testFleet{Fleet: f.Fleet, entries: []*harness.Process{p}}
	return only.newCaller(p.Instance.Place).Addresses(context.Background())
}

// sendLongRequest sends a request for many tokens through an entry. Once an
// engine computes the response, it returns the agent of that engine and a
// channel that receives nil after the complete and correct response, or else an
// error.
func (f *testFleet) sendLongRequest(p *harness.Process, tokens int) (<-chan error, fleet.InstanceID) {
	GinkgoHelper()
	key := uuid.NewString()
	prompt := harness.Prompt{Prompt: "the whole fault log " + key, MaxTokens: tokens}
	body, err := json.Marshal(prompt)
	Expect(err).NotTo(HaveOccurred())
	done := make(chan error, 1)
	go func() {
		r := callerclient.Request{Service: pool, IdempotencyKey: key, Deadline: waitTimeout, Body: body}
		response, err := f.newCaller(apapa).DoAt(context.Background(), p.Instance.CallerAddr, r)
		if _, whole := harness.CheckResponse(response.Body, prompt); err == nil && !whole {
			err = fmt.Errorf("incomplete response: %s", response.Body)
		}
		done <- err
	}()
	var agent fleet.InstanceID
	Eventually(func() fleet.InstanceID {
		for _, id := range f.modelAgents(pool) {
			if f.Engines[id].Counters().ExecutionsByKey[key] > 0 {
				agent = id
			}
		}
		return agent
	}).ShouldNot(BeEmpty(), "the engine that computes the long response")
	return done, agent
}

// executions returns how many requests an engine has started to run.
func executions(f *testFleet, id fleet.InstanceID) int {
	return len(f.Engines[id].Counters().ExecutionsByID)
}

// refusals returns how many requests an agent has refused, according to its
// log.
func refusals(p *harness.Process) int {
	GinkgoHelper()
	log, err := os.ReadFile(p.LogPath)
	Expect(err).NotTo(HaveOccurred())
	return len(refusalLine.FindAll(log, -1))
}

var refusalLine = regexp.MustCompile(`event=request .*outcome=not_run`)
