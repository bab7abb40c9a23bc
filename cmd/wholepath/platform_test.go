package wholepath_test

import (
	"encoding/json"
	"fmt"
	"os"
	"regexp"
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/core/fleet"
	"chivespindle.example/core/revision"
	"chivespindle.example/standin/harness"
)

var _ = Describe("The platform's faults", Ordered, ContinueOnFailure, func() {
	var f *testFleet
	var r1, r2, r3 fleet.Version

	startWithSuite(func() {
		f = newFleet(harness.Options{})
		r1, r2, r3 = f.model("r1", 1), f.model("r2", 2), f.model("r3", 3)
		f.publish(r1)
		f.addEntry("entry-1", apapa)
		f.addEntry("entry-2", ikeja)
		const tokenTime = 2 * time.Millisecond
		f.addAgent("pool-1", apapa, modelSpec(pool, tokenTime))
		f.addAgent("pool-2", ikeja, modelSpec(pool, tokenTime))
		f.addAgent("assist-1", apapa, modelSpec(assist, tokenTime))
		f.addAgent("orders-1", ikeja, plainSpec(orders, 5*time.Millisecond))
	})
	BeforeAll(func() { f.waitReady(r1) })
	AfterEach(func() {
		f.showLogs()
		f.setPlatformDown(false)
		f.setWeightsDown(false)
		Expect(f.Config.SetStale(0)).To(Succeed())
	})

	// The operator publishes a text with a slip: a service names a version that
	// has no section. Every process keeps the text that it has, and callers
	// notice nothing; an entry's status tells the operator file, line and reason.
	// The mended text then comes into force everywhere.
	It("refuses a bad text, tells why and takes the mended one", func() {
		load := f.modelLoad(4, 8, pool, assist)
		former := f.Config.Revision()
		bad := strings.Replace(f.textOf(r2), "version = "+r2.Name, "version = r9", 1)
		f.Config.SetConfig([]byte(bad))
		for _, p := range f.entries {
			Eventually(entryStatus).WithArguments(p).Should(HaveField("Config.Refused",
				ConsistOf(ContainSubstring("fleet.ini:7: version: there is no section [version r9]"))))
		}
		answersAfter(load, 20)
		f.waitRevision(former)
		Expect(f.behind(r1, f.modelAgents()...)).To(BeEmpty())

		mended := f.publish(r2)
		f.waitRevision(mended)
		f.waitLoaded(r2)
		for _, p := range f.entries {
			Eventually(entryStatus).WithArguments(p).Should(HaveField("Config.Refused", BeEmpty()))
		}
		f.expectWhole(load.Stop())
		f.expectNoReturn()
	})

	// The operator works with the client program alone: checks a text with a slip
	// and the mended one, looks at the fleet, and sends a request. The client says
	// of the text what the fleet would say, and ends with the code that
	// docs/CLI.md names, so that scripts can go by it.
	It("is checked, shown and used through the client program", func() {
		entry := f.entries[0]
		text := f.textOf(r2)
		bad := f.writeText("bad.ini", strings.Replace(text, "version = "+r2.Name, "version = r9", 1))
		code, stdout, _ := client("", "check", bad)
		Expect(code).To(Equal(3), "input refused")
		Expect(stdout).To(Equal(bad + ":7: version: there is no section [version r9]\n"))
		code, stdout, _ = client("", "check", f.writeText("fleet.ini", text))
		Expect(code).To(BeZero())
		Expect(stdout).To(ContainSubstring("good: fleet ffsan, 3 services"))

		code, stdout, stderr := client("", "status", "--ops", entry.OpsAddr.String())
		Expect(code).To(BeZero(), stderr)
		Expect(stdout).To(ContainSubstring(fmt.Sprintf("revision %d in force at %s", f.Config.Revision(), entry.Instance.ID)))
		Expect(stdout).To(MatchRegexp(`%s +%s@\w+ +2 +2 +0 +0`, pool, r2.Name))

		prompt := harness.Prompt{Prompt: "Read this fault log: E14", MaxTokens: 5}
		body, err := json.Marshal(prompt)
		Expect(err).NotTo(HaveOccurred())
		code, stdout, stderr = client(string(body), "request", string(pool), "--body", "-", "--entry", entry.Instance.CallerAddr.String())
		Expect(code).To(BeZero(), stderr)
		version, whole := harness.CheckResponse([]byte(stdout), prompt)
		Expect(whole).To(BeTrue(), stdout)
		Expect(version).To(Equal(harness.FormatVersion(r2)))
		Expect(stderr).To(ContainSubstring("outcome=ran status=200 version=" + version))
		code, _, stderr = client("", "request", "no-such-service", "--entry", entry.Instance.CallerAddr.String())
		Expect(code).To(Equal(5), "not run: %s", stderr)
	})

	// The platform answers with an older text, as after a restore from an old
	// copy. Nobody goes back to it. An agent and an entry that are started anew
	// meanwhile are told the newer text by the others and take that.
	It("never goes back to the older text of a stale platform", func() {
		load := f.modelLoad(4, 8, pool, assist)
		newest := f.Config.Revision()
		stale := newest - 2 // the bad text is between
		Expect(f.Config.SetStale(stale)).To(Succeed())
		for _, p := range f.entries {
			Eventually(entryStatus).WithArguments(p).Should(HaveField("Config.PlatformRevision", stale))
		}
		loads := f.Engines["pool-1"].Counters().Loads
		_, err := f.RestartAgent("pool-1")
		Expect(err).NotTo(HaveOccurred())
		f.entries[1], err = f.Restart("entry-2")
		Expect(err).NotTo(HaveOccurred())
		f.waitRevision(newest)
		f.waitAdmitting()
		answersAfter(load, 50)
		f.expectWhole(load.Stop())
		f.expectNoReturn()
		Expect(f.Engines["pool-1"].Counters().Loads).To(Equal(loads), "loads of the engine whose agent started anew")
		Expect(f.behind(r2, f.modelAgents()...)).To(BeEmpty())
	})

	// The configuration service and the instance list are down. Requests go on.
	// An agent crashes and its supervisor starts it again on its ports. It knows
	// nobody and cannot ask the platform; its former neighbours find it, tell it
	// the text, and it serves again.
	It("serves on without the platform, a restarted agent too", func() {
		load := f.modelLoad(4, 8, pool, assist)
		f.setPlatformDown(true)
		answersAfter(load, 50)
		_, err := f.Restart("pool-1")
		Expect(err).NotTo(HaveOccurred())
		f.waitRevision(f.Config.Revision())
		f.waitAdmitting()
		answersAfter(load, 50)
		f.expectWhole(load.Stop())
	})

	// The origin and the weight store are down. Requests go on. An agent is
	// started anew beside its engine, which still has its version: it serves that
	// again and draws no byte. A new version then waits, while the former one is
	// served; when the sources are back the fleet takes it.
	It("serves on without origin and store, and draws nothing twice", func() {
		load := f.modelLoad(4, 8, pool, assist)
		f.setWeightsDown(true)
		drawn := f.Origin.BytesSent() + f.Store.BytesSent()
		loads := f.Engines["pool-2"].Counters().Loads
		restarted, err := f.RestartAgent("pool-2")
		Expect(err).NotTo(HaveOccurred())
		f.waitAdmitting()
		answersAfter(load, 50)
		Expect(f.Origin.BytesSent()+f.Store.BytesSent()).To(Equal(drawn), "bytes sent by the origin and the store")
		Expect(f.Engines["pool-2"].Counters().Loads).To(Equal(loads))
		status, err := agentStatus(restarted)
		Expect(err).NotTo(HaveOccurred())
		Expect(status.Fetched).To(BeZero())

		f.publish(r3)
		for _, id := range f.modelAgents() {
			Eventually(agentStatus).WithArguments(f.Process(id)).Should(HaveField("Target", r3), "%s", id)
		}
		answersAfter(load, 50)
		Expect(f.behind(r2, f.modelAgents()...)).To(BeEmpty())
		f.setWeightsDown(false)
		f.waitLoaded(r3)
		f.waitAdmitting()
		answersAfter(load, 20)
		f.expectWhole(load.Stop())
	})
})

func (f *testFleet) setPlatformDown(down bool) {
	f.Config.SetDown(down)
	f.Instances.SetDown(down)
}

func (f *testFleet) setWeightsDown(down bool) {
	f.Origin.SetDown(down)
	f.Store.SetDown(down)
}

var inForceLine = regexp.MustCompile(`event=text_in_force .*?revision=(\d+)`)

// expectNoReturn checks in the logs, over restarts too, that no process has
// gone back to an older text.
func (f *testFleet) expectNoReturn() {
	GinkgoHelper()
	for _, p := range f.all() {
		log, err := os.ReadFile(p.LogPath)
		Expect(err).NotTo(HaveOccurred())
		var newest revision.Revision
		for _, m := range inForceLine.FindAllStringSubmatch(string(log), -1) {
			number, err := strconv.ParseUint(m[1], 10, 64)
			Expect(err).NotTo(HaveOccurred())
			Expect(revision.Revision(number)).To(BeNumerically(">=", newest), "%s", p.Instance.ID)
			newest = revision.Revision(number)
		}
		Expect(newest).NotTo(BeZero(), "%s", p.Instance.ID)
	}
}
