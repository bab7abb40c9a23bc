package platform_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"time"

	"github.com/joomcode/errorx"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
	"chivespindle.example/standin/platform"
)

// serve sends one request to a handler and returns the response.
func serve(handler http.Handler, method, target string) *httptest.ResponseRecorder {
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, httptest.NewRequest(method, target, nil))
	return recorder
}

func newModel(name string, bytes int64, seed uint64) platform.Model {
	GinkgoHelper()
	model, err := platform.NewModel(platform.ModelSpec{Name: name, Bytes: bytes, ChunkBytes: 1 << 20, Seed: seed})
	Expect(err).NotTo(HaveOccurred())
	return model
}

var _ = DescribeTable("rejects writes to paths of the platform",
	func(method, path string) {
		handlers := []http.Handler{
			platform.NewConfigService(platform.ConfigOptions{}),
			platform.NewInstanceList(platform.InstanceListOptions{}),
			platform.NewWeightServer(platform.WeightOptions{}),
		}
		for _, handler := range handlers {
			code := serve(handler, method, path).Code
			Expect(code).To(Or(Equal(http.StatusMethodNotAllowed), Equal(http.StatusNotFound)))
		}
	},
	Entry("config put", http.MethodPut, "/v1/config"),
	Entry("config post", http.MethodPost, "/v1/config"),
	Entry("instances post", http.MethodPost, "/v1/instances"),
	Entry("weights put", http.MethodPut, "/v1/weights/00"),
	Entry("chunk delete", http.MethodDelete, "/v1/weights/00/chunks/0"),
)

var _ = Describe("ConfigService", func() {
	It("counts all calls and refuses those beyond the rate limit", func() {
		now := time.Unix(0, 0)
		clock := func() time.Time { return now }
		service := platform.NewConfigService(platform.ConfigOptions{CallsPerSecond: 2, Now: clock})
		codes := func() []int {
			var codes []int
			for range 3 {
				codes = append(codes, serve(service, http.MethodGet, "/v1/config").Code)
			}
			return codes
		}
		Expect(codes()).To(Equal([]int{200, 200, 429}))
		now = now.Add(time.Second - 1)
		Expect(codes()).To(Equal([]int{429, 429, 429}))
		Expect(service.CallsLastSecond()).To(Equal(6))
		now = now.Add(1)
		Expect(service.CallsLastSecond()).To(Equal(3))
		Expect(codes()).To(Equal([]int{200, 200, 429}))
		Expect(service.Calls()).To(BeEquivalentTo(9))
		Expect(service.PeakCallsPerSecond()).To(Equal(6))
	})

	DescribeTable("rejects an invalid watch",
		func(query string) {
			service := platform.NewConfigService(platform.ConfigOptions{})
			Expect(serve(service, http.MethodGet, "/v1/config?"+query).Code).To(Equal(http.StatusBadRequest))
		},
		Entry("after is not a number", "after=x&wait=1s"),
		Entry("wait is missing", "after=1"),
		Entry("wait is negative", "after=1&wait=-1s"),
		Entry("wait is too long", "after=1&wait=11m"),
	)

	It("refuses to serve a stale revision that it does not retain", func() {
		service := platform.NewConfigService(platform.ConfigOptions{})
		Expect(errorx.IsOfType(service.SetStale(7), failure.NotFound)).To(BeTrue())
		Expect(service.Revision()).To(BeEquivalentTo(1))
	})

	It("copies the configuration that is set", func() {
		service := platform.NewConfigService(platform.ConfigOptions{})
		text := []byte("good")
		service.SetConfig(text)
		text[0] = 'x'
		Expect(serve(service, http.MethodGet, "/v1/config").Body.String()).To(Equal("good"))
	})
})

