package exchange_test

import (
	"context"
	"crypto/x509"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"

	"github.com/joomcode/errorx"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/adapters/callerclient"
	"chivespindle.example/adapters/engine"
	"chivespindle.example/adapters/exchange"
	"chivespindle.example/adapters/exchange/exchangetest"
	"chivespindle.example/adapters/opsclient"
	"chivespindle.example/adapters/plainservice"
	adapterplatform "chivespindle.example/adapters/platform"
	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/serving"
)

// getAll sends a request through a transport and returns the body of the response.
func getAll(client *http.Client, url string) (string, error) {
	response, err := client.Get(url)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

func newTransportClient() *http.Client {
	client := &http.Client{Transport: exchange.NewTransport(&http.Transport{})}
	DeferCleanup(client.CloseIdleConnections)
	return client
}

var _ = Describe("A server that sends a malformed response", func() {
	// Guards against a malformed response that reaches a client, or of which a part is taken for
	// another response.
	It("has run the request with an unknown outcome, and loses the connection", func() {
		for _, response := range exchangetest.Malformed("", "hi") {
			By(response.Name)
			s := exchangetest.Serve(response)
			_, err := exchange.New().Do(context.Background(), s.Addr, newRequest, waitDeadline())
			Expect(errorx.IsOfType(err, exchange.Malformed)).To(BeTrue(), "%s: %v", response.Name, err)
			Expect(failure.OutcomeOf(err)).To(Equal(failure.Unknown))
			Eventually(s.Closed, waitTimeout).Should(Receive())
		}
	})

	// Guards against a check of the first response on a connection only, and against a request
	// that is sent a second time since its response was malformed.
	It("is detected on a connection that is reused", func() {
		for _, response := range exchangetest.Malformed("", "hi") {
			By(response.Name)
			respond := func(c net.Conn, _ *http.Request, n int) bool {
				if n == 0 {
					write(c, okResponse)
				} else {
					write(c, response.Begin)
				}
				return true
			}
			s, p := serve(respond), exchange.New()
			Expect(roundTrip(p, s)).To(Equal("hi"))
			_, err := roundTrip(p, s)
			Expect(errorx.IsOfType(err, exchange.Malformed)).To(BeTrue(), "%v", err)
			Expect(s.requests.Load()).To(BeEquivalentTo(2))

			s = serve(respond)
			client, url := newTransportClient(), "http://"+s.addr().String()
			Expect(getAll(client, url)).To(Equal("hi"))
			_, err = getAll(client, url)
			Expect(err).To(MatchError(ContainSubstring("malformed_response")))
			Expect(s.connections.Load()).To(BeEquivalentTo(1))
			Expect(s.requests.Load()).To(BeEquivalentTo(2))
		}
	})
})

// Guards against sound responses of unusual servers that are rejected.
var _ = DescribeTable("A sound response is accepted", func(text string) {
	respond := func(c net.Conn, _ *http.Request, n int) bool { write(c, text); return true }
	p, s := exchange.New(), serve(respond)
	client := newTransportClient()
	for range 2 { // the second one on the same connection
		Expect(roundTrip(p, s)).To(Equal("hi"))
		Expect(getAll(client, "http://"+s.addr().String())).To(Equal("hi"))
	}
	Expect(s.connections.Load()).To(BeEquivalentTo(2))
},
	Entry("without a reason phrase", "HTTP/1.1 200\r\nContent-Length: 2\r\n\r\nhi"),
	Entry("with an empty reason phrase", "HTTP/1.1 200 \r\nContent-Length: 2\r\n\r\nhi"),
	Entry("with several spaces before the status code", "HTTP/1.1   200 OK\r\nContent-Length: 2\r\n\r\nhi"),
	Entry("with a long reason phrase", "HTTP/1.1 200 It is as \xe9 good: as it can be, and there is nothing more to say about that\r\nContent-Length: 2\r\n\r\nhi"),
	Entry("with a status code that is not registered", "HTTP/1.1 599 Own\r\nContent-Length: 2\r\n\r\nhi"),
	Entry("with lines that end with a line feed", "HTTP/1.1 200 OK\nContent-Length: 2\n\nhi"),
	Entry("of HTTP/1.0", "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nContent-Length: 2\r\n\r\nhi"),
	Entry("with folded values", "HTTP/1.1 200 OK\r\nX: a\r\n b c: d\r\n\te f\r\nContent-Length:\r\n 2\r\n\r\nhi"),
	Entry("with an empty value", "HTTP/1.1 200 OK\r\nX:\r\nContent-Length: 2\r\n\r\nhi"),
	Entry("with unusual names and values", "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09aZ: \x80\xff : \t\r\ncontent-length:2\r\n\r\nhi"),
	Entry("after interim responses", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"),
	Entry("in chunks, with a trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\nX: 1\r\n\r\n"),
)

// Guards against a check of the encrypted bytes, and against connections without one.
var _ = Describe("A transport to a server with TLS", func() {
	It("checks the heads of responses", func() {
		server := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/sound" {
				_, _ = io.WriteString(w, "hi")
				return
			}
			c, _, err := http.NewResponseController(w).Hijack()
			Expect(err).NotTo(HaveOccurred())
			write(c, "HTTP/1.1 000 Trouble\r\nContent-Length: 2\r\n\r\nhi")
			_ = c.Close()
		}))
		DeferCleanup(server.Close)
		base := server.Client().Transport.(*http.Transport).Clone()
		client := &http.Client{Transport: exchange.NewTransport(base)}
		DeferCleanup(client.CloseIdleConnections)
		Expect(getAll(client, server.URL+"/sound")).To(Equal("hi"))
		_, err := getAll(client, server.URL+"/")
		Expect(err).To(MatchError(ContainSubstring("malformed_response")))

		untrusting := &http.Client{Transport: exchange.NewTransport(&http.Transport{})}
		_, err = getAll(untrusting, server.URL+"/sound")
		var unknown x509.UnknownAuthorityError
		Expect(err).To(MatchError(ContainSubstring(unknown.Error())))
	})
})

