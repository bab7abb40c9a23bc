package plainservice_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"

	"github.com/joomcode/errorx"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/adapters/plainservice"
	"chivespindle.example/core/failure"
	"chivespindle.example/core/serving"
)

// respondRaw starts a service that writes text for each call and closes the
// connection.
func respondRaw(text string) netip.AddrPort {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, text)
		_ = conn.Close()
	}))
	DeferCleanup(server.Close)
	return netip.MustParseAddrPort(server.Listener.Addr().String())
}

var _ = DescribeTable("The end of a response",
	func(ctx SpecContext, text string, complete bool) {
		client := plainservice.New(plainservice.Options{Addr: respondRaw(text)})
		var body []byte
		response, err := client.Do(ctx, serving.Call{ID: "a1"}, func(p serving.Piece) error {
			body = append(body, p.Data...)
			return nil
		})
		Expect(response.ID).To(Equal("a1"))
		if complete {
			Expect(err).NotTo(HaveOccurred())
			return
		}
		Expect(errorx.IsOfType(err, failure.Unavailable)).To(BeTrue(), "%v", err)
		Expect(failure.OutcomeOf(err)).To(Equal(failure.Unknown))
	},
	Entry("is marked by its length", "HTTP/1.1 200 OK\r\nRequest-Id: a1\r\nContent-Length: 4\r\n\r\nhalf", true),
	Entry("is marked by its last chunk", "HTTP/1.1 200 OK\r\nRequest-Id: a1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\n\r\n", true),
	Entry("is marked by a status without a body", "HTTP/1.1 204 No Content\r\nRequest-Id: a1\r\n\r\n", true),
	// Guards against a truncated response of a service that was killed, taken for a
	// complete one.
	Entry("is not marked by the end of the connection", "HTTP/1.1 200 OK\r\nRequest-Id: a1\r\n\r\nhalf", false),
	Entry("is not marked by the end of an HTTP/1.0 connection", "HTTP/1.0 200 OK\r\nRequest-Id: a1\r\n\r\nhalf", false),
	Entry("is not marked by a body shorter than its length", "HTTP/1.1 200 OK\r\nRequest-Id: a1\r\nContent-Length: 5\r\n\r\nhalf", false),
)

// Guards against a call that counts as run because its service stopped in the middle of a
// head or body: a shorter length, a missing empty line, a missing last chunk.
var _ = DescribeTable("A response that ends after any of its bytes is no success",
	func(ctx SpecContext, text string) {
		for n := range text {
			client := plainservice.New(plainservice.Options{Addr: respondRaw(text[:n])})
			_, err := client.Do(ctx, serving.Call{ID: "a1"}, func(serving.Piece) error { return nil })
			Expect(errorx.IsOfType(err, failure.Unavailable)).To(BeTrue(), "%q: %v", text[:n], err)
			Expect(failure.OutcomeOf(err)).To(Equal(failure.Unknown))
			_, err = client.Status(ctx)
			Expect(err).To(HaveOccurred(), "%q", text[:n])
		}
	},
	Entry("a length", "HTTP/1.1 200 OK\r\nRequest-Id: a1\r\nContent-Length: 12\r\n\r\nhello, world"),
	Entry("the length last in the head", "HTTP/1.1 200 OK\r\nRequest-Id: a1\r\nX-A: b\r\nContent-Length: 120\r\n\r\n"),
	Entry("chunks", "HTTP/1.1 200 OK\r\nRequest-Id: a1\r\nTransfer-Encoding: chunked\r\n\r\n10\r\nhalf of sixteen.\r\n0\r\n\r\n"),
	Entry("no body", "HTTP/1.1 204 No Content\r\nRequest-Id: a1\r\n\r\n"),
)
