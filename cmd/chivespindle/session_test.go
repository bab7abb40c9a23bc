package main

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"chivespindle.example/adapters/callerhttp"
	"chivespindle.example/adapters/telemetry"
	"chivespindle.example/core/addressing"
	"chivespindle.example/core/calls"
	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// session is one run of the program with servers that stand in for a fleet.
type session struct {
	args  string // split at blanks; {NAME} is the address of a server
	stdin string
	// servers by name. A name has five letters, because a port has five digits,
	// so that columns keep their width.
	servers map[string]netip.AddrPort
}

// result is the exit code and the output of a session.
type result struct {
	code           int
	stdout, stderr string
}

// run runs the session with a clock that advances by half a second at each
// reading.
func (s session) run(ctx context.Context) result {
	var stdout, stderr bytes.Buffer
	now := time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)
	c := &client{
		stdin: strings.NewReader(s.stdin), stdout: &stdout, stderr: &stderr,
		now: func() time.Time {
			now = now.Add(500 * time.Millisecond)
			return now
		},
		// No session sleeps. A sleep of an hour stands for one that the timeout
		// ends.
		sleep: func(_ context.Context, d time.Duration) bool { return d < time.Hour },
		build: buildInfo{Version: "v1.2.3", Revision: "0f1e2d3c", Modified: true, Go: "go1.26"},
	}
	args := s.args
	for name, addr := range s.servers {
		args = strings.ReplaceAll(args, "{"+name+"}", addr.String())
	}
	code := c.run(ctx, strings.Fields(args))
	return result{code: code, stdout: s.normalize(stdout.String()), stderr: s.normalize(stderr.String())}
}

var requestID = regexp.MustCompile(`[0-9a-f]{8}(-[0-9a-f]{4}){3}-[0-9a-f]{12}`)

// normalize replaces what differs between runs by names.
func (s session) normalize(text string) string {
	for name, addr := range s.servers {
		text = strings.ReplaceAll(text, addr.String(), fmt.Sprintf("127.0.0.1:%05s", name))
	}
	return requestID.ReplaceAllString(text, "REQUEST-ID")
}

// expectGolden compares the transcript of a session with the file of that name.
func (s session) expectGolden(name string) {
	GinkgoHelper()
	r := s.run(context.Background())
	transcript := fmt.Sprintf("$ chivespindle %s\nexit code %d\n--- standard output\n%s--- standard error\n%s",
		s.args, r.code, r.stdout, r.stderr)
	file := filepath.Join("testdata", "golden", name+".txt")
	if *update {
		Expect(os.WriteFile(file, []byte(transcript), 0o644)).To(Succeed())
	}
	want, err := os.ReadFile(file)
	Expect(err).NotTo(HaveOccurred())
	Expect(transcript).To(Equal(string(want)))
}

// listen listens on a port of five digits: see session.servers.
func listen() net.Listener {
	const minPort = 10000
	for {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		if listener.Addr().(*net.TCPAddr).Port >= minPort {
			return listener
		}
		DeferCleanup(listener.Close) // kept open until then, so that the port is not chosen again
	}
}

func start(handler http.Handler) netip.AddrPort {
	server := &httptest.Server{Listener: listen(), Config: &http.Server{Handler: handler}}
	server.Start()
	DeferCleanup(server.Close)
	return netip.MustParseAddrPort(server.Listener.Addr().String())
}

// recordedStatus returns a recorded status. edits are pairs of a text and its
// replacement.
func recordedStatus(name string, edits ...string) []byte {
	page, err := os.ReadFile(filepath.Join("testdata", "status", name+".json"))
	Expect(err).NotTo(HaveOccurred())
	for i := 0; i < len(edits); i += 2 {
		Expect(string(page)).To(ContainSubstring(edits[i]))
		page = bytes.ReplaceAll(page, []byte(edits[i]), []byte(edits[i+1]))
	}
	return page
}

