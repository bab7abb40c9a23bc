package opshttp_test

import (
	"context"
	"io"
	"math"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"

	"github.com/joomcode/errorx"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"chivespindle.example/adapters/opshttp"
	"chivespindle.example/core/failure"
)

var anyPort = netip.MustParseAddrPort("127.0.0.1:0")

// start runs a port until the end of the spec, which checks that it ended without
// an error and leaked no goroutines. It returns the base URL.
func start(opts opshttp.Options) string {
	GinkgoHelper()
	ignore := goleak.IgnoreCurrent()
	opts.Listen = anyPort
	server, err := opshttp.New(opts)
	Expect(err).NotTo(HaveOccurred())
	ended := make(chan error, 1)
	go func() { ended <- server.Run(context.Background()) }()
	DeferCleanup(func() {
		Expect(server.Close()).To(Succeed())
		Expect(server.Close()).To(Succeed())
		Eventually(ended, "10s").Should(Receive(BeNil()))
		http.DefaultClient.CloseIdleConnections()
		Eventually(func() error { return goleak.Find(ignore) }, "5s").Should(Succeed())
	})
	return "http://" + server.Addr().String()
}

// request sends a request and returns the status and body of the response.
func request(method, url string, body io.Reader) (int, string) {
	GinkgoHelper()
	httpRequest, err := http.NewRequest(method, url, body)
	Expect(err).NotTo(HaveOccurred())
	response, err := http.DefaultClient.Do(httpRequest)
	Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	Expect(err).NotTo(HaveOccurred())
	return response.StatusCode, string(content)
}

func respondText(content string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, content)
	})
}

