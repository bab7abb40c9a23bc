package entry

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"chivespindle.example/adapters/callerhttp"
	"chivespindle.example/adapters/telemetry"
	"chivespindle.example/core/addressing"
	"chivespindle.example/core/balance"
	"chivespindle.example/core/calls"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/fleettext"
	"chivespindle.example/core/gossip"
	"chivespindle.example/core/revision"
	"chivespindle.example/core/serving"
	"chivespindle.example/core/status"
	"chivespindle.example/daemon/node"
)

const explainConfig = `[fleet]
name = demo
[service member-portal]
kind = plain
[service workshop-api]
kind = plain
`

var (
	explainPlace = fleet.Place{Zone: "apapa-hall", Region: "lagos"}
	explainStart = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)
)

// explainSnapshot returns the snapshot of an entry with three servers that report,
// one of which is draining.
func explainSnapshot() *snapshot {
	config, err := fleettext.Load("fleet.ini", []byte(explainConfig))
	Expect(err).NotTo(HaveOccurred())
	var servers []balance.Server
	for _, id := range []fleet.InstanceID{"api-1", "api-2", "api-3"} {
		servers = append(servers, balance.Server{
			ID: id, Place: explainPlace, Service: "workshop-api", Draining: id == "api-2",
			Report: balance.Report{Load: serving.Load{Slots: 4}, Received: explainStart},
		})
	}
	tracker := balance.NewTracker(explainStart, rand.New(rand.NewPCG(1, 2)))
	return &snapshot{
		config:  &revision.State{Revision: 7, Digest: config.Digest(), Fleet: config},
		servers: balance.NewSnapshot(explainPlace, servers, tracker, balance.Settings{}),
	}
}

// explainView contains the three servers, one that sends no reports, one that is
// leaving and one that was never heard from.
func explainView() *gossip.View {
	table := gossip.New(gossip.Options{Self: gossip.Record{ID: "entry-1", Incarnation: 1, Role: fleet.RoleEntry, Place: explainPlace}})
	var records []gossip.Record
	var listed []fleet.Instance
	for _, id := range []fleet.InstanceID{"api-1", "api-2", "api-3", "api-4", "api-5"} {
		records = append(records, gossip.Record{
			ID: id, Incarnation: 1, StateSeq: 1, HeartbeatSeq: 1, Role: fleet.RoleAgent, Service: "workshop-api",
			Place: explainPlace, State: gossip.StateServing, Leaving: id == "api-5",
		})
	}
	for _, id := range []fleet.InstanceID{"api-6"} {
		listed = append(listed, fleet.Instance{ID: id, Role: fleet.RoleAgent, Service: "workshop-api", Place: explainPlace})
	}
	table.SetListed(explainStart, listed)
	table.Merge(explainStart, "api-1", records)
	return table.View(explainStart)
}

func explainVerdicts(e status.Explanation) map[fleet.InstanceID]string {
	found := make(map[fleet.InstanceID]string)
	for _, c := range e.Candidates {
		found[c.ID] = string(c.Verdict)
	}
	for _, u := range e.Unknown {
		found[u.ID] = u.Reason
	}
	return found
}

