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

// answering is a service that writes text for each call and closes the connection.
func answering(text string) netip.AddrPort {
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

var _ = DescribeTable("The end of an answer",
	func(ctx SpecContext, text string, whole bool) {
		client := plainservice.New(plainservice.Options{Addr: answering(text)})
		var body []byte
		answer, err := client.Do(ctx, serving.Call{ID: "a1"}, func(p serving.Piece) error {
			body = append(body, p.Data...)
			return nil
		})
		Expect(answer.ID).To(Equal("a1"))
		if whole {
			Expect(err).NotTo(HaveOccurred())
			return
		}
		Expect(errorx.IsOfType(err, failure.Unavailable)).To(BeTrue(), "%v", err)
		Expect(failure.OutcomeOf(err)).To(Equal(failure.Unknown))
	},
	Entry("is seen by its length", "HTTP/1.1 200 OK\r\nRequest-Id: a1\r\nContent-Length: 4\r\n\r\nhalf", true),
	Entry("is seen by its last chunk", "HTTP/1.1 200 OK\r\nRequest-Id: a1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\n\r\n", true),
	Entry("is seen by a status without a body", "HTTP/1.1 204 No Content\r\nRequest-Id: a1\r\n\r\n", true),
	// Guards against the answer of a service that was killed, taken for a whole one.
	Entry("is not seen by the end of the connection", "HTTP/1.1 200 OK\r\nRequest-Id: a1\r\n\r\nhalf", false),
	Entry("is not seen by that of HTTP/1.0", "HTTP/1.0 200 OK\r\nRequest-Id: a1\r\n\r\nhalf", false),
	Entry("is not seen by a part of its length", "HTTP/1.1 200 OK\r\nRequest-Id: a1\r\nContent-Length: 5\r\n\r\nhalf", false),
)
