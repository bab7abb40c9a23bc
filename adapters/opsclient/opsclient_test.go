package opsclient_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/joomcode/errorx"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/adapters/opsclient"
	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/gossip"
	"chivespindle.example/core/status"
)

func serve(handler http.HandlerFunc) netip.AddrPort {
	server := httptest.NewServer(handler)
	DeferCleanup(server.Close)
	return netip.MustParseAddrPort(server.Listener.Addr().String())
}

// recorded responds with a recorded status of a process of the fleet.
func recorded(file string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		page, err := os.ReadFile(filepath.Join("testdata", file))
		if err != nil {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		_, _ = w.Write(page)
	}
}

func respondWith(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}
}

func newClient() *opsclient.Client {
	client := opsclient.New()
	DeferCleanup(client.Close)
	return client
}

var _ = Describe("Client", func() {
	It("reads the status of an entry", func(ctx SpecContext) {
		s, err := newClient().Entry(ctx, serve(recorded("entry.json")))
		Expect(err).NotTo(HaveOccurred())
		Expect(s.ID).To(BeEquivalentTo("entry-1"))
		Expect(s.Revision).To(BeEquivalentTo(6))
		Expect(s.Config.Name).To(Equal("demo"))
		Expect(s.Config.PlatformRevision).To(BeEquivalentTo(6))
		pool := s.Services[0]
		Expect(pool.Target.String()).To(Equal("r3@104fdf5385db"))
		Expect([]int{pool.Replicas, pool.Serving, pool.Leaving, pool.Silent}).To(Equal([]int{4, 3, 0, 1}))
		Expect(s.Fleet).To(HaveLen(10))
		Expect(s.Fleet[4]).To(Equal(status.Member{
			ID: "spindle-pool-3", Role: fleet.RoleAgent, Service: "spindle-pool",
			Place: fleet.Place{Zone: "apapa-hall", Region: "lagos"}, State: gossip.StateServing,
			Serving: pool.Target, Revision: 6, Leaving: true, Silent: true,
		}))
	})

	It("reads the status of an agent", func(ctx SpecContext) {
		result, err := newClient().Status(ctx, serve(recorded("agent.json")))
		Expect(err).NotTo(HaveOccurred())
		s, isAgent := result.(*status.Agent)
		Expect(isAgent).To(BeTrue())
		Expect(s.ProcessID()).To(BeEquivalentTo("spindle-pool-1"))
		Expect(s.Phase).To(Equal("fetching"))
		Expect(s.Load.Slots).To(Equal(8))
		Expect(s.Fetched.PeerBytes).To(BeEquivalentTo(62390272))
		Expect(s.Fetches).To(HaveLen(2))
		Expect(s.Fetches[1].Plan.Have).To(Equal(39))
	})

	It("requests an explanation with the given parameters only", func(ctx SpecContext) {
		seen := make(chan string, 2)
		addr := serve(func(w http.ResponseWriter, r *http.Request) {
			seen <- r.URL.String()
			_, _ = io.WriteString(w, `{"entry":"entry-1","candidates":[{"id":"api-1","verdict":"eligible"}]}`)
		})
		e, err := newClient().Explain(ctx, addr, opsclient.ExplainRequest{Service: "workshop-api", Prefix: "a b", Priority: 0})
		Expect(err).NotTo(HaveOccurred())
		Expect(e.Candidates).To(HaveLen(1))
		Expect(<-seen).To(Equal("/explain?prefix=a+b&priority=0&service=workshop-api"))
		_, err = newClient().Explain(ctx, addr, opsclient.ExplainRequest{Service: "workshop-api", Priority: -1})
		Expect(err).NotTo(HaveOccurred())
		Expect(<-seen).To(Equal("/explain?service=workshop-api"))
	})

	DescribeTable("distinguishes failures",
		func(ctx SpecContext, handler http.HandlerFunc, kind *errorx.Type, part string) {
			_, err := newClient().Entry(ctx, serve(handler))
			Expect(errorx.IsOfType(err, kind)).To(BeTrue(), "%v", err)
			Expect(err.Error()).To(ContainSubstring(part))
		},
		Entry("an agent", recorded("agent.json"), opsclient.WrongRole, "is agent spindle-pool-1"),
		Entry("not JSON", respondWith(http.StatusOK, "<html>"), failure.Corrupt, "answer of 127.0.0.1:"),
		Entry("truncated JSON", respondWith(http.StatusOK, `{"role":"entry","id":"en`), failure.Corrupt, "unexpected EOF"),
		Entry("a field of another type", respondWith(http.StatusOK, `{"role":"entry","revision":"six"}`), failure.Corrupt, "revision"),
		Entry("another role", respondWith(http.StatusOK, `{"role":"operator"}`), failure.Corrupt, `role "operator"`),
		Entry("unknown path", respondWith(http.StatusNotFound, "404 page not found\n"), failure.NotFound, `status 404: "404 page not found"`),
		Entry("a reason", respondWith(http.StatusServiceUnavailable, `{"error":"x","reason":"no text is in force yet"}`),
			failure.Unavailable, ": no text is in force yet"),
		Entry("a redirect", respondWith(http.StatusFound, ""), failure.Refused, "status 302"),
		Entry("a response that is too large", respondWith(http.StatusOK, strings.Repeat(" ", 32<<20+1)), failure.Corrupt, "larger than"),
	)

	It("fails if nothing listens", func(ctx SpecContext) {
		server := httptest.NewServer(http.NotFoundHandler())
		addr := netip.MustParseAddrPort(server.Listener.Addr().String())
		server.Close()
		_, err := newClient().Status(ctx, addr)
		Expect(errorx.IsOfType(err, failure.Unavailable)).To(BeTrue(), "%v", err)
		Expect(err.Error()).To(ContainSubstring("connection refused"))
	})

	// A process hangs: it accepts the connection, or sends a part of its response,
	// and nothing follows. The call must end when the caller's context expires.
	DescribeTable("times out on a process that hangs",
		func(started bool) {
			hang := make(chan struct{})
			addr := serve(func(w http.ResponseWriter, _ *http.Request) {
				if started {
					_, _ = io.WriteString(w, `{"role":"entry",`)
					_ = http.NewResponseController(w).Flush()
				}
				<-hang
			})
			DeferCleanup(func() { close(hang) })
			ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
			defer cancel()
			_, err := newClient().Status(ctx, addr)
			Expect(errorx.IsOfType(err, failure.Timeout)).To(BeTrue(), "%v", err)
		},
		Entry("before its response", false),
		Entry("inside its response", true),
	)
})