// Guards against a call of a process that acts on a malformed response.
var _ = DescribeTable("A malformed response fails a call", exchangetest.ExpectRejected,
	Entry("for a process's status", func(ctx context.Context, addr netip.AddrPort) error {
		_, err := opsclient.New().Status(ctx, addr)
		return err
	}, "", `{"role":"entry"}`),
	Entry("for the entries' addresses", func(ctx context.Context, addr netip.AddrPort) error {
		_, err := callerclient.New(callerclient.Options{Seeds: []netip.AddrPort{addr}}).Addresses(ctx)
		return err
	}, "", `{"addresses":["127.0.0.1:1"],"ttl_seconds":1}`),
	Entry("for a plain service's status", func(ctx context.Context, addr netip.AddrPort) error {
		_, err := plainservice.New(plainservice.Options{Addr: addr}).Status(ctx)
		return err
	}, "", `{}`),
	Entry("of a plain service", func(ctx context.Context, addr netip.AddrPort) error {
		_, err := plainservice.New(plainservice.Options{Addr: addr}).Do(ctx, serving.Call{ID: "a"}, func(serving.Piece) error { return nil })
		return err
	}, "Request-Id: a\r\n", "hi"),
	Entry("for an engine's status", func(ctx context.Context, addr netip.AddrPort) error {
		_, err := engine.New(engine.Options{Addr: addr}).Status(ctx)
		return err
	}, "", `{}`),
	Entry("that orders a load", func(ctx context.Context, addr netip.AddrPort) error {
		return engine.New(engine.Options{Addr: addr}).Order(ctx, serving.Order{Fence: 1})
	}, "", ""),
	Entry("that stages a chunk", func(ctx context.Context, addr netip.AddrPort) error {
		return engine.New(engine.Options{Addr: addr}).Put(ctx, fleet.Digest{}, 0, []byte("chunk"))
	}, "", ""),
	Entry("for the configuration", func(ctx context.Context, addr netip.AddrPort) error {
		source, err := adapterplatform.NewConfigSource(adapterplatform.ConfigOptions{BaseURL: "http://" + addr.String()})
		Expect(err).NotTo(HaveOccurred())
		_, err = source.Read(ctx)
		return err
	}, "Config-Revision: 1\r\n", "text"),
	Entry("for the list of instances", func(ctx context.Context, addr netip.AddrPort) error {
		list, err := adapterplatform.NewInstanceList(adapterplatform.InstanceListOptions{BaseURL: "http://" + addr.String()})
		Expect(err).NotTo(HaveOccurred())
		_, err = list.Instances(ctx)
		return err
	}, "", "[]"),
)
