package wholepath_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/adapters/callerclient"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/revision"
	"chivespindle.example/core/status"
	"chivespindle.example/standin/engine"
	"chivespindle.example/standin/harness"
	"chivespindle.example/standin/plainservice"
	"chivespindle.example/standin/platform"
)

// Services of the tests' fleets.
const (
	pool   fleet.ServiceName = "spindle-pool"
	assist fleet.ServiceName = "workshop-assist" // depends on pool
	orders fleet.ServiceName = "workshop-api"    // plain, depends on assist
)

// Places of the fleets: two zones of one region.
var (
	apapa = fleet.Place{Zone: "apapa-hall", Region: "lagos"}
	ikeja = fleet.Place{Zone: "ikeja-hall", Region: "lagos"}
)

// Small models keep a version change short. The engines still distinguish them
// by their bytes.
const (
	modelBytes = 2 << 20
	chunkBytes = 128 << 10
)

// testFleet is a fleet and what its operator has published so far.
type testFleet struct {
	*harness.Fleet
	dir     string
	entries []*harness.Process
	agents  []fleet.InstanceID
	// maxUnavailable is how many replicas of a zone may be out of service at
	// once.
	maxUnavailable int

	mu        sync.Mutex
	published map[string]bool
}

// newFleet starts the stand-ins of a fleet, which is closed after the suite.
func newFleet(options harness.Options) *testFleet {
	GinkgoHelper()
	options.DaemonPath = daemonPath()
	options.Dir = tempDir()
	f, err := harness.New(options)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(f.Close)
	return &testFleet{Fleet: f, dir: options.Dir, maxUnavailable: 1, published: make(map[string]bool)}
}

// addModel adds a version to the origin and the store.
func (f *testFleet) addModel(name string, seed uint64) fleet.Version {
	GinkgoHelper()
	m, err := f.AddModel(platform.ModelSpec{Name: name, Bytes: modelBytes, ChunkBytes: chunkBytes, Seed: seed})
	Expect(err).NotTo(HaveOccurred())
	return m.Version
}

// addEntry starts an entry.
func (f *testFleet) addEntry(id fleet.InstanceID, place fleet.Place) *harness.Process {
	GinkgoHelper()
	p, err := f.StartEntry(id, place)
	Expect(err).NotTo(HaveOccurred())
	f.entries = append(f.entries, p)
	return p
}

// addAgent starts a backend server and its agent.
func (f *testFleet) addAgent(id fleet.InstanceID, place fleet.Place, spec harness.AgentSpec) {
	GinkgoHelper()
	_, err := f.StartAgent(id, place, spec)
	Expect(err).NotTo(HaveOccurred())
	f.agents = append(f.agents, id)
}

// modelSpec describes an engine that checks fencing numbers.
func modelSpec(service fleet.ServiceName, tokenTime time.Duration) harness.AgentSpec {
	return harness.AgentSpec{Service: service, Engine: &engine.Options{
		Slots: 8, MaxWaiting: 8, TokenTime: tokenTime, LoadTime: 300 * time.Millisecond, CheckFence: true,
	}}
}

func plainSpec(service fleet.ServiceName, delay time.Duration) harness.AgentSpec {
	return harness.AgentSpec{Service: service, Plain: &plainservice.Options{Delay: delay}}
}

// configNaming returns a configuration in which both model services name
// version v.
func (f *testFleet) configNaming(v fleet.Version) string {
	return fmt.Sprintf(`[fleet]
name = ffsan
[version %[1]s]
manifest = %[2]s
[service %[3]s]
kind = model
version = %[1]s
max_unavailable = %[6]d
engine_fencing = checked
[service %[4]s]
kind = model
version = %[1]s
depends_on = %[3]s
max_unavailable = %[6]d
engine_fencing = checked
[service %[5]s]
kind = plain
depends_on = %[4]s
`, v.Name, v.Manifest, pool, assist, orders, f.maxUnavailable)
}

