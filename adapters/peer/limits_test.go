package peer_test

import (
	"context"
	"crypto/tls"
	"encoding/binary"
	"net"
	"sync"
	"sync/atomic"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/quic-go/quic-go"

	"chivespindle.example/adapters/keys"
	"chivespindle.example/adapters/peer"
	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
	"chivespindle.example/standin/pki"
)

const (
	refusedConnections = "refusals+reason=connection_limit"
	refusedStreams     = "refusals+reason=stream_limit"
	refusedMessages    = "refusals+reason=message_memory"
)

// another starts a further endpoint that may dial the server.
func (p pair) another(id fleet.InstanceID) *peer.Endpoint {
	ginkgo.GinkgoHelper()
	return start(peer.Options{Keys: newStore(p.authority, fleet.RoleEntry, id)})
}

// dialRaw connects without this package, so that the test decides on each byte.
func (p pair) dialRaw() *quic.Conn {
	ginkgo.GinkgoHelper()
	cert := signCertificate(p.authority, pki.Template{Identity: keys.Identity{ID: "raw", Role: fleet.RoleEntry}})
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	conn, err := quic.DialAddr(ctx, p.server.Addr().String(), &tls.Config{
		InsecureSkipVerify: true, NextProtos: []string{keys.Protocol}, Certificates: []tls.Certificate{*cert},
	}, nil)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(func() { _ = conn.CloseWithError(0, "") })
	return conn
}

// deafSocket sends datagrams and drops those that it receives.
type deafSocket struct {
	net.PacketConn
	sent atomic.Int64
}

func (s *deafSocket) WriteTo(p []byte, to net.Addr) (int, error) {
	s.sent.Add(1)
	return s.PacketConn.WriteTo(p, to)
}

func (s *deafSocket) ReadFrom(p []byte) (int, net.Addr, error) {
	for {
		if _, _, err := s.PacketConn.ReadFrom(p); err != nil {
			return 0, nil, err
		}
	}
}

// sendUnfinished opens a stream and sends a message without its last byte.
func sendUnfinished(conn *quic.Conn, length int) *quic.Stream {
	ginkgo.GinkgoHelper()
	s, err := conn.OpenStream()
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	const messageType = 1
	out := binary.BigEndian.AppendUint32([]byte{byte(peer.KindGossip)}, messageType<<24|uint32(length))
	_, _ = s.Write(append(out, make([]byte, length-1)...)) // the peer may refuse it
	return s
}

