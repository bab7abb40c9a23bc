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
		r1, r2 = f.model("r1", 1), f.model("r2", 2)
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
	AfterEach(func() { f.showLogs() })

	// A caller asks either entry for each of three services: a model service,
	// one that depends on it, and a plain one. Each answer is whole, is the one
	// to the caller's own request, and names the version that the operator's
	// text pins; the plain service has run the work once.
	It("brings each caller the whole answer to its own request", func() {
		for i, p := range f.entries {
			for _, service := range []fleet.ServiceName{pool, assist} {
				prompt := harness.Prompt{Prompt: fmt.Sprintf("yarn break %d", i), MaxTokens: 12}
				answer, err := f.askAt(p, service, prompt.Prompt, prompt.MaxTokens)
				Expect(err).NotTo(HaveOccurred())
				version, whole := harness.CheckResponse(answer.Body, prompt)
				Expect(whole).To(BeTrue(), "%s", answer.Body)
				Expect(version).To(Equal(harness.FormatVersion(r1)))
				Expect(answer.Version).To(Equal(version))
			}
			key, err := f.client(apapa).IssueKey(context.Background(), orders)
			Expect(err).NotTo(HaveOccurred())
			answer, err := f.client(apapa).DoAt(context.Background(), p.Instance.CallerAddr, callerclient.Request{
				Service: orders, Path: "orders", IdempotencyKey: key, NonIdempotent: true, Body: []byte("two cones")})
			Expect(err).NotTo(HaveOccurred())
			var receipt plainservice.Receipt
			Expect(json.Unmarshal(answer.Body, &receipt)).To(Succeed())
			Expect(receipt).To(SatisfyAll(
				HaveField("Key", key), HaveField("Path", "orders"), HaveField("Execution", 1), HaveField("Body", []byte("two cones"))))
			Expect(f.Executions()).To(HaveKeyWithValue(key, 1))
		}
	})

	// A caller sends a request within a trace of its own. The spans of the
	// entry and of the agent belong to that trace, each the child of the hop
	// before it, so that the caller's tracing shows where its time went.
	It("continues the caller's trace at every hop", func() {
		const traceID, callerSpan = "4bf92f3577b34da6a3ce929d0e0e4736", "00f067aa0ba902b7"
		body, err := json.Marshal(harness.Prompt{Prompt: "trace me", MaxTokens: 3})
		Expect(err).NotTo(HaveOccurred())
		_, err = f.client(apapa).Do(context.Background(), callerclient.Request{
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

	// A caller asks where to go, sends a request for tokens, asks for a key and
	// sends work that must run once, twice with the same key. What goes over the
	// connection is what docs/CALLERS.md says, to the byte: a program that was
	// written against it goes on working.
	It("speaks with callers as their page says", func() {
		near := f.entries[0]
		s := &session{fleet: f}
		s.do(near, exchange{method: "GET", path: "/v1/addresses?zone=apapa-hall&region=lagos"})
		s.expectGolden("addresses")

		s = &session{fleet: f}
		s.do(near, exchange{
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
		body := s.do(near, exchange{method: "POST", path: "/v1/keys/" + string(orders)})
		Expect(json.Unmarshal([]byte(body), &issued)).To(Succeed())
		order := exchange{
			method:  "POST",
			path:    "/v1/services/" + string(orders) + "/orders",
			headers: map[string]string{"Chivespindle-Non-Idempotent": "?1", "Idempotency-Key": issued.Key},
			body:    "two cones",
		}
		s.do(near, order)
		s.do(f.entries[1], order)
		order.body = "three cones"
		s.do(near, order)
		s.expectGolden("work-that-must-run-once")
		Expect(f.Executions()).To(HaveKeyWithValue(issued.Key, 1))
	})

	// Callers make mistakes, and one comes to an entry that has just started
	// while the platform is down: it knows no text and nobody who could tell it.
	// Each is answered at once, told that nothing was run and, where coming back
	// makes sense, when.
	It("refuses as the callers' page says", func() {
		f.setPlatformDown(true)
		DeferCleanup(f.setPlatformDown, false)
		fresh, err := f.StartEntry("entry-3", ikeja)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() {
			fresh.Kill()
			f.Instances.Remove("entry-3")
		})
		Eventually(entryStatus).WithArguments(fresh).Should(HaveField("ID", fresh.Instance.ID))

		s := &session{fleet: f}
		near, to := f.entries[0], "/v1/services/"+string(pool)
		s.do(near, exchange{method: "POST", path: "/v1/services/no-such-service", body: "{}"})
		s.do(near, exchange{method: "POST", path: "/v1/keys/no-such-service"})
		for _, bad := range []map[string]string{
			{"Chivespindle-Deadline": "soon"},
			{"Priority": "u=9"},
			{"Chivespindle-Non-Idempotent": "?1"},
			{"Chivespindle-Non-Idempotent": "yes", "Idempotency-Key": "an order of mine"},
		} {
			s.do(near, exchange{method: "POST", path: to, headers: bad, body: "{}"})
		}
		s.do(fresh, exchange{method: "POST", path: to, body: "{}"})
		s.expectGolden("refusals")
	})

	// The operator names another version while callers go on asking, and then
	// the former one again. Replicas go out of service a few at a time, finish
	// what runs, load and come back; a dependent waits for what it depends on.
	// Callers see some refusals to try again, and every answer whole and of one
	// version that was asked for; work that must run once runs once.
	It("changes the version under live requests and goes back", func() {
		models, plain := f.modelLoad(8, 16, pool, assist), f.plainLoad(4, orders)
		answersAfter(models, 50)
		for _, v := range []fleet.Version{r2, r1} {
			f.publish(v)
			Eventually(f.behindInOrder).WithArguments(v).Should(BeEmpty())
			answersAfter(models, 50)
			answer, err := f.askAt(f.entries[0], assist, "which one is it", 4)
			Expect(err).NotTo(HaveOccurred())
			Expect(answer.Version).To(Equal(harness.FormatVersion(v)))
		}
		f.expectWhole(models.Stop())
		orders := plain.Stop()
		f.expectWhole(orders)
		Expect(f.Duplicates()).To(BeZero())
		Expect(f.notOnce(orders.RespondedKeys)).To(BeEmpty(), "keys that were answered and did not run once")
	})

	// Two agents, one beside an engine and one beside the plain service, are
	// killed with kill -9 while their servers work; later they are started anew.
	// Their entries only find that nothing comes any more. Idempotent requests are
	// tried elsewhere, by the entry or by the caller, and all are answered. Work
	// that must run once has run once if its caller's last word is ran, never if
	// it is not_run, and never twice.
	It("loses nothing and repeats nothing when agents are killed", func() {
		models, plain := f.modelLoad(8, 30, pool), f.plainLoad(8, orders)
		answersAfter(models, 20)
		answersAfter(plain, 20)
		f.killAtWork("pool-1", func() int { return f.Engines["pool-1"].Status().Load.Running })
		f.killAtWork("orders-1", func() int { return f.PlainServices["orders-1"].Status().Running })
		answersAfter(models, 50)
		answersAfter(plain, 50)
		for _, id := range []fleet.InstanceID{"pool-1", "orders-1"} {
			_, err := f.RestartAgent(id)
			Expect(err).NotTo(HaveOccurred())
		}
		f.waitAdmitting()
		answersAfter(plain, 50)
		f.expectWhole(models.Stop())
		f.expectOnce(plain.Stop())
	})
})

// behindInOrder lists the engines that have not loaded v, and checks that no
// dependent has begun to before a replica of its zone of what it depends on
// has. The dependents are looked at first: what these need was there before.
func (f *testFleet) behindInOrder(g Gomega, v fleet.Version) []fleet.InstanceID {
	begun := make(map[fleet.Zone]bool)
	for _, id := range f.modelAgents(assist) {
		s := f.Engines[id].Status()
		begun[f.zoneOf(id)] = begun[f.zoneOf(id)] || s.Loading || s.Loaded == v
	}
	late := f.behind(v, f.modelAgents(pool)...)
	for zone := range begun {
		ready := slices.ContainsFunc(f.modelAgents(pool), func(id fleet.InstanceID) bool {
			return f.zoneOf(id) == zone && !slices.Contains(late, id)
		})
		g.Expect(begun[zone] && !ready).To(BeFalse(), "%s loads in %s before any of %s has", assist, zone, pool)
	}
	return append(late, f.behind(v, f.modelAgents(assist)...)...)
}

func (f *testFleet) zoneOf(id fleet.InstanceID) fleet.Zone { return f.Process(id).Instance.Place.Zone }

// notOnce lists the keys that the plain services have not run exactly once.
func (f *testFleet) notOnce(keys []string) []string {
	executions := f.Executions()
	return slices.DeleteFunc(slices.Clone(keys), func(key string) bool { return executions[key] == 1 })
}

// expectOnce checks that work that must run at most once did, and that the
// callers were told the truth of it.
func (f *testFleet) expectOnce(t harness.Tally) {
	GinkgoHelper()
	AddReportEntry("work that must run once", fmt.Sprintf("ran=%d not_run=%d unknown=%d refusals=%d",
		len(t.RespondedKeys), len(t.NotRunKeys), len(t.UnknownKeys), t.NotRunAttempts))
	Expect(t.Lost).To(Equal(len(t.NotRunKeys) + len(t.UnknownKeys)))
	Expect(t.Incorrect).To(BeZero(), "answers to other requests")
	Expect(f.Duplicates()).To(BeZero())
	Expect(f.notOnce(t.RespondedKeys)).To(BeEmpty(), "keys that were answered and did not run once")
	Expect(f.thatRan(t.NotRunKeys)).To(BeEmpty(), "keys that ran though the last word was not_run")
}

// thatRan lists the keys that some plain service has run.
func (f *testFleet) thatRan(keys []string) []string {
	executions := f.Executions()
	return slices.DeleteFunc(slices.Clone(keys), func(key string) bool { return executions[key] == 0 })
}

// killAtWork kills an agent as soon as its backend server runs requests.
func (f *testFleet) killAtWork(id fleet.InstanceID, running func() int) {
	GinkgoHelper()
	Eventually(running).WithPolling(time.Millisecond).Should(BeNumerically(">", 0), "requests at %s", id)
	f.Process(id).Kill()
}

// span is one line of a log that tells of a span.
type span struct{ id, parent string }

var spanLine = regexp.MustCompile(`event=span instance=\S+ trace_id=(\w+) span_id=(\w+) parent_id=(\w*) name=(\S+)`)

// spansOf finds the spans of one trace in all logs, by name.
func (f *testFleet) spansOf(traceID string) map[string]span {
	spans := make(map[string]span)
	for _, p := range f.all() {
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
