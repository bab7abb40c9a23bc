package exchange_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/adapters/exchange"
	"chivespindle.example/core/failure"
)

// serveEarly starts a server that responds to the head of each request and closes the
// connection without reading the rest.
func serveEarly(response string) netip.AddrPort {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = io.ReadFull(c, make([]byte, 16))
			write(c, response)
			_ = c.Close()
		}
	}()
	return netip.MustParseAddrPort(listener.Addr().String())
}

// sendLarge sends a request with a body that does not fit into the buffers of a connection.
func sendLarge(p *exchange.Pool, addr netip.AddrPort) (*exchange.Response, error) {
	body := make([]byte, 32<<20)
	return p.Do(context.Background(), addr, func() *http.Request {
		r := newRequest()
		r.Method, r.Body, r.ContentLength = http.MethodPost, io.NopCloser(bytes.NewReader(body)), int64(len(body))
		return r
	}, waitDeadline())
}

// Guards against a server that counts as failed since it rejects a request that it has not read
// to its end.
var _ = DescribeTable("The response of a server that closes the connection before it has read the body", func(status string, code int) {
	p := exchange.New()
	addr := serveEarly("HTTP/1.1 " + status + "\r\nContent-Length: 2\r\nDetail: 1\r\n\r\nno")
	for dialled := range 2 {
		r, err := sendLarge(p, addr)
		Expect(err).NotTo(HaveOccurred())
		Expect(r.StatusCode).To(Equal(code))
		Expect(r.Header.Get("Detail")).To(Equal("1"))
		Expect(io.ReadAll(r.Body)).To(Equal([]byte("no")))
		r.Close(true, 0)
		Expect(p.Dialled()).To(Equal(int64(dialled+1)), "the connection is not reused")
	}
},
	Entry("too large", "413 Content Too Large", 413),
	Entry("full", "503 Service Unavailable", 503),
)

var _ = DescribeTable("No response is taken from a server that closes the connection before it has read the body", func(response string) {
	_, err := sendLarge(exchange.New(), serveEarly(response))
	Expect(err).To(HaveOccurred())
	Expect(failure.OutcomeOf(err)).To(Equal(failure.Unknown))
},
	Entry("none", ""),
	Entry("a success", okResponse),
	Entry("a truncated head", "HTTP/1.1 413 Content Too Large\r\nContent-Le"),
)
