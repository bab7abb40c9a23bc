package exchange_test

import (
	"bytes"
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"

	"github.com/joomcode/errorx"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/adapters/callerclient"
	"chivespindle.example/adapters/engine"
	"chivespindle.example/adapters/exchange"
	"chivespindle.example/adapters/exchange/exchangetest"
	"chivespindle.example/adapters/plainservice"
	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/serving"
)

// upload sends a body to a server and returns the response.
type upload func(addr netip.AddrPort, body []byte) (status int, response []byte, err error)

// uploadByPool sends a body over a new Pool.
func uploadByPool(addr netip.AddrPort, body []byte) (int, []byte, error) {
	return uploadOver(exchange.New(), addr, body)
}

func uploadOver(p *exchange.Pool, addr netip.AddrPort, body []byte) (int, []byte, error) {
	r, err := p.Do(context.Background(), addr, func() *http.Request {
		r := newRequest()
		r.Method, r.Body, r.ContentLength = http.MethodPost, io.NopCloser(bytes.NewReader(body)), int64(len(body))
		return r
	}, waitDeadline())
	if err != nil {
		return 0, nil, err
	}
	defer r.Close(true, 0)
	response, err := io.ReadAll(r.Body)
	if err != nil {
		err = exchange.WrapReadError(err)
	}
	return r.StatusCode, response, err
}

// uploadByTransport sends a body through a new Transport.
func uploadByTransport(addr netip.AddrPort, body []byte) (int, []byte, error) {
	return uploadThrough(newTransportClient(), addr, body)
}

func uploadThrough(client *http.Client, addr netip.AddrPort, body []byte) (int, []byte, error) {
	r, err := client.Post("http://"+addr.String(), "", bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = r.Body.Close() }()
	response, err := io.ReadAll(r.Body)
	return r.StatusCode, response, err
}

// headsWithoutEnd are heads of responses that end with their connection.
var headsWithoutEnd = []string{
	"HTTP/1.1 200 OK\r\n\r\n",
	"HTTP/1.0 200 OK\r\n\r\n",
	"HTTP/1.1 404 Not Found\r\n\r\n",
	"HTTP/1.1 413 Content Too Large\r\nConnection: close\r\n\r\n",
	"HTTP/1.0 503 Service Unavailable\r\n\r\n",
}

// Guards against the part of a response that a reset of its connection has cut off and that is
// taken for a complete one.
var _ = DescribeTable("A response without a length whose connection is reset during the upload is a failure", func(send upload) {
	var complete []string
	for _, reset := range exchangetest.Resets {
		for _, head := range headsWithoutEnd {
			s := exchangetest.ServeReset(head+strings.Repeat("x", 700), reset)
			for _, size := range exchangetest.UploadBytes {
				if _, _, err := send(s.Addr, make([]byte, size)); err == nil {
					complete = append(complete, fmt.Sprintf("%s, %.12s, %d bytes", reset.Name, head, size))
				} else {
					Expect(failure.OutcomeOf(err)).To(Equal(failure.Unknown))
				}
			}
		}
	}
	Expect(complete).To(BeEmpty())
},
	Entry("over a pool", upload(uploadByPool)),
	Entry("through a transport", upload(uploadByTransport)),
)

// Guards against a check of the first response on a connection only, and against a connection that
// is used again.
var _ = It("A response without a length whose reused connection is reset is a failure", func() {
	pool, client := exchange.New(), newTransportClient()
	for _, send := range []upload{
		func(addr netip.AddrPort, body []byte) (int, []byte, error) { return uploadOver(pool, addr, body) },
		func(addr netip.AddrPort, body []byte) (int, []byte, error) {
			return uploadThrough(client, addr, body)
		},
	} {
		for _, reset := range exchangetest.Resets {
			s := exchangetest.ServeThenReset(headsWithoutEnd[0]+"part", reset)
			for _, size := range exchangetest.UploadBytes {
				_, response, err := send(s.Addr, nil)
				Expect(err).NotTo(HaveOccurred())
				Expect(string(response)).To(Equal("hi"))
				before := s.Requests.Load()
				_, _, err = send(s.Addr, make([]byte, size))
				Expect(err).To(HaveOccurred(), "%s, %d bytes", reset.Name, size)
				Expect(s.Requests.Load()).To(Equal(before+1), "on the same connection, and once")
			}
		}
	}
})

