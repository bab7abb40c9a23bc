package hostileclients_test

import (
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"path/filepath"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/adapters/callerhttp"
	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
	"chivespindle.example/standin/harness"
	"chivespindle.example/standin/plainservice"
)

// Settings of the processes, and the bounds that follow from them.
const (
	maxInFlight = 64
	memoryLimit = 64 // MB
	// memoryBound is the memory of the smallest machine that an entry is given: memory_limit,
	// which the Go runtime keeps to, the program itself and the bytes that the kernel holds.
	memoryBound = 112 << 20
	// socketBound leaves room for the idle connections of as many callers as may have
	// requests in progress, for operators, the platform and peers.
	socketBound = 4 * maxInFlight
	// maxBody is the default of max_body.
	maxBody = 1_000_000
)

const workshop fleet.ServiceName = "workshop-api"

var hall = fleet.Place{Zone: "apapa-hall", Region: "lagos"}

// testFleet is an entry and an agent with its plain service.
type testFleet struct {
	*harness.Fleet
	entry, agent *harness.Process
}

// startFleet starts a fleet, which ends with the suite.
func startFleet() *testFleet {
	GinkgoHelper()
	running, err := harness.New(harness.Options{
		DaemonPath: filepath.Join(programs, "chivespindled"), Dir: tempDir(),
		Limits: fmt.Sprintf("max_in_flight = %d\nmemory_limit = %dMB", maxInFlight, memoryLimit),
	})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(running.Close)
	f := &testFleet{Fleet: running}
	running.Config.SetConfig(fmt.Appendf(nil, "[fleet]\nname = ffsan\n[service %s]\nkind = plain\n", workshop))
	f.entry, err = running.StartEntry("entry-1", hall)
	Expect(err).NotTo(HaveOccurred())
	f.agent, err = running.StartAgent("agent-1", hall, harness.AgentSpec{Service: workshop, Plain: &plainservice.Options{Slots: maxInFlight}})
	Expect(err).NotTo(HaveOccurred())
	return f
}

// waitServing waits until the fleet serves requests.
func (f *testFleet) waitServing() {
	GinkgoHelper()
	for _, port := range []port{f.callers(), f.operators(f.entry), f.operators(f.agent)} {
		Eventually(port.serve).Should(Succeed(), "before the crowd")
	}
}

// port is a port of a process that clients can reach.
type port struct {
	process *harness.Process
	addr    netip.AddrPort
	// serve has one ordinary request answered on a new connection.
	serve func() error
}

// requestTimeout bounds one try of an ordinary request.
const requestTimeout = 10 * time.Second

// newClient returns a client that makes a connection for each request.
func newClient() *http.Client {
	return &http.Client{Timeout: requestTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
}

// callers returns the port of the entry for callers.
func (f *testFleet) callers() port {
	client := newClient()
	addr := f.entry.Instance.CallerAddr
	return port{process: f.entry, addr: addr, serve: func() error {
		resp, err := client.Post(fmt.Sprintf("http://%s/v1/services/%s/orders", addr, workshop), "", strings.NewReader("two cones"))
		if err != nil {
			return err
		}
		defer func() { _ = resp.Body.Close() }()
		text, err := io.ReadAll(resp.Body)
		if err != nil {
			return err
		}
		if outcome := resp.Trailer.Get(callerhttp.HeaderOutcome); resp.StatusCode != http.StatusOK || outcome != failure.Ran.String() {
			return failure.Unavailable.New("status %d, outcome %q: %s", resp.StatusCode, outcome, text)
		}
		return nil
	}}
}

// operators returns the port of a process for operators.
func (f *testFleet) operators(p *harness.Process) port {
	client := newClient()
	return port{process: p, addr: p.OpsAddr, serve: func() error {
		resp, err := client.Get("http://" + p.OpsAddr.String() + "/readyz")
		if err != nil {
			return err
		}
		defer func() { _ = resp.Body.Close() }()
		if resp.StatusCode != http.StatusOK {
			return failure.Unavailable.New("status %d", resp.StatusCode)
		}
		return nil
	}}
}