var _ = ginkgo.Describe("the limits of an endpoint", func() {
	ginkgo.BeforeEach(checkLeaks)

	// Guards against a machine that takes the memory of the endpoint with many connections.
	ginkgo.It("refuse connections of one address above its limit", func() {
		p := newPair(echo, func(server, _ *peer.Options) { server.MaxAcceptedPerAddress = 2 })
		gomega.Expect(roundTrip(p.client, p.server.Addr(), peer.KindGossip, "one")).To(gomega.Equal("one"))
		second := p.another("entry-2")
		gomega.Expect(roundTrip(second, p.server.Addr(), peer.KindGossip, "two")).To(gomega.Equal("two"))
		third := p.another("entry-3")
		_, err := roundTrip(third, p.server.Addr(), peer.KindGossip, "three")
		expectNotRun(err)
		gomega.Expect(p.count(refusedConnections)()).To(gomega.BeNumerically(">=", 1))

		gomega.Expect(second.Close()).To(gomega.Succeed())
		gomega.Eventually(func() string {
			text, _ := roundTrip(third, p.server.Addr(), peer.KindGossip, "three")
			return text
		}, waitTimeout).Should(gomega.Equal("three"))
	})

	// Guards against a client that keeps a peer out by handshakes that it begins in the
	// peer's name: it doesn't get the responses, so it cannot continue them.
	ginkgo.It("leave places of an address to handshakes that prove it", func() {
		const begun = 20
		p := newPair(echo, func(server, _ *peer.Options) { server.MaxAcceptedPerAddress = 8 })
		socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(loopback))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		deaf := &deafSocket{PacketConn: socket}
		transport := &quic.Transport{Conn: deaf}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		var dials sync.WaitGroup
		for range begun {
			dials.Go(func() {
				_, _ = transport.Dial(ctx, net.UDPAddrFromAddrPort(p.server.Addr()), &tls.Config{
					InsecureSkipVerify: true, NextProtos: []string{keys.Protocol},
				}, nil)
			})
		}
		// The first flight has two datagrams, and is repeated.
		gomega.Eventually(deaf.sent.Load, waitTimeout).Should(gomega.BeNumerically(">=", 3*begun))
		gomega.Expect(roundTrip(p.client, p.server.Addr(), peer.KindGossip, "mine")).To(gomega.Equal("mine"))
		cancel()
		dials.Wait()
		_ = transport.Close()
		_ = socket.Close()
	})

	// Guards against many machines that take the memory of the endpoint with connections.
	ginkgo.It("close an unused connection for a new one, and refuse the new one if all are used", func() {
		p := newPair(echo, func(server, _ *peer.Options) { server.MaxAccepted = 1 })
		running := p.open(peer.KindGossip)
		gomega.Expect(running.Send(testMessage{Text: "1"})).To(gomega.Succeed())
		gomega.Expect(running.Recv(&testMessage{})).To(gomega.Succeed())
		other := p.another("entry-2")
		_, err := roundTrip(other, p.server.Addr(), peer.KindGossip, "2")
		gomega.Expect(err).To(beFailureOfType(failure.Unavailable))
		gomega.Expect(p.count(refusedConnections)()).To(gomega.BeEquivalentTo(1))

		running.Abort()
		gomega.Eventually(func() string {
			text, _ := roundTrip(other, p.server.Addr(), peer.KindGossip, "2")
			return text
		}, waitTimeout).Should(gomega.Equal("2"))
		gomega.Eventually(func() int { return p.client.Stats().Dialled }, waitTimeout).Should(gomega.BeZero())
	})

	// Guards against peers that take the memory of the endpoint with streams.
	ginkgo.It("refuse streams above the limit as not run", func() {
		p := newPair(waitForEnd, func(server, _ *peer.Options) { server.MaxServed = 1 })
		running := p.open(peer.KindGossip)
		gomega.Expect(running.Send(testMessage{Text: "1"})).To(gomega.Succeed())
		gomega.Eventually(p.count("streams_served+kind=gossip"), waitTimeout).Should(gomega.BeEquivalentTo(1))
		_, err := roundTrip(p.client, p.server.Addr(), peer.KindGossip, "2")
		gomega.Expect(err).To(beFailureOfType(failure.Refused))
		gomega.Expect(failure.OutcomeOf(err)).To(gomega.Equal(failure.NotRun))
		gomega.Expect(p.count(refusedStreams)()).To(gomega.BeEquivalentTo(1))
	})

	// Guards against peers that take the memory of the endpoint with unfinished messages.
	ginkgo.It("refuse messages above the memory for messages, but not small ones", func() {
		const large = 100 << 10
		p := newPair(echo, func(server, _ *peer.Options) { server.MessageMemory = 3 * large })
		one, other := p.dialRaw(), p.dialRaw()
		held := []*quic.Stream{sendUnfinished(one, large), sendUnfinished(other, large)}
		sendUnfinished(one, large) // more than half of the memory
		gomega.Eventually(p.count(refusedMessages), waitTimeout).Should(gomega.BeEquivalentTo(1))
		gomega.Expect(roundTrip(p.client, p.server.Addr(), peer.KindGossip, "small")).To(gomega.Equal("small"))

		text := string(make([]byte, 2*large))
		_, err := roundTrip(p.client, p.server.Addr(), peer.KindGossip, text)
		gomega.Expect(err).To(gomega.HaveOccurred())
		for _, s := range held {
			s.CancelWrite(0)
		}
		gomega.Eventually(func() error {
			_, err := roundTrip(p.client, p.server.Addr(), peer.KindGossip, text[:large])
			return err
		}, waitTimeout).Should(gomega.Succeed())
	})

	// Guards against a message of a megabyte that decodes to more than a hundred.
	ginkgo.It("refuse a message of many empty items", func() {
		results := make(chan error, 2)
		p := newPair(func(_ context.Context, _ keys.Identity, _ peer.Kind, s *peer.Stream) {
			results <- s.Recv(new([]map[int]int))
		}, nil)
		for _, c := range []struct {
			items   int
			allowed bool
		}{{30_000, true}, {40_000, false}} {
			s := p.open(peer.KindGossip)
			gomega.Expect(s.Send(make([]struct{}, c.items))).To(gomega.Succeed())
			var err error
			gomega.Eventually(results, waitTimeout).Should(gomega.Receive(&err))
			if c.allowed {
				gomega.Expect(err).NotTo(gomega.HaveOccurred())
			} else {
				gomega.Expect(err).To(beFailureOfType(peer.TooLarge))
			}
		}
	})
})
