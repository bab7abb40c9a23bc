package opshttp_test

import (
	"context"
	"io"
	"math"
	"net/http"
	"net/netip"
	"strings"

	"github.com/joomcode/errorx"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"chivespindle.example/adapters/opshttp"
	"chivespindle.example/core/failure"
)

var anyPort = netip.MustParseAddrPort("127.0.0.1:0")

// start runs a port until the end of the spec, which checks that it ended well
// and left nothing behind. It returns the base URL.
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

// ask returns the status and the body of an answer.
func ask(method, url string, body io.Reader) (int, string) {
	GinkgoHelper()
	request, err := http.NewRequest(method, url, body)
	Expect(err).NotTo(HaveOccurred())
	answer, err := http.DefaultClient.Do(request)
	Expect(err).NotTo(HaveOccurred())
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	Expect(err).NotTo(HaveOccurred())
	return answer.StatusCode, string(text)
}

func text(content string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, content)
	})
}

var _ = Describe("Server", func() {
	DescribeTable("answers", func(opts opshttp.Options, method, path string, wantStatus int, wantText string) {
		status, got := ask(method, start(opts)+path, nil)
		Expect(status).To(Equal(wantStatus))
		Expect(got).To(ContainSubstring(wantText))
	},
		Entry("that it lives", opshttp.Options{}, "GET", "/healthz", 200, "ok\n"),
		Entry("that it is ready", opshttp.Options{}, "GET", "/readyz", 200, "ready\n"),
		Entry("that it is ready when asked", opshttp.Options{
			Ready: func() (bool, string) { return true, "" },
		}, "GET", "/readyz", 200, "ready\n"),
		Entry("why it is not", opshttp.Options{
			Ready: func() (bool, string) { return false, "no configuration yet" },
		}, "GET", "/readyz", 503, "not ready: no configuration yet\n"),
		Entry("metrics", opshttp.Options{Metrics: text("up 1")}, "GET", "/metrics", 200, "up 1"),
		Entry("its status", opshttp.Options{
			Status: func() any { return map[string]int{"revision": 7} },
		}, "GET", "/status", 200, "{\n  \"revision\": 7\n}\n"),
		Entry("that a status cannot be shown", opshttp.Options{
			Status: func() any { return math.NaN() },
		}, "GET", "/status", 500, "the status cannot be encoded"),
		Entry("nothing for what it was not given", opshttp.Options{}, "GET", "/status", 404, ""),
		Entry("no other method", opshttp.Options{Metrics: text("")}, "POST", "/metrics", 405, ""),
		Entry("what it has", opshttp.Options{
			Extra: map[string]http.Handler{"GET /swarm": text("")},
		}, "GET", "/", 200, "GET /healthz\nGET /readyz\nGET /swarm\n"),
		Entry("with a further handler", opshttp.Options{
			Extra: map[string]http.Handler{"GET /swarm": text("peers")},
		}, "GET", "/swarm", 200, "peers"),
	)

	It("reads a bounded body", func() {
		failed := make(chan error, 1)
		base := start(opshttp.Options{Extra: map[string]http.Handler{
			"POST /check": http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, err := io.Copy(io.Discard, r.Body)
				failed <- err
				w.WriteHeader(http.StatusRequestEntityTooLarge)
			}),
		}})
		status, _ := ask("POST", base+"/check", strings.NewReader(strings.Repeat("x", 1<<20)))
		Expect(status).To(Equal(http.StatusRequestEntityTooLarge))
		var tooLarge *http.MaxBytesError
		Expect(<-failed).To(BeAssignableToTypeOf(tooLarge))
	})

	// An operator reads a page while the process is told to stop. The answer
	// that has begun must arrive whole; only then does Run return.
	It("lets an answer end before it stops", func() {
		began, goOn := make(chan struct{}), make(chan struct{})
		server, err := opshttp.New(opshttp.Options{Listen: anyPort, Metrics: http.HandlerFunc(
			func(w http.ResponseWriter, _ *http.Request) {
				close(began)
				<-goOn
				_, _ = io.WriteString(w, "whole")
			})})
		Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- server.Run(ctx) }()
		got := make(chan string, 1)
		go func() {
			defer GinkgoRecover()
			_, text := ask("GET", "http://"+server.Addr().String()+"/metrics", nil)
			got <- text
		}()
		Eventually(began, "5s").Should(BeClosed())
		cancel()
		Consistently(ended, "50ms").ShouldNot(Receive())
		close(goOn)
		Eventually(got, "5s").Should(Receive(Equal("whole")))
		Eventually(ended, "5s").Should(Receive(BeNil()))
	})

	It("frees the port when it never ran", func() {
		server, err := opshttp.New(opshttp.Options{Listen: anyPort})
		Expect(err).NotTo(HaveOccurred())
		Expect(server.Close()).To(Succeed())
		again, err := opshttp.New(opshttp.Options{Listen: server.Addr()})
		Expect(err).NotTo(HaveOccurred())
		Expect(again.Run(closedContext())).To(Succeed())
	})

	// Close takes the listener away before Run serves, so that Run meets both
	// its end and the listener's. Whichever it sees first, it was planned.
	It("ends well when it was closed before it ran", func() {
		for range 50 {
			server, err := opshttp.New(opshttp.Options{Listen: anyPort})
			Expect(err).NotTo(HaveOccurred())
			Expect(server.Close()).To(Succeed())
			Expect(server.Run(context.Background())).To(Succeed())
		}
	})

	It("says that the port is taken", func() {
		server, err := opshttp.New(opshttp.Options{Listen: anyPort})
		Expect(err).NotTo(HaveOccurred())
		defer server.Close()
		_, err = opshttp.New(opshttp.Options{Listen: server.Addr()})
		Expect(errorx.IsOfType(err, failure.Unavailable)).To(BeTrue())
	})

	DescribeTable("refuses a pattern", func(pattern string) {
		_, err := opshttp.New(opshttp.Options{
			Listen: anyPort, Extra: map[string]http.Handler{pattern: text("")},
		})
		Expect(errorx.IsOfType(err, failure.Invalid)).To(BeTrue())
		Expect(err.Error()).To(ContainSubstring(pattern))
	},
		Entry("that is taken", "GET /healthz"),
		Entry("that is none", "swarm peers here"),
	)
})

func closedContext() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}
