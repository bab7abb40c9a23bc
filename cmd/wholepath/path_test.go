package wholepath_test

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"regexp"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/adapters/callerclient"
	"chivespindle.example/core/fleet"
	"chivespindle.example/standin/harness"
	"chivespindle.example/standin/plainservice"
)

var _ = Describe("The whole path", Ordered, ContinueOnFailure, func() {
	var f *testFleet
	var r1, r2 fleet.Version

	startWithSuite(func() {
		f = newFleet(harness.Options{TraceSpans: true, OriginBytesPerSecond: 40 << 20})
		r1, r2 = f.addModel("r1", 1), f.addModel("r2", 2)
		f.publish(r1)
		f.addEntry("entry-1", apapa)
		f.addEntry("entry-2", ikeja)
		const tokenTime = 2 * time.Millisecond
		f.addAgent("pool-1", apapa, modelSpec(pool, tokenTime))
		f.addAgent("pool-2", apapa, modelSpec(pool, tokenTime))
		f.addAgent("pool-3", ikeja, modelSpec(pool, tokenTime))
		f.addAgent("assist-1", apapa, modelSpec(assist, tokenTime))
		f.addAgent("assist-2", ikeja, modelSpec(assist, tokenTime))
		f.addAgent("orders-1", apapa, plainSpec(orders, 20*time.Millisecond))
		f.addAgent("orders-2", ikeja, plainSpec(orders, 20*time.Millisecond))
	})
	BeforeAll(func() { f.waitReady(r1) })
	AfterEach(func() { f.printLogsOnFailure() })

	// A caller sends requests through either entry to each of three services: a
	// model service, one that depends on it, and a plain one. Each response
	// must be complete, belong to the caller's own request, and name the
	// version that the configuration pins. The plain service must have run the
	// work once.
	It("returns to each caller the complete response to its own request", func() {
		for i, p := range f.entries {
			for _, service := range []fleet.ServiceName{pool, assist} {
				prompt := harness.Prompt{Prompt: fmt.Sprintf("yarn break %d", i), MaxTokens: 12}
				response, err := f.sendTo(p, service, prompt.Prompt, prompt.MaxTokens)
				Expect(err).NotTo(HaveOccurred())
				version, whole := harness.CheckResponse(response.Body, prompt)
				Expect(whole).To(BeTrue(), "%s", response.Body)
				Expect(version).To(Equal(harness.FormatVersion(r1)))
				Expect(response.Version).To(Equal(version))
			}
			key, err := f.newCaller(apapa).IssueKey(context.Background(), orders)
			Expect(err).NotTo(HaveOccurred())
			response, err := f.newCaller(apapa).DoAt(context.Background(), p.Instance.CallerAddr, callerclient.Request{
				Service: orders, Path: "orders", IdempotencyKey: key, NonIdempotent: true, Body: []byte("two cones")})
			Expect(err).NotTo(HaveOccurred())
			var receipt plainservice.Receipt
			Expect(json.Unmarshal(response.Body, &receipt)).To(Succeed())
			Expect(receipt).To(SatisfyAll(
				HaveField("Key", key), HaveField("Path", "orders"), HaveField("Execution", 1), HaveField("Body", []byte("two cones"))))
			Expect(f.Executions()).To(HaveKeyWithValue(key, 1))
		}
	})

	// A caller sends a request within a trace of its own. The spans of the
	// entry and of the agent belong to that trace, each the child of the
	// previous hop, so that the caller's tracing shows where its time went.
	It("continues the caller's trace at every hop", func() {
		const traceID, callerSpan = "4bf92f3577b34da6a3ce929d0e0e4736", "00f067aa0ba902b7"
		body, err := json.Marshal(harness.Prompt{Prompt: "trace me", MaxTokens: 3})
		Expect(err).NotTo(HaveOccurred())
		_, err = f.newCaller(apapa).Do(context.Background(), callerclient.Request{
			Service: pool, Body: body, Traceparent: "00-" + traceID + "-" + callerSpan + "-01"})
		Expect(err).NotTo(HaveOccurred())

		var spans map[string]span
		Eventually(func() map[string]span {
			spans = f.spansOf(traceID)
			return spans
		}).Should(SatisfyAll(HaveKey("entry.request"), HaveKey("entry.attempt"), HaveKey("agent.request")))
		Expect(spans["entry.request"].parent).To(Equal(callerSpan))
		Expect(spans["entry.attempt"].parent).To(Equal(spans["entry.request"].id))
		Expect(spans["agent.request"].parent).To(Equal(spans["entry.attempt"].id))
	})

	// A caller queries the addresses, sends a request for tokens, requests a
	// key and sends work that must run once, twice with the same key. The
	// exchange must match docs/CALLERS.md to the byte, so that programs written
	// against it continue to work.
	It("follows the callers' protocol page", func() {
		entry := f.entries[0]
		s := &session{fleet: f}
		s.do(entry, exchange{method: "GET", path: "/v1/addresses?zone=apapa-hall&region=lagos"})
		s.expectGolden("addresses")

		s = &session{fleet: f}
		s.do(entry, exchange{
			method:  "POST",
			path:    "/v1/services/" + string(pool),
			headers: map[string]string{"Chivespindle-Deadline": "20s", "Priority": "u=1", "Chivespindle-Prefix": "fault-log"},
			body:    `{"prompt":"Read this fault log: E14","max_tokens":3}`,
		})
		s.expectGolden("request")

		s = &session{fleet: f}
		var issued struct {
			Key string `json:"idempotency_key"`
		}
		body := s.do(entry, exchange{method: "POST", path: "/v1/keys/" + string(orders)})
		Expect(json.Unmarshal([]byte(body), &issued)).To(Succeed())
		order := exchange{
			method:  "POST",
			path:    "/v1/services/" + string(orders) + "/orders",
			headers: map[string]string{"Chivespindle-Non-Idempotent": "?1", "Idempotency-Key": issued.Key},
			body:    "two cones",
		}
		s.do(entry, order)
		s.do(f.entries[1], order)
		order.body = "three cones"
		s.do(entry, order)
		s.expectGolden("work-that-must-run-once")
		Expect(f.Executions()).To(HaveKeyWithValue(issued.Key, 1))
	})

	// Callers make mistakes, and one reaches an entry that has just started
	// while the platform is down: it has no configuration and knows no process
	// that could send it. Each must be refused immediately, with the outcome
	// not run and, where a retry makes sense, a time for it.
	It("refuses requests as the callers' protocol page says", func() {
		f.setPlatformDown(true)
		DeferCleanup(f.setPlatformDown, false)
		newEntry, err := f.StartEntry("entry-3", ikeja)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() {
			newEntry.Kill()
			f.Instances.Remove("entry-3")
		})
		Eventually(entryStatus).WithArguments(newEntry).Should(HaveField("ID", newEntry.Instance.ID))

		s := &session{fleet: f}
		entry, to := f.entries[0], "/v1/services/"+string(pool)
		s.do(entry, exchange{method: "POST", path: "/v1/services/no-such-service", body: "{}"})
		s.do(entry, exchange{method: "POST", path: "/v1/keys/no-such-service"})
		for _, bad := range []map[string]string{
			{"Chivespindle-Deadline": "soon"},
			{"Priority": "u=9"},
			{"Chivespindle-Non-Idempotent": "?1"},
			{"Chivespindle-Non-Idempotent": "yes", "Idempotency-Key": "an order of mine"},
		} {
			s.do(entry, exchange{method: "POST", path: to, headers: bad, body: "{}"})
		}
		s.do(newEntry, exchange{method: "POST", path: to, body: "{}"})
		s.expectGolden("refusals")
	})

	// The operator names another version under live requests, and then the
	// previous one again. Replicas go out of service a few at a time, finish
	// what runs, load and return to service; a dependent service waits for the
	// one it depends on. Callers see some refusals that they may retry, and
	// every response is complete and of one published version. Work that must
	// run once runs once.
	It("changes the version under live requests and goes back", func() {
		models, plain := f.startModelLoad(8, 16, pool, assist), f.startPlainLoad(4, orders)
		waitForResponses(models, 50)
		for _, v := range []fleet.Version{r2, r1} {
			f.publish(v)
			Eventually(f.notLoadedInOrder).WithArguments(v).Should(BeEmpty())
			waitForResponses(models, 50)
			response, err := f.sendTo(f.entries[0], assist, "which one is it", 4)
			Expect(err).NotTo(HaveOccurred())
			Expect(response.Version).To(Equal(harness.FormatVersion(v)))
		}
		f.expectComplete(models.Stop())
		orders := plain.Stop()
		f.expectComplete(orders)
		Expect(f.Duplicates()).To(BeZero())
		Expect(f.notRunOnce(orders.RespondedKeys)).To(BeEmpty(), "keys with a response that did not run once")
	})

	// Two agents, one of an engine and one of the plain service, are killed
	// with SIGKILL while their servers work; later they are restarted. Their
	// entries only notice that nothing arrives any more. Idempotent requests
	// are retried on another server, by the entry or by the caller, and all get
	// a response. Work that must run once has run once if the outcome last
	// reported to its caller is ran, has not run if it is not_run, and never
	// runs twice.
	It("loses no request and runs none twice when agents are killed", func() {
		models, plain := f.startModelLoad(8, 30, pool), f.startPlainLoad(8, orders)
		waitForResponses(models, 20)
		waitForResponses(plain, 20)
		f.killWhileBusy("pool-1", func() int { return f.Engines["pool-1"].Status().Load.Running })
		f.killWhileBusy("orders-1", func() int { return f.PlainServices["orders-1"].Status().Running })
		waitForResponses(models, 50)
		waitForResponses(plain, 50)
		for _, id := range []fleet.InstanceID{"pool-1", "orders-1"} {
			_, err := f.RestartAgent(id)
			Expect(err).NotTo(HaveOccurred())
		}
		f.waitAdmitting()
		waitForResponses(plain, 50)
		f.expectComplete(models.Stop())
		f.expectRunOnce(plain.Stop())
	})
})

