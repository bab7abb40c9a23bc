package crowd_test

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/standin/crowd"
)

const (
	eventuallyTimeout = 10 * time.Second
	request           = "GET / HTTP/1.1\r\nHost: x\r\n\r\n"
)

// listen accepts connections and passes them to f.
func listen(f func(c net.Conn)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(l.Close)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			f(c)
		}
	}()
	return l.Addr().String()
}

var _ = Describe("A crowd", func() {
	start := func(c *crowd.Crowd) {
		Expect(c.Start()).To(Succeed())
		DeferCleanup(c.Stop)
		Eventually(c.Settled, eventuallyTimeout).Should(BeTrue())
	}

	It("holds its connections until it is stopped", func() {
		var held atomic.Int64
		addr := listen(func(c net.Conn) {
			held.Add(1)
			go func() { _, _ = c.Read(make([]byte, 1)); held.Add(-1); _ = c.Close() }()
		})
		c := &crowd.Crowd{Addr: addr, Connections: 5}
		start(c)
		Eventually(held.Load, eventuallyTimeout).Should(BeEquivalentTo(5))
		Expect(c.Counts()).To(Equal(crowd.Counts{Opened: 5, Connected: 5}))
		c.Stop()
		Eventually(held.Load, eventuallyTimeout).Should(BeZero())
		Expect(c.Counts()).To(Equal(crowd.Counts{Opened: 5}))
	})

	DescribeTable("opens a closed connection again a bounded number of times",
		func(readsNothing bool) {
			var accepted atomic.Int64
			addr := listen(func(c net.Conn) { accepted.Add(1); _, _ = c.Write([]byte("x")); _ = c.Close() })
			c := &crowd.Crowd{Addr: addr, Connections: 3, Reopen: 2, ReadsNothing: readsNothing}
			start(c)
			Eventually(c.Counts, eventuallyTimeout).Should(Equal(crowd.Counts{Opened: 9, Closed: 9}))
			Expect(accepted.Load()).To(BeEquivalentTo(9))
		},
		Entry("by a client that reads", false),
		Entry("by a client that reads nothing", true),
	)

	It("counts a client as settled whose bytes are not read", func() {
		c := &crowd.Crowd{Addr: listen(func(net.Conn) {}), Connections: 2,
			Speak: func(c *crowd.Conn) error { return c.Repeat("x", 64<<20) }}
		start(c)
		Expect(c.Counts().Connected).To(Equal(2))
		Expect(c.Counts().Written).To(BeNumerically("<", 2*64<<20))
	})

	It("sends single bytes until the server closes the connection", func() {
		addr := listen(func(c net.Conn) {
			go func() { _, _ = io.ReadFull(c, make([]byte, 3)); _ = c.Close() }()
		})
		c := &crowd.Crowd{Addr: addr, Connections: 2, Speak: func(c *crowd.Conn) error {
			return c.Trickle("x", time.Millisecond)
		}}
		start(c)
		Eventually(func() int64 { return c.Counts().Closed }, eventuallyTimeout).Should(BeEquivalentTo(2))
		Expect(c.Counts().Written).To(BeNumerically(">=", 2*3))
	})

	It("exchanges requests and responses on kept connections", func() {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusTeapot) }))
		DeferCleanup(server.Close)
		var statuses atomic.Int64
		c := &crowd.Crowd{Addr: strings.TrimPrefix(server.URL, "http://"), Connections: 2, Speak: func(c *crowd.Conn) error {
			for range 3 {
				status, err := c.Exchange(request)
				if err != nil {
					return err
				}
				statuses.Add(int64(status))
			}
			return nil
		}}
		start(c)
		Expect(statuses.Load()).To(BeEquivalentTo(6 * http.StatusTeapot))
		Expect(c.Counts()).To(Equal(crowd.Counts{Opened: 2, Connected: 2, Written: 6 * int64(len(request))}))
	})

	It("refuses to be larger than its bounds", func() {
		Expect((&crowd.Crowd{Connections: crowd.MaxConnections + 1}).Start()).NotTo(Succeed())
		Expect((&crowd.Crowd{Reopen: crowd.MaxReopen + 1}).Start()).NotTo(Succeed())
	})
})