// statusServer responds to /status with the pages in turn, then with the last
// one again.
func statusServer(pages ...[]byte) netip.AddrPort {
	var requests atomic.Int32
	mux := http.NewServeMux()
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) {
		n := int(requests.Add(1))
		_, _ = w.Write(pages[min(n, len(pages))-1])
	})
	return start(mux)
}

// unusedAddr returns an address at which nothing listens.
func unusedAddr() netip.AddrPort {
	listener := listen()
	defer func() { _ = listener.Close() }()
	return netip.MustParseAddrPort(listener.Addr().String())
}

// hangingServer accepts connections and never responds, like a suspended
// process.
func hangingServer() netip.AddrPort {
	hang := make(chan struct{})
	addr := start(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-hang }))
	DeferCleanup(func() { close(hang) })
	return addr
}

// fakeDispatcher is the backend of an entry's callers' interface. The service's
// name decides what it does.
type fakeDispatcher struct{ addr netip.AddrPort }

func newEntry() netip.AddrPort {
	tracer := telemetry.NewTracer("test", nil)
	DeferCleanup(func() { Expect(tracer.Shutdown(context.Background())).To(Succeed()) })
	entry := &fakeDispatcher{}
	server, err := callerhttp.New(callerhttp.Options{
		Listen: netip.MustParseAddrPort("127.0.0.1:0"), Dispatcher: entry, Addresses: entry, Keys: entry,
		MaxBody: 1000, DefaultDeadline: time.Second, Tracer: tracer, Logger: zap.NewNop(), Metrics: tally.NoopScope,
	})
	Expect(err).NotTo(HaveOccurred())
	entry.addr = server.Addr()
	go func() { _ = server.Run() }()
	DeferCleanup(func() { Expect(server.Shutdown(context.Background())).To(Succeed()) })
	return entry.addr
}

func (e *fakeDispatcher) Addresses(near fleet.Place) addressing.Result {
	if near.Zone == "empty-hall" {
		return addressing.Result{TTL: time.Second}
	}
	return addressing.Result{Addresses: []netip.AddrPort{e.addr}, TTL: 10 * time.Second}
}

func (e *fakeDispatcher) IssueKey(service fleet.ServiceName) (string, error) {
	if service == "nothing" {
		return "", failure.WithOutcome(calls.UnknownService.New("no service %q", service), failure.NotRun)
	}
	return "agent-3.1795000000000.1795000012345.5f0c9a", nil
}

func (e *fakeDispatcher) Dispatch(_ context.Context, r calls.Request, sink calls.Sink) (calls.Completion, error) {
	switch r.Service {
	case "full":
		err := failure.WithOutcome(calls.Overloaded.New("9 requests run on this entry"), failure.NotRun)
		return calls.Completion{}, failure.WithRetryAfter(err, 1400*time.Millisecond)
	case "lost":
		return calls.Completion{}, failure.WithOutcome(calls.Interrupted.New("agent-1: it went away"), failure.Unknown)
	case "repeated":
		return calls.Completion{}, failure.WithOutcome(calls.Duplicate.New("key %s was taken before", r.IdempotencyKey), failure.Ran)
	}
	version := fleet.Version{Name: "r3", Manifest: fleet.DigestOf([]byte("r3"))}
	if err := sink.Begin(calls.ResponseHeader{Status: http.StatusOK, Version: version}); err != nil {
		return calls.Completion{}, err
	}
	echo := fmt.Sprintf("%s|%s|%t|%d|%d|%s\n", r.Path, r.Workspace, r.NonIdempotent, r.Priority, len(r.IdempotencyKey), r.Body)
	if err := sink.Piece([]byte(echo)); err != nil {
		return calls.Completion{}, err
	}
	if r.Service == "cut" {
		return calls.Completion{}, failure.WithOutcome(calls.Interrupted.New("agent-1: it went away"), failure.Unknown)
	}
	return calls.Completion{Version: version}, nil
}
