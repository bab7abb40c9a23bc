package exchange_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"strings"
	"testing/iotest"
	"time"

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
)

var _ = Describe("A server that sends without end", func() {
	// maxAllocated is for a response, with that of the stand-in. A bound without effect takes
	// more than the 24 MiB that the stand-in sends.
	const maxAllocated = 8 << 20

	// fails expects a failure within the bound, and a closed connection.
	fails := func(response exchangetest.Response, want *errorx.Type) {
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		s := exchangetest.Serve(response)
		r, err := exchange.New().Do(context.Background(), s.Addr, newRequest, waitDeadline())
		if err == nil {
			_, err = io.Copy(io.Discard, r.Body)
			err = exchange.WrapReadError(err)
			r.Close(true, 0)
		}
		runtime.ReadMemStats(&after)
		Expect(errorx.IsOfType(err, want)).To(BeTrue(), "%v", err)
		Expect(failure.OutcomeOf(err)).To(Equal(failure.Unknown))
		Expect(after.TotalAlloc - before.TotalAlloc).To(BeNumerically("<", maxAllocated))
		Eventually(s.Closed, waitTimeout).Should(Receive())
	}

	// Guards against a process that ends for want of memory by one server's head.
	It("fails in the head, whatever in it has no end", func() {
		for _, response := range exchangetest.Heads {
			By(response.Name)
			fails(response, exchange.TooLong)
		}
	})

	// Guards against a version of net/http that does not bound what frames a body.
	It("fails in the body, whatever in its framing has no end", func() {
		for _, response := range exchangetest.Frames {
			By(response.Name)
			fails(response, failure.Unavailable)
		}
	})

	// Guards against a process that ends for want of memory by the parsed fields of many heads.
	It("is told from one with as many fields as the bound", func() {
		const interim, end = "HTTP/1.1 103 Early Hints\r\nX: 1\r\n\r\n", "Content-Length: 2\r\n\r\nhi"
		const maxFields = 256
		for _, excess := range []int{-1, 0, 1} {
			fields := strings.Repeat("X: 1\r\n", maxFields-2+excess) // two others are above
			s := serve(func(c net.Conn, _ *http.Request, _ int) bool {
				write(c, interim+"HTTP/1.1 200 OK\r\n"+fields+end)
				return true
			})
			p, client := exchange.New(), newTransportClient()
			for range 2 {
				_, err := roundTrip(p, s)
				Expect(errorx.IsOfType(err, exchange.TooLong)).To(Equal(excess > 0), "%v", err)
				_, err = getAll(client, "http://"+s.addr().String())
				Expect(err != nil).To(Equal(excess > 0), "%v", err)
			}
		}
	})

	// Guards against a bound that also cuts bodies, or heads shorter than it.
	It("is told from one with a head as long as the bound", func() {
		begin, end := "HTTP/1.1 200 OK\r\nX: ", "\r\nContent-Length: 100000\r\n\r\n"
		body := strings.Repeat("b", 100_000)
		for _, excess := range []int{-1, 0, 1} {
			padding := strings.Repeat("x", exchange.MaxHeadBytes-len(begin)-len(end)+excess)
			s := serve(func(c net.Conn, _ *http.Request, _ int) bool { write(c, begin+padding+end+body); return true })
			p := exchange.New()
			for range 2 {
				got, err := roundTrip(p, s)
				Expect(errorx.IsOfType(err, exchange.TooLong)).To(Equal(excess > 0), "%v", err)
				Expect(got == body).To(Equal(excess <= 0))
			}
		}
	})
})

var _ = DescribeTable("BoundedReader", func(text string, tooLong bool) {
	data, err := exchange.ReadAll(iotest.OneByteReader(strings.NewReader(text)), 3, "it")
	Expect(errorx.IsOfType(err, exchange.TooLong)).To(Equal(tooLong))
	Expect(string(data)).To(Equal(text[:min(3, len(text))]))
	data, err = exchange.ReadAll(strings.NewReader(text), 3, "it")
	Expect(errorx.IsOfType(err, exchange.TooLong)).To(Equal(tooLong))
	Expect(string(data)).To(Equal(text[:min(3, len(text))]))
},
	// Guards against a body cut at the bound that looks complete, and one refused that fits.
	Entry("with fewer bytes", "ab", false),
	Entry("with as many bytes as the bound", "abc", false),
	Entry("with one byte more", "abcd", true),
)

// Guards against a process that ends for want of memory, or waits until a deadline, when a
// process or service that it calls sends without end.
var _ = DescribeTable("A response without end is given up by a call", exchangetest.ExpectBounded,
	Entry("for a process's status", func(ctx context.Context, addr netip.AddrPort) error {
		_, err := opsclient.New().Status(ctx, addr)
		return err
	}),
	Entry("for the entries' addresses", func(ctx context.Context, addr netip.AddrPort) error {
		client := callerclient.New(callerclient.Options{Seeds: []netip.AddrPort{addr}, Timeout: time.Minute})
		_, err := client.Addresses(ctx)
		return err
	}),
	Entry("of a caller", func(ctx context.Context, addr netip.AddrPort) error {
		_, err := callerclient.New(callerclient.Options{}).DoAt(ctx, addr, callerclient.Request{Service: "s"})
		return err
	}),
	Entry("for a plain service's status", func(ctx context.Context, addr netip.AddrPort) error {
		_, err := plainservice.New(plainservice.Options{Addr: addr}).Status(ctx)
		return err
	}),
	Entry("for an engine's status", func(ctx context.Context, addr netip.AddrPort) error {
		_, err := engine.New(engine.Options{Addr: addr}).Status(ctx)
		return err
	}),
	Entry("for the configuration", func(ctx context.Context, addr netip.AddrPort) error {
		source, err := adapterplatform.NewConfigSource(adapterplatform.ConfigOptions{BaseURL: "http://" + addr.String()})
		Expect(err).NotTo(HaveOccurred())
		_, err = source.Read(ctx)
		return err
	}),
	Entry("for the list of instances", func(ctx context.Context, addr netip.AddrPort) error {
		list, err := adapterplatform.NewInstanceList(adapterplatform.InstanceListOptions{BaseURL: "http://" + addr.String()})
		Expect(err).NotTo(HaveOccurred())
		_, err = list.Instances(ctx)
		return err
	}),
	Entry("for a manifest", func(ctx context.Context, addr netip.AddrPort) error {
		source, err := adapterplatform.NewWeightSource(adapterplatform.WeightOptions{BaseURL: "http://" + addr.String()})
		Expect(err).NotTo(HaveOccurred())
		_, err = source.Manifest(ctx, fleet.Digest{})
		return err
	}),
)