// publish publishes a configuration that names v.
func (f *testFleet) publish(v fleet.Version) revision.Revision {
	f.mu.Lock()
	f.published[harness.FormatVersion(v)] = true
	f.mu.Unlock()
	return f.Config.SetConfig([]byte(f.configNaming(v)))
}

func (f *testFleet) isPublished(version string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.published[version]
}

// newCaller returns a caller near a place that has every entry as a seed.
func (f *testFleet) newCaller(near fleet.Place) *callerclient.Client {
	var seeds []netip.AddrPort
	for _, p := range f.entries {
		seeds = append(seeds, p.Instance.CallerAddr)
	}
	return callerclient.New(callerclient.Options{Seeds: seeds, Place: near})
}

// startLoad starts callers. The default deadline of five seconds bounds how
// long they wait for an agent that was killed.
func (f *testFleet) startLoad(spec harness.LoadSpec) *harness.LoadGenerator {
	spec.IsPublished = f.isPublished
	if spec.Deadline == 0 {
		spec.Deadline = 5 * time.Second
	}
	return harness.StartLoad(f.newCaller(apapa), spec)
}

// startModelLoad starts callers that request tokens.
func (f *testFleet) startModelLoad(callers, tokens int, services ...fleet.ServiceName) *harness.LoadGenerator {
	return f.startLoad(harness.LoadSpec{ModelServices: services, Callers: callers, MaxTokens: tokens})
}

// startPlainLoad starts callers of work that must run at most once.
func (f *testFleet) startPlainLoad(callers int, services ...fleet.ServiceName) *harness.LoadGenerator {
	return f.startLoad(harness.LoadSpec{PlainServices: services, Callers: callers})
}

// waitForResponses waits until a load has received n more responses.
func waitForResponses(load *harness.LoadGenerator, n int) {
	GinkgoHelper()
	before := load.Tally().Correct
	Eventually(func() int { return load.Tally().Correct }).Should(BeNumerically(">=", before+n))
}

// expectComplete checks that callers received every response, each correct, and
// that no engine ran on bytes of another version.
func (f *testFleet) expectComplete(t harness.Tally) {
	GinkgoHelper()
	AddReportEntry("callers received", fmt.Sprintf("answers=%d refusals=%d unknown=%d", t.Correct, t.NotRunAttempts, t.UnknownAttempts))
	Expect(t.Correct).To(BeNumerically(">", 0))
	Expect(t.Lost).To(BeZero(), "lost requests")
	Expect(t.WrongVersion).To(BeZero(), "responses of a version that was not published")
	Expect(t.Incorrect).To(BeZero(), "responses to other requests")
	Expect(f.WeightMismatches()).To(BeZero(), "requests that ran on mixed weights")
}

// modelAgents returns the agents of engines, of the given services or of all.
func (f *testFleet) modelAgents(services ...fleet.ServiceName) []fleet.InstanceID {
	var ids []fleet.InstanceID
	for _, id := range f.agents {
		if _, ok := f.Engines[id]; ok && (len(services) == 0 || slices.Contains(services, f.Process(id).Instance.Service)) {
			ids = append(ids, id)
		}
	}
	return ids
}

// notLoaded lists those of ids whose engines have not loaded v.
func (f *testFleet) notLoaded(v fleet.Version, ids ...fleet.InstanceID) []fleet.InstanceID {
	var pending []fleet.InstanceID
	for _, id := range ids {
		if s := f.Engines[id].Status(); s.Loaded != v || s.Loading {
			pending = append(pending, id)
		}
	}
	return pending
}

// waitLoaded waits until all engines, or those of ids, have loaded v.
func (f *testFleet) waitLoaded(v fleet.Version, ids ...fleet.InstanceID) {
	GinkgoHelper()
	if len(ids) == 0 {
		ids = f.modelAgents()
	}
	Eventually(f.notLoaded).WithArguments(append([]any{v}, toAny(ids)...)...).Should(BeEmpty())
}