var _ = Describe("InstanceList", func() {
	It("shows a change after the lag, also after the lag was shortened", func() {
		now := time.Unix(0, 0)
		clock := func() time.Time { return now }
		list := platform.NewInstanceList(platform.InstanceListOptions{Lag: time.Minute, Now: clock})
		list.Set(fleet.Instance{ID: "a"})
		Expect(list.Visible()).To(BeEmpty())
		now = now.Add(time.Minute)
		Expect(list.Visible()).To(HaveLen(1))

		Expect(list.SetLeaving("a", true)).To(BeTrue())
		Expect(list.Visible()[0].Leaving).To(BeFalse())
		now = now.Add(10 * time.Second)
		list.SetLag(10 * time.Second)
		Expect(list.Visible()[0].Leaving).To(BeTrue())
	})

	It("does not hide visible changes when the lag grows", func() {
		list := platform.NewInstanceList(platform.InstanceListOptions{})
		list.Set(fleet.Instance{ID: "a"})
		list.SetLag(time.Hour)
		Expect(list.Visible()).To(HaveLen(1))
	})

	It("reports that an instance is not in the list", func() {
		list := platform.NewInstanceList(platform.InstanceListOptions{})
		Expect(list.Remove("a")).To(BeFalse())
		Expect(list.SetLeaving("a", true)).To(BeFalse())
	})
})

var _ = Describe("WeightServer", func() {
	It("refuses a number of blobs that differs from the manifest", func() {
		model := newModel("relay", 3<<20, 1)
		_, err := platform.NewWeightServer(platform.WeightOptions{}).Add(model.Manifest, model.Chunks[:2])
		Expect(errorx.IsOfType(err, failure.Invalid)).To(BeTrue())
	})

	// Two transfers share one slow link. They must take turns in small pieces:
	// otherwise the small chunk would arrive only after the complete large
	// chunk.
	It("shares the link between concurrent transfers", func() {
		large := newModel("large", 1<<20, 1)
		small := newModel("small", 32<<10, 2)
		server := platform.NewWeightServer(platform.WeightOptions{BytesPerSecond: 128 << 10})
		for _, model := range []platform.Model{large, small} {
			Expect(server.Add(model.Manifest, model.Chunks)).To(Equal(model.Version.Manifest))
		}
		path := func(model platform.Model) string {
			return "/v1/weights/" + model.Version.Manifest.String() + "/chunks/0"
		}
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			request := httptest.NewRequestWithContext(ctx, http.MethodGet, path(large), nil)
			server.ServeHTTP(httptest.NewRecorder(), request)
		}()
		Eventually(server.BytesSent).Should(BeNumerically(">", 0))

		Expect(serve(server, http.MethodGet, path(small)).Body.Bytes()).To(Equal(small.Chunks[0]))
		Expect(server.ManifestBytesSent(small.Version.Manifest)).To(BeEquivalentTo(32 << 10))
		Expect(ended).NotTo(BeClosed())

		server.SetLinkRate(0)
		cancel()
		Eventually(ended).Should(BeClosed())
		Expect(server.Transfers()).To(BeZero())
	})

	It("applies faults in the order in which they were set", func() {
		model := newModel("relay", 1000, 1)
		server := platform.NewWeightServer(platform.WeightOptions{})
		Expect(server.Add(model.Manifest, model.Chunks)).Error().NotTo(HaveOccurred())
		server.FailNext(platform.FaultTruncate, 2)
		server.FailNext(platform.FaultNone, 1)
		server.FailNext(platform.FaultExtend, 1)
		var sizes []int
		for range 5 {
			path := "/v1/weights/" + model.Version.Manifest.String() + "/chunks/0"
			sizes = append(sizes, serve(server, http.MethodGet, path).Body.Len())
		}
		Expect(sizes).To(Equal([]int{999, 999, 1000, 1001, 1000}))
		Expect(server.BytesSent()).To(BeEquivalentTo(4999))
	})
})