// notLoadedInOrder lists the engines that have not loaded v. It checks that no
// dependent has started to load it before a replica in its zone of the service
// it depends on has loaded it. The dependents are read first, so that what they
// require was there before.
func (f *testFleet) notLoadedInOrder(g Gomega, v fleet.Version) []fleet.InstanceID {
	started := make(map[fleet.Zone]bool)
	for _, id := range f.modelAgents(assist) {
		s := f.Engines[id].Status()
		started[f.zoneOf(id)] = started[f.zoneOf(id)] || s.Loading || s.Loaded == v
	}
	pending := f.notLoaded(v, f.modelAgents(pool)...)
	for zone := range started {
		ready := slices.ContainsFunc(f.modelAgents(pool), func(id fleet.InstanceID) bool {
			return f.zoneOf(id) == zone && !slices.Contains(pending, id)
		})
		g.Expect(started[zone] && !ready).To(BeFalse(), "%s loads in %s before any of %s has", assist, zone, pool)
	}
	return append(pending, f.notLoaded(v, f.modelAgents(assist)...)...)
}

func (f *testFleet) zoneOf(id fleet.InstanceID) fleet.Zone { return f.Process(id).Instance.Place.Zone }

// notRunOnce lists the keys that the plain services have not run exactly once.
func (f *testFleet) notRunOnce(keys []string) []string {
	executions := f.Executions()
	return slices.DeleteFunc(slices.Clone(keys), func(key string) bool { return executions[key] == 1 })
}