func toAny[T any](items []T) []any {
	list := make([]any, len(items))
	for i, item := range items {
		list[i] = item
	}
	return list
}

// waitReady waits until a newly started fleet serves v.
func (f *testFleet) waitReady(v fleet.Version) {
	GinkgoHelper()
	f.waitLoaded(v)
	f.waitAdmitting()
	f.waitRouted()
}

// waitAdmitting waits until every entry has a configuration and every agent
// admits requests.
func (f *testFleet) waitAdmitting() {
	GinkgoHelper()
	for _, p := range f.entries {
		Eventually(entryStatus).WithArguments(p).Should(HaveField("Revision", Not(BeZero())))
	}
	for _, id := range f.agents {
		Eventually(agentStatus).WithArguments(f.Process(id)).Should(HaveField("Admitting", BeTrue()), "%s", id)
	}
}

// waitRouted waits until each entry gets a response from each model service.
func (f *testFleet) waitRouted() {
	GinkgoHelper()
	for _, p := range f.entries {
		for _, id := range f.modelAgents() {
			service := f.Process(id).Instance.Service
			Eventually(func() error {
				_, err := f.sendTo(p, service, "are you there", 1)
				return err
			}).Should(Succeed(), "%s through %s", service, p.Instance.ID)
		}
	}
}

// sendTo sends one request through an entry.
func (f *testFleet) sendTo(p *harness.Process, service fleet.ServiceName, prompt string, tokens int) (callerclient.Response, error) {
	body, err := json.Marshal(harness.Prompt{Prompt: prompt, MaxTokens: tokens})
	if err != nil {
		return callerclient.Response{}, err
	}
	r := callerclient.Request{Service: service, Deadline: 20 * time.Second, Body: body}
	return f.newCaller(apapa).DoAt(context.Background(), p.Instance.CallerAddr, r)
}

// entryStatus and agentStatus read /status of a process.
func entryStatus(p *harness.Process) (status.Entry, error) { return statusOf[status.Entry](p) }

func agentStatus(p *harness.Process) (status.Agent, error) { return statusOf[status.Agent](p) }

// opsHTTP is the HTTP client for the operators' ports.
var opsHTTP = &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

func statusOf[T any](p *harness.Process) (T, error) {
	var status T
	resp, err := opsHTTP.Get("http://" + p.OpsAddr.String() + "/status")
	if err != nil {
		return status, err
	}
	defer func() { _ = resp.Body.Close() }()
	return status, json.NewDecoder(resp.Body).Decode(&status)
}

// revisionOf reads the active revision of a process.
func revisionOf(p *harness.Process) (revision.Revision, error) {
	status, err := statusOf[struct {
		Revision revision.Revision `json:"revision"`
	}](p)
	return status.Revision, err
}

// allProcesses returns the running processes that the tests know.
func (f *testFleet) allProcesses() []*harness.Process {
	list := slices.Clone(f.entries)
	for _, id := range f.agents {
		list = append(list, f.Process(id))
	}
	return list
}

// waitRevision waits until the revision is active at every process.
func (f *testFleet) waitRevision(want revision.Revision) {
	GinkgoHelper()
	for _, p := range f.allProcesses() {
		Eventually(revisionOf).WithArguments(p).Should(Equal(want), "%s", p.Instance.ID)
	}
}

// printLogsOnFailure prints the ends of the logs if the spec has failed.
func (f *testFleet) printLogsOnFailure() {
	if f == nil || !CurrentSpecReport().Failed() {
		return
	}
	const shown = 100 // lines
	files, err := os.ReadDir(f.dir)
	if err != nil {
		return
	}
	for _, file := range files {
		if strings.HasSuffix(file.Name(), ".log") {
			GinkgoWriter.Printf("--- %s\n%s\n", file.Name(), logTail(filepath.Join(f.dir, file.Name()), shown))
		}
	}
}