var _ = Describe("NewModel", func() {
	// The digest is pinned so that measurements with a synthetic model can be
	// repeated with the same bytes.
	It("generates the same bytes from the same spec", func() {
		model := newModel("relay", 2<<20+5, 7)
		Expect(model.Manifest.TotalBytes()).To(BeEquivalentTo(2<<20 + 5))
		Expect(model.Version.Manifest.String()).To(Equal(
			"e3a23e36cb3a61fc75aeedefed5eb1ba8f0266070816412cc073294e8c77eb4e"))
		for i, chunk := range model.Manifest.Chunks {
			Expect(chunk.Verify(model.Chunks[i])).To(Succeed())
		}
	})

	It("changes only the given chunks", func() {
		base := newModel("relay", 3<<20, 7)
		next, err := base.Variant("relay-2", 8, 1)
		Expect(err).NotTo(HaveOccurred())
		same := func(i int) bool { return base.Manifest.Chunks[i].Digest == next.Manifest.Chunks[i].Digest }
		Expect([]bool{same(0), same(1), same(2)}).To(Equal([]bool{true, false, true}))
		_, err = base.Variant("relay-3", 8, 3)
		Expect(errorx.IsOfType(err, failure.Invalid)).To(BeTrue())
	})

	DescribeTable("refuses an invalid spec",
		func(spec platform.ModelSpec, reason string) {
			_, err := platform.NewModel(spec)
			Expect(errorx.IsOfType(err, failure.Invalid)).To(BeTrue())
			Expect(err).To(MatchError(ContainSubstring(reason)))
		},
		Entry("without a name", platform.ModelSpec{Bytes: 1, ChunkBytes: 1}, "needs a name"),
		Entry("with size 0", platform.ModelSpec{Name: "a", ChunkBytes: 1}, "model size 0"),
		Entry("too large", platform.ModelSpec{Name: "a", Bytes: 5 << 30, ChunkBytes: 1}, "model size"),
		Entry("without a chunk size", platform.ModelSpec{Name: "a", Bytes: 1}, "chunk size 0"),
		Entry("with too many chunks", platform.ModelSpec{Name: "a", Bytes: 1 << 20, ChunkBytes: 1}, "chunks are more than"),
	)
})

var _ = Describe("Start", func() {
	DescribeTable("refuses an invalid address",
		func(addr string) {
			_, err := platform.Start(http.NotFoundHandler(), addr)
			Expect(errorx.IsOfType(err, failure.Invalid)).To(BeTrue())
		},
		Entry("not a loopback address", "0.0.0.0:0"),
		Entry("a host name", "localhost:0"),
		Entry("without a port", "127.0.0.1"),
	)

	It("fails with Unavailable if the port is in use", func() {
		server, err := platform.Start(http.NotFoundHandler(), platform.AnyPort)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(server.Stop)
		_, err = platform.Start(http.NotFoundHandler(), server.Addr().String())
		Expect(errorx.IsOfType(err, failure.Unavailable)).To(BeTrue())
	})

	// When Stop is called during a watch, the connection must be closed. Stop
	// must not wait for the 30 s of the watch, and the handler must not still
	// run in the next test.
	It("ends waiting handlers on Stop without leaking goroutines", func() {
		before := goleak.IgnoreCurrent()
		service := platform.NewConfigService(platform.ConfigOptions{})
		server, err := platform.Start(service, platform.AnyPort)
		Expect(err).NotTo(HaveOccurred())
		transport := &http.Transport{}
		ended := make(chan error, 1)
		go func() {
			client := http.Client{Transport: transport}
			response, err := client.Get(server.URL() + "/v1/config?after=1&wait=30s")
			if err == nil {
				_, err = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
			}
			ended <- err
		}()
		Eventually(service.WaitingWatches).Should(Equal(1))
		server.Stop()
		Expect(service.WaitingWatches()).To(BeZero())
		Eventually(ended).Should(Receive(HaveOccurred()))
		server.Stop()
		transport.CloseIdleConnections()
		Expect(goleak.Find(before)).To(Succeed())
	})
})
