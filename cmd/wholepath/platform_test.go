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

var _ = Describe("Platform faults", Ordered, ContinueOnFailure, func() {
	var f *testFleet
	var r1, r2, r3 fleet.Version

	startWithSuite(func() {
		f = newFleet(harness.Options{})
		r1, r2, r3 = f.addModel("r1", 1), f.addModel("r2", 2), f.addModel("r3", 3)
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
		f.printLogsOnFailure()
		f.setPlatformDown(false)
		f.setWeightsDown(false)
		Expect(f.Config.SetStale(0)).To(Succeed())
	})

	// The operator publishes a configuration with a mistake: a service names a
	// version that has no section. Every process keeps its active
	// configuration, and callers notice nothing. An entry's status reports
	// file, line and reason to the operator. The corrected configuration then
	// becomes active everywhere.
	It("refuses an invalid configuration, reports why and activates the corrected one", func() {
		load := f.startModelLoad(4, 8, pool, assist)
		active := f.Config.Revision()
		bad := strings.Replace(f.configNaming(r2), "version = "+r2.Name, "version = r9", 1)
		f.Config.SetConfig([]byte(bad))
		for _, p := range f.entries {
			Eventually(entryStatus).WithArguments(p).Should(HaveField("Config.Refused",
				ConsistOf(ContainSubstring("fleet.ini:7: version: there is no section [version r9]"))))
		}
		waitForResponses(load, 20)
		f.waitRevision(active)
		Expect(f.notLoaded(r1, f.modelAgents()...)).To(BeEmpty())

		corrected := f.publish(r2)
		f.waitRevision(corrected)
		f.waitLoaded(r2)
		for _, p := range f.entries {
			Eventually(entryStatus).WithArguments(p).Should(HaveField("Config.Refused", BeEmpty()))
		}
		f.expectComplete(load.Stop())
		f.expectNoRollback()
	})

	// The operator uses only the command line client: checks a configuration
	// with a mistake and the corrected one, shows the fleet, and sends a
	// request. The client reports the same faults as the fleet, and exits with
	// the codes of docs/CLI.md, so that scripts can rely on them.
	It("is checked, shown and used with the command line client", func() {
		entry := f.entries[0]
		text := f.configNaming(r2)
		bad := f.writeConfig("bad.ini", strings.Replace(text, "version = "+r2.Name, "version = r9", 1))
		code, stdout, _ := runClient("", "check", bad)
		Expect(code).To(Equal(3), "input refused")
		Expect(stdout).To(Equal(bad + ":7: version: there is no section [version r9]\n"))
		code, stdout, _ = runClient("", "check", f.writeConfig("fleet.ini", text))
		Expect(code).To(BeZero())
		Expect(stdout).To(ContainSubstring("good: fleet ffsan, 3 services"))

		code, stdout, stderr := runClient("", "status", "--ops", entry.OpsAddr.String())
		Expect(code).To(BeZero(), stderr)
		Expect(stdout).To(ContainSubstring(fmt.Sprintf("revision %d in force at %s", f.Config.Revision(), entry.Instance.ID)))
		Expect(stdout).To(MatchRegexp(`%s +%s@\w+ +2 +2 +0 +0`, pool, r2.Name))

		prompt := harness.Prompt{Prompt: "Read this fault log: E14", MaxTokens: 5}
		body, err := json.Marshal(prompt)
		Expect(err).NotTo(HaveOccurred())
		code, stdout, stderr = runClient(string(body), "request", string(pool), "--body", "-", "--entry", entry.Instance.CallerAddr.String())
		Expect(code).To(BeZero(), stderr)
		version, whole := harness.CheckResponse([]byte(stdout), prompt)
		Expect(whole).To(BeTrue(), stdout)
		Expect(version).To(Equal(harness.FormatVersion(r2)))
		Expect(stderr).To(ContainSubstring("outcome=ran status=200 version=" + version))
		code, _, stderr = runClient("", "request", "no-such-service", "--entry", entry.Instance.CallerAddr.String())
		Expect(code).To(Equal(5), "not run: %s", stderr)
	})

	// The platform responds with an older configuration, as after a restore
	// from an old backup. No process goes back to it. An agent and an entry
	// that restart meanwhile get the newer configuration from the others and
	// activate that.
	It("never goes back to the older configuration of a stale platform", func() {
		load := f.startModelLoad(4, 8, pool, assist)
		newest := f.Config.Revision()
		stale := newest - 2 // the invalid configuration is in between
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
		waitForResponses(load, 50)
		f.expectComplete(load.Stop())
		f.expectNoRollback()
		Expect(f.Engines["pool-1"].Counters().Loads).To(Equal(loads), "loads of the engine whose agent restarted")
		Expect(f.notLoaded(r2, f.modelAgents()...)).To(BeEmpty())
	})

	// The configuration service and the instance list are down. Requests are
	// still served. An agent crashes and its supervisor restarts it on its
	// ports. It knows no other process and cannot read from the platform. Its
	// former neighbours find it and send it the configuration, and it serves
	// again.
	It("continues to serve without the platform, including a restarted agent", func() {
		load := f.startModelLoad(4, 8, pool, assist)
		f.setPlatformDown(true)
		waitForResponses(load, 50)
		_, err := f.Restart("pool-1")
		Expect(err).NotTo(HaveOccurred())
		f.waitRevision(f.Config.Revision())
		f.waitAdmitting()
		waitForResponses(load, 50)
		f.expectComplete(load.Stop())
	})

	// The origin and the weight store are down. Requests are still served. An
	// agent is restarted while its engine still has its version: the agent
	// serves that version again and fetches no byte. A new version then waits,
	// while the previous one is served; once the sources are available again
	// the fleet loads it.
	It("continues to serve without origin and store, and fetches nothing twice", func() {
		load := f.startModelLoad(4, 8, pool, assist)
		f.setWeightsDown(true)
		fetched := f.Origin.BytesSent() + f.Store.BytesSent()
		loads := f.Engines["pool-2"].Counters().Loads
		restarted, err := f.RestartAgent("pool-2")
		Expect(err).NotTo(HaveOccurred())
		f.waitAdmitting()
		waitForResponses(load, 50)
		Expect(f.Origin.BytesSent()+f.Store.BytesSent()).To(Equal(fetched), "bytes sent by the origin and the store")
		Expect(f.Engines["pool-2"].Counters().Loads).To(Equal(loads))
		status, err := agentStatus(restarted)
		Expect(err).NotTo(HaveOccurred())
		Expect(status.Fetched).To(BeZero())

		f.publish(r3)
		for _, id := range f.modelAgents() {
			Eventually(agentStatus).WithArguments(f.Process(id)).Should(HaveField("Target", r3), "%s", id)
		}
		waitForResponses(load, 50)
		Expect(f.notLoaded(r2, f.modelAgents()...)).To(BeEmpty())
		f.setWeightsDown(false)
		f.waitLoaded(r3)
		f.waitAdmitting()
		waitForResponses(load, 20)
		f.expectComplete(load.Stop())
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

var activeConfigLine = regexp.MustCompile(`event=text_in_force .*?revision=(\d+)`)

// expectNoRollback checks in the logs, across restarts, that no process has
// gone back to an older configuration.
func (f *testFleet) expectNoRollback() {
	GinkgoHelper()
	for _, p := range f.allProcesses() {
		log, err := os.ReadFile(p.LogPath)
		Expect(err).NotTo(HaveOccurred())
		var newest revision.Revision
		for _, m := range activeConfigLine.FindAllStringSubmatch(string(log), -1) {
			number, err := strconv.ParseUint(m[1], 10, 64)
			Expect(err).NotTo(HaveOccurred())
			Expect(revision.Revision(number)).To(BeNumerically(">=", newest), "%s", p.Instance.ID)
			newest = revision.Revision(number)
		}
		Expect(newest).NotTo(BeZero(), "%s", p.Instance.ID)
	}
}
