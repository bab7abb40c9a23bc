package engine

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/joomcode/errorx"

	"chivespindle.example/core/failure"
	"chivespindle.example/core/serving"
)

// newTestClient returns a client of a server that handles every request with
// handler.
func newTestClient(handler http.HandlerFunc) *Client {
	server := httptest.NewServer(handler)
	DeferCleanup(server.Close)
	return New(Options{Addr: netip.MustParseAddrPort(server.Listener.Addr().String())})
}

func respondWith(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}
}

var _ = Describe("Client", func() {
	DescribeTable("maps responses to control requests to failure types",
		func(ctx SpecContext, status int, body string, do func(context.Context, *Client) error, kind *errorx.Type) {
			err := do(ctx, newTestClient(respondWith(status, body)))
			Expect(errorx.IsOfType(err, kind)).To(BeTrue(), "%v", err)
			Expect(failure.OutcomeOf(err)).To(Equal(failure.Unknown))
		},
		Entry("order with an outdated fencing number", 409, "", order, failure.Refused),
		Entry("order with missing chunks", 422, "", order, failure.NotFound),
		Entry("order, internal error of the engine", 500, "", order, failure.Unavailable),
		Entry("order, rate limited", 429, "", order, failure.RateLimited),
		Entry("order, bad request", 400, "", order, failure.Invalid),
		Entry("order, redirect", 307, "", order, failure.Unavailable),
		Entry("status that is not JSON", 200, "x", status, failure.Corrupt),
		Entry("status with an invalid digest", 200, `{"loaded":{"manifest":"1"}}`, status, failure.Corrupt),
		Entry("chunk that is not staged", 404, "", get, failure.NotFound),
		Entry("manifest that does not match its digest", 422, "", putManifest, failure.Corrupt),
	)

	It("stops at the last line although the engine keeps the response open", func(ctx SpecContext) {
		release := make(chan struct{})
		client := newTestClient(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, join(first, token0, last(1, first)))
			_ = http.NewResponseController(w).Flush()
			<-release
		})
		DeferCleanup(func() { close(release) })
		pieces := 0
		response, err := client.Do(ctx, serving.Call{ID: "a"}, func(serving.Piece) error {
			pieces++
			return nil
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(pieces).To(Equal(3))
		Expect(response).To(Equal(serving.Response{ID: "a", Status: 200, Version: v1}))
	})

	It("times out when the engine stalls", func(ctx SpecContext) {
		release := make(chan struct{})
		client := newTestClient(func(http.ResponseWriter, *http.Request) { <-release })
		DeferCleanup(func() { close(release) })
		client.options.ControlTimeout = 50 * time.Millisecond
		_, err := client.Status(ctx)
		Expect(errorx.IsOfType(err, failure.Timeout)).To(BeTrue(), "%v", err)
	})
})

func order(ctx context.Context, c *Client) error {
	return c.Order(ctx, serving.Order{Fence: 1, Version: v1})
}

func status(ctx context.Context, c *Client) error {
	_, err := c.Status(ctx)
	return err
}

func get(ctx context.Context, c *Client) error {
	_, err := c.Get(ctx, v1.Manifest, 0)
	return err
}

func putManifest(ctx context.Context, c *Client) error {
	return c.PutManifest(ctx, v1.Manifest, []byte("x"))
}