var _ = Describe("Server", func() {
	DescribeTable("responds", func(opts opshttp.Options, method, path string, wantStatus int, wantText string) {
		status, got := request(method, start(opts)+path, nil)
		Expect(status).To(Equal(wantStatus))
		Expect(got).To(ContainSubstring(wantText))
	},
		Entry("that the process is alive", opshttp.Options{}, "GET", "/healthz", 200, "ok\n"),
		Entry("that the process is ready", opshttp.Options{}, "GET", "/readyz", 200, "ready\n"),
		Entry("that the process is ready according to Ready", opshttp.Options{
			Ready: func() (bool, string) { return true, "" },
		}, "GET", "/readyz", 200, "ready\n"),
		Entry("why the process is not ready", opshttp.Options{
			Ready: func() (bool, string) { return false, "no configuration yet" },
		}, "GET", "/readyz", 503, "not ready: no configuration yet\n"),
		Entry("with metrics", opshttp.Options{Metrics: respondText("up 1")}, "GET", "/metrics", 200, "up 1"),
		Entry("with the status", opshttp.Options{
			Status: func() any { return map[string]int{"revision": 7} },
		}, "GET", "/status", 200, "{\n  \"revision\": 7\n}\n"),
		Entry("that the status cannot be encoded", opshttp.Options{
			Status: func() any { return math.NaN() },
		}, "GET", "/status", 500, "the status cannot be encoded"),
		Entry("with 404 for an endpoint without a handler", opshttp.Options{}, "GET", "/status", 404, ""),
		Entry("with 405 for another method", opshttp.Options{Metrics: respondText("")}, "POST", "/metrics", 405, ""),
		Entry("with an index of its endpoints", opshttp.Options{
			Extra: map[string]http.Handler{"GET /swarm": respondText("")},
		}, "GET", "/", 200, "GET /healthz\nGET /readyz\nGET /swarm\n"),
		Entry("from an additional handler", opshttp.Options{
			Extra: map[string]http.Handler{"GET /swarm": respondText("peers")},
		}, "GET", "/swarm", 200, "peers"),
	)

	It("limits the size of a request body", func() {
		failed := make(chan error, 1)
		base := start(opshttp.Options{Extra: map[string]http.Handler{
			"POST /check": http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, err := io.Copy(io.Discard, r.Body)
				failed <- err
				w.WriteHeader(http.StatusRequestEntityTooLarge)
			}),
		}})
		status, _ := request("POST", base+"/check", strings.NewReader(strings.Repeat("x", 1<<20)))
		Expect(status).To(Equal(http.StatusRequestEntityTooLarge))
		var tooLarge *http.MaxBytesError
		Expect(<-failed).To(BeAssignableToTypeOf(tooLarge))
	})

	// Guards against pages of several megabytes that are held for clients which don't read them.
	It("sends a bounded number of pages at a time, and probes besides them", func() {
		const clients = 20
		running := make(chan struct{}, clients)
		end := make(chan struct{})
		release := sync.OnceFunc(func() { close(end) })
		base := start(opshttp.Options{Metrics: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			running <- struct{}{}
			<-end
		})})
		DeferCleanup(release) // before start's, which waits for the handlers
		statuses := make(chan int, clients)
		for range clients {
			go func() {
				defer GinkgoRecover()
				status, _ := request("GET", base+"/metrics", nil)
				statuses <- status
			}()
		}
		const pages = 8
		for range clients - pages {
			Eventually(statuses, "5s").Should(Receive(Equal(http.StatusServiceUnavailable)))
		}
		Eventually(running, "5s").Should(HaveLen(pages)) // admitted, but perhaps not yet at the handler
		status, _ := request("GET", base+"/healthz", nil)
		Expect(status).To(Equal(http.StatusOK))
		release()
		for range pages {
			Eventually(statuses, "5s").Should(Receive(Equal(http.StatusOK)))
		}
	})

	// Guards against pages that are still composed for clients which have disconnected, beyond the bound.
	It("composes a bounded number of pages at a time, also for clients that have disconnected", func() {
		const pages = 8
		disconnects := make(chan func(), 1)
		started := 0
		release := make(chan struct{})
		defer close(release)
		handler, err := opshttp.NewHandler(opshttp.Options{Status: func() any {
			if started++; started <= pages {
				(<-disconnects)()
				<-release
			}
			return nil
		}})
		Expect(err).NotTo(HaveOccurred())
		for range pages {
			ctx, disconnect := context.WithCancel(context.Background())
			defer disconnect()
			disconnects <- disconnect
			handler.ServeHTTP(httptest.NewRecorder(), httptest.NewRequestWithContext(ctx, "GET", "/status", nil))
		}
		response := httptest.NewRecorder()
		handler.ServeHTTP(response, httptest.NewRequest("GET", "/status", nil))
		Expect(response.Code).To(Equal(http.StatusServiceUnavailable))
		Expect(started).To(Equal(pages))
	})

	// A process is stopped while an operator reads a page. The response in progress
	// must be sent completely before Run returns.
	It("completes a response before it stops", func() {
		started, release := make(chan struct{}), make(chan struct{})
		server, err := opshttp.New(opshttp.Options{Listen: anyPort, Metrics: http.HandlerFunc(
			func(w http.ResponseWriter, _ *http.Request) {
				close(started)
				<-release
				_, _ = io.WriteString(w, "whole")
			})})
		Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- server.Run(ctx) }()
		got := make(chan string, 1)
		go func() {
			defer GinkgoRecover()
			_, text := request("GET", "http://"+server.Addr().String()+"/metrics", nil)
			got <- text
		}()
		Eventually(started, "5s").Should(BeClosed())
		cancel()
		Consistently(ended, "50ms").ShouldNot(Receive())
		close(release)
		Eventually(got, "5s").Should(Receive(Equal("whole")))
		Eventually(ended, "5s").Should(Receive(BeNil()))
	})

	It("frees the port if it never ran", func() {
		server, err := opshttp.New(opshttp.Options{Listen: anyPort})
		Expect(err).NotTo(HaveOccurred())
		Expect(server.Close()).To(Succeed())
		again, err := opshttp.New(opshttp.Options{Listen: server.Addr()})
		Expect(err).NotTo(HaveOccurred())
		Expect(again.Run(closedContext())).To(Succeed())
	})

	// Close closes the listener before Run serves, so that Run sees both the stop
	// and the closed listener. In either order, Run must succeed.
	It("ends without an error if it was closed before it ran", func() {
		for range 50 {
			server, err := opshttp.New(opshttp.Options{Listen: anyPort})
			Expect(err).NotTo(HaveOccurred())
			Expect(server.Close()).To(Succeed())
			Expect(server.Run(context.Background())).To(Succeed())
		}
	})

	It("fails if the port is in use", func() {
		server, err := opshttp.New(opshttp.Options{Listen: anyPort})
		Expect(err).NotTo(HaveOccurred())
		defer server.Close()
		_, err = opshttp.New(opshttp.Options{Listen: server.Addr()})
		Expect(errorx.IsOfType(err, failure.Unavailable)).To(BeTrue())
	})

	DescribeTable("rejects a pattern", func(pattern string) {
		_, err := opshttp.New(opshttp.Options{
			Listen: anyPort, Extra: map[string]http.Handler{pattern: respondText("")},
		})
		Expect(errorx.IsOfType(err, failure.Invalid)).To(BeTrue())
		Expect(err.Error()).To(ContainSubstring(pattern))
	},
		Entry("that is already registered", "GET /healthz"),
		Entry("that is invalid", "swarm peers here"),
	)
})

func closedContext() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}
