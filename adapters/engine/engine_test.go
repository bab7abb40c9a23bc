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

// clientOf returns a client of a server that answers everything with handler.
func clientOf(handler http.HandlerFunc) *Client {
	server := httptest.NewServer(handler)
	DeferCleanup(server.Close)
	return New(Options{Addr: netip.MustParseAddrPort(server.Listener.Addr().String())})
}

func answering(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}
}

var _ = Describe("Client", func() {
	DescribeTable("types what an engine answers to control requests",
		func(ctx SpecContext, status int, body string, do func(context.Context, *Client) error, kind *errorx.Type) {
			err := do(ctx, clientOf(answering(status, body)))
			Expect(errorx.IsOfType(err, kind)).To(BeTrue(), "%v", err)
			Expect(failure.OutcomeOf(err)).To(Equal(failure.Unknown))
		},
		Entry("order, old fence", 409, "", order, failure.Refused),
		Entry("order, chunks missing", 422, "", order, failure.NotFound),
		Entry("order, broken engine", 500, "", order, failure.Unavailable),
		Entry("order, asked to wait", 429, "", order, failure.RateLimited),
		Entry("order, not understood", 400, "", order, failure.Invalid),
		Entry("order, redirected", 307, "", order, failure.Unavailable),
		Entry("status, not JSON", 200, "x", status, failure.Corrupt),
		Entry("status, bad digest", 200, `{"loaded":{"manifest":"1"}}`, status, failure.Corrupt),
		Entry("chunk, none", 404, "", get, failure.NotFound),
		Entry("manifest, does not match", 422, "", putManifest, failure.Corrupt),
	)

	It("stops at the last line though the engine keeps the answer open", func(ctx SpecContext) {
		release := make(chan struct{})
		client := clientOf(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, join(first, token0, last(1, first)))
			_ = http.NewResponseController(w).Flush()
			<-release
		})
		DeferCleanup(func() { close(release) })
		pieces := 0
		answer, err := client.Do(ctx, serving.Call{ID: "a"}, func(serving.Piece) error {
			pieces++
			return nil
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(pieces).To(Equal(3))
		Expect(answer).To(Equal(serving.Response{ID: "a", Status: 200, Version: v1}))
	})

	It("gives a stalled engine up", func(ctx SpecContext) {
		release := make(chan struct{})
		client := clientOf(func(http.ResponseWriter, *http.Request) { <-release })
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