var _ = ginkgo.Describe("Explain", func() {
	ginkgo.It("returns for every replica whether it may be picked, and why not", func() {
		query := explainQuery{service: "workshop-api", priority: 3}
		e, err := explain(explainStart.Add(time.Second), "entry-1", explainSnapshot(), explainView(), query)
		Expect(err).NotTo(HaveOccurred())
		Expect(explainVerdicts(e)).To(Equal(map[fleet.InstanceID]string{
			"api-1": "eligible",
			"api-2": "draining",
			"api-3": "eligible",
			"api-4": "its agent sends no load report",
			"api-5": "it leaves",
			"api-6": "its agent is silent",
		}))
		Expect(e.Revision).To(BeEquivalentTo(7))
		Expect(e.Candidates[0].Tier).To(Equal("zone"))
		Expect(e.Candidates[0].ReportAgeMS).To(BeEquivalentTo(1000))
	})

	// The explanation must hash a prefix as the callers' interface does. Otherwise
	// it would name a server that no request with the prefix prefers.
	ginkgo.It("hashes a prefix as the callers' interface does", func() {
		requests := make(chan calls.Request, 1)
		tracer := telemetry.NewTracer("test", nil)
		ginkgo.DeferCleanup(func() { Expect(tracer.Shutdown(context.Background())).To(Succeed()) })
		server, err := callerhttp.New(callerhttp.Options{
			Listen: netip.MustParseAddrPort("127.0.0.1:0"), Dispatcher: requestRecorder(requests), Addresses: noAddresses{},
			MaxBody: 100, DefaultDeadline: time.Second, Tracer: tracer, Logger: zap.NewNop(), Metrics: tally.NoopScope,
		})
		Expect(err).NotTo(HaveOccurred())
		go func() { _ = server.Run() }()
		ginkgo.DeferCleanup(func() { Expect(server.Shutdown(context.Background())).To(Succeed()) })
		for _, prefix := range []string{"", "fault-log", "korjausohje ä"} {
			target := "http://" + server.Addr().String() + "/v1/services/workshop-api"
			request, err := http.NewRequest(http.MethodPost, target, strings.NewReader("{}"))
			Expect(err).NotTo(HaveOccurred())
			request.Header.Set(callerhttp.HeaderPrefix, prefix)
			response, err := http.DefaultClient.Do(request)
			Expect(err).NotTo(HaveOccurred())
			Expect(response.Body.Close()).To(Succeed())
			Expect((<-requests).PrefixKey).To(Equal(prefixKey(prefix)), prefix)
		}
		http.DefaultClient.CloseIdleConnections()
	})

	ginkgo.DescribeTable("responds over HTTP",
		func(ready bool, query string, status int, part string) {
			e := New(context.Background(), explainStart, Options{Self: fleet.Instance{ID: "entry-1"}, Metrics: tally.NoopScope})
			e.Attach(node.New(context.Background(), explainStart, node.Options{Self: gossip.Record{ID: "entry-1", Incarnation: 1}}))
			if ready {
				e.snapshot.Store(explainSnapshot())
			}
			response := httptest.NewRecorder()
			e.ExplainHandler().ServeHTTP(response, httptest.NewRequest(http.MethodGet, "/explain?"+query, nil))
			Expect(response.Code).To(Equal(status))
			Expect(json.Valid(response.Body.Bytes())).To(BeTrue())
			Expect(response.Body.String()).To(ContainSubstring(part))
		},
		ginkgo.Entry("candidates", true, "service=workshop-api&prefix=p&priority=0", http.StatusOK, `"verdict": "eligible"`),
		ginkgo.Entry("a service without servers", true, "service=member-portal", http.StatusOK, `"candidates": []`),
		ginkgo.Entry("no service", true, "", http.StatusBadRequest, "service is required"),
		ginkgo.Entry("an unknown service", true, "service=nothing", http.StatusNotFound, `no service \"nothing\" in revision 7`),
		ginkgo.Entry("a priority that is not a number", true, "service=workshop-api&priority=high", http.StatusBadRequest, "priority must be 0 to 7"),
		ginkgo.Entry("a priority out of range", true, "service=workshop-api&priority=8", http.StatusBadRequest, "priority must be 0 to 7"),
		ginkgo.Entry("no active configuration", false, "service=workshop-api", http.StatusServiceUnavailable, "chivespindle.not_ready"),
	)
})

// requestRecorder is a dispatcher that forwards the requests it receives to a
// channel.
type requestRecorder chan<- calls.Request

func (r requestRecorder) Dispatch(_ context.Context, request calls.Request, sink calls.Sink) (calls.Completion, error) {
	r <- request
	return calls.Completion{}, sink.Begin(calls.ResponseHeader{Status: http.StatusOK})
}

type noAddresses struct{}

func (noAddresses) Addresses(fleet.Place) addressing.Result { return addressing.Result{} }