// expectRunOnce checks that work that must run at most once did so, and that
// the callers received the correct outcomes.
func (f *testFleet) expectRunOnce(t harness.Tally) {
	GinkgoHelper()
	AddReportEntry("work that must run once", fmt.Sprintf("ran=%d not_run=%d unknown=%d refusals=%d",
		len(t.RespondedKeys), len(t.NotRunKeys), len(t.UnknownKeys), t.NotRunAttempts))
	Expect(t.Lost).To(Equal(len(t.NotRunKeys) + len(t.UnknownKeys)))
	Expect(t.Incorrect).To(BeZero(), "responses to other requests")
	Expect(f.Duplicates()).To(BeZero())
	Expect(f.notRunOnce(t.RespondedKeys)).To(BeEmpty(), "keys with a response that did not run once")
	Expect(f.executedKeys(t.NotRunKeys)).To(BeEmpty(), "keys that ran although the last outcome was not_run")
}

// executedKeys lists the keys that some plain service has run.
func (f *testFleet) executedKeys(keys []string) []string {
	executions := f.Executions()
	return slices.DeleteFunc(slices.Clone(keys), func(key string) bool { return executions[key] == 0 })
}

// killWhileBusy kills an agent as soon as its backend server runs requests.
func (f *testFleet) killWhileBusy(id fleet.InstanceID, running func() int) {
	GinkgoHelper()
	Eventually(running).WithPolling(time.Millisecond).Should(BeNumerically(">", 0), "requests at %s", id)
	f.Process(id).Kill()
}

// span is a span, as logged.
type span struct{ id, parent string }

var spanLine = regexp.MustCompile(`event=span instance=\S+ trace_id=(\w+) span_id=(\w+) parent_id=(\w*) name=(\S+)`)

// spansOf finds the spans of one trace in all logs, by name.
func (f *testFleet) spansOf(traceID string) map[string]span {
	spans := make(map[string]span)
	for _, p := range f.allProcesses() {
		log, err := os.ReadFile(p.LogPath)
		if err != nil {
			continue
		}
		for _, m := range spanLine.FindAllStringSubmatch(string(log), -1) {
			if m[1] == traceID {
				spans[m[4]] = span{id: m[2], parent: m[3]}
			}
		}
	}
	return spans
}