// Guards against a wait without an end for a server that does not read.
var _ = It("A response without a length that ends before its request is received is a failure", func() {
	s := exchangetest.ServeReset(headsWithoutEnd[0]+"part", exchangetest.Reset{EndsFirst: true, Delay: waitTimeout})
	for _, upload := range []upload{uploadByPool, uploadByTransport} {
		_, _, err := upload(s.Addr, make([]byte, exchangetest.UploadBytes[0]))
		Expect(errorx.IsOfType(err, exchange.Truncated)).To(BeTrue(), "%v", err)
		Expect(err).To(MatchError(ContainSubstring("before its request was received")))
	}
})

// Guards against a complete response that is rejected since the server sent it early.
var _ = DescribeTable("A response without a length of a server that reads the upload to its end is complete", func(send upload) {
	for _, head := range headsWithoutEnd {
		s := exchangetest.ServeBeforeReading(head + strings.Repeat("x", 700))
		for _, size := range exchangetest.UploadBytes {
			what := fmt.Sprintf("%.12s, %d bytes", head, size)
			status, response, err := send(s.Addr, make([]byte, size))
			Expect(err).NotTo(HaveOccurred(), what)
			Expect(fmt.Sprint(status)).To(Equal(head[9:12]))
			Expect(response).To(HaveLen(700), what)
		}
	}
},
	Entry("over a pool", upload(uploadByPool)),
	Entry("through a transport", upload(uploadByTransport)),
)

// Guards against a reset that is not seen below TLS.
var _ = It("A response without a length whose TLS connection is reset during the upload is a failure", func() {
	server := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		write(c, headsWithoutEnd[0]+"part")
		_ = c.(*tls.Conn).NetConn().(*net.TCPConn).SetLinger(0)
		_ = c.(*tls.Conn).NetConn().Close()
	}))
	DeferCleanup(server.Close)
	client := &http.Client{Transport: exchange.NewTransport(server.Client().Transport.(*http.Transport).Clone())}
	DeferCleanup(client.CloseIdleConnections)
	for range 20 {
		r, err := client.Post(server.URL, "", bytes.NewReader(make([]byte, 3<<20)))
		if err != nil {
			continue
		}
		_, err = io.ReadAll(r.Body)
		_ = r.Body.Close()
		Expect(err).To(HaveOccurred())
	}
})

// Guards against an upload that counts as accepted since a part of its response arrived.
var _ = DescribeTable("A call with a long upload fails if its response is reset", func(call func(context.Context, netip.AddrPort, []byte) error) {
	for _, reset := range exchangetest.Resets {
		s := exchangetest.ServeReset(headsWithoutEnd[0]+"part", reset)
		for _, size := range exchangetest.UploadBytes {
			Expect(call(context.Background(), s.Addr, make([]byte, size))).NotTo(Succeed(), "%s, %d bytes", reset.Name, size)
		}
	}
},
	Entry("that stages a chunk", func(ctx context.Context, addr netip.AddrPort, body []byte) error {
		return engine.New(engine.Options{Addr: addr}).Put(ctx, fleet.Digest{}, 0, body)
	}),
	Entry("of a plain service", func(ctx context.Context, addr netip.AddrPort, body []byte) error {
		_, err := plainservice.New(plainservice.Options{Addr: addr}).Do(ctx, serving.Call{ID: "a", Body: body}, func(serving.Piece) error { return nil })
		return err
	}),
	Entry("of a caller", func(ctx context.Context, addr netip.AddrPort, body []byte) error {
		_, err := callerclient.New(callerclient.Options{}).DoAt(ctx, addr, callerclient.Request{Service: "s", Body: body})
		return err
	}),
)
