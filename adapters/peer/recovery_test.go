package peer_test

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/joomcode/errorx"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"chivespindle.example/adapters/keys"
	"chivespindle.example/adapters/peer"
	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
)

var _ = ginkgo.Describe("connections", func() {
	ginkgo.BeforeEach(checkLeaks)

	ginkgo.It("are dialled once for concurrent callers", func() {
		p := newPair(echo, nil)
		var callers sync.WaitGroup
		for range 40 {
			callers.Go(func() {
				defer ginkgo.GinkgoRecover()
				gomega.Expect(roundTrip(p.client, p.server.Addr(), peer.KindRequest, "x")).To(gomega.Equal("x"))
			})
		}
		callers.Wait()
		gomega.Expect(p.count("connections_opened+side=dialled")()).To(gomega.BeEquivalentTo(1))
	})

	ginkgo.It("are dialled for later callers when the first caller gives up", func() {
		p := newPair(echo, nil)
		canceled, cancel := context.WithCancel(context.Background())
		cancel()
		_, err := p.client.Open(canceled, p.server.Addr(), "", peer.KindRequest)
		expectNotRun(err)
		gomega.Expect(roundTrip(p.client, p.server.Addr(), peer.KindRequest, "x")).To(gomega.Equal("x"))
		gomega.Expect(p.count("connections_opened+side=dialled")()).To(gomega.BeEquivalentTo(1))
	})

	ginkgo.It("fail within the handshake timeout when the peer does not respond", func() {
		p := newPair(echo, func(_, client *peer.Options) { client.HandshakeTimeout = 100 * time.Millisecond })
		relayed := newRelay(p.server.Addr())
		relayed.blocked.Store(true)
		_, err := p.client.Open(context.Background(), relayed.addr(), "", peer.KindRequest)
		expectNotRun(err)
		relayed.blocked.Store(false)
		gomega.Eventually(func() (string, error) {
			return roundTrip(p.client, relayed.addr(), peer.KindRequest, "x")
		}, waitTimeout).Should(gomega.Equal("x"))
	})

	// Guards against a nil pointer dereference when a component dials while its
	// process stops: the endpoint accepted no more work but had not set the
	// reason yet, so that the dial returned neither a connection nor an error.
	ginkgo.It("are refused as soon as the endpoint starts to close", func() {
		p := newPair(echo, nil)
		p.client.MarkClosed()
		_, err := p.client.Open(context.Background(), p.server.Addr(), "", peer.KindRequest)
		expectNotRun(err)
		gomega.Expect(errorx.IsOfType(err, peer.Closed)).To(gomega.BeTrue(), "%v", err)
	})

	ginkgo.It("are closed by the dialling side once unused, and dialled again on demand", func() {
		p := newPair(echo, nil)
		gomega.Expect(roundTrip(p.client, p.server.Addr(), peer.KindRequest, "x")).To(gomega.Equal("x"))
		p.client.Sweep(time.Now())
		gomega.Expect(p.client.Stats().Dialled).To(gomega.Equal(1))
		p.client.Sweep(time.Now().Add(2 * peer.DefaultUnusedTimeout))
		gomega.Eventually(func() int { return p.server.Stats().Accepted }, waitTimeout).Should(gomega.BeZero())
		gomega.Expect(roundTrip(p.client, p.server.Addr(), peer.KindRequest, "y")).To(gomega.Equal("y"))
	})

	ginkgo.It("are kept while a stream is open, regardless of its duration", func() {
		p := newPair(echo, nil)
		s := p.open(peer.KindRequest)
		p.client.Sweep(time.Now().Add(time.Hour))
		gomega.Expect(s.Send(testMessage{Text: "x"})).To(gomega.Succeed())
		gomega.Expect(s.Recv(&testMessage{})).To(gomega.Succeed())
	})

	// A server process crashes and its replacement starts at the same address
	// with the same key file. The client's exchange fails, with an unknown
	// outcome, as soon as the replacement responds to the first packet with a
	// stateless reset, long before the idle timeout of an hour. The next
	// exchange uses a new connection.
	ginkgo.It("recover from a crash and a restart at the same address", func() {
		p := newPair(waitForEnd, func(server, client *peer.Options) {
			server.IdleTimeout, client.IdleTimeout = time.Hour, time.Hour
			client.KeepAlive = 100 * time.Millisecond
		})
		running := p.open(peer.KindRequest)
		gomega.Expect(running.Send(testMessage{})).To(gomega.Succeed())
		gomega.Eventually(p.count("streams_served+kind=request"), waitTimeout).Should(gomega.BeEquivalentTo(1))
		p.server.Crash()
		start(peer.Options{Listen: p.server.Addr(), Keys: p.serverKeys, Handler: handlerFunc(echo)})
		err := running.Recv(&testMessage{})
		gomega.Expect(err).To(beFailureOfType(peer.ConnectionLost))
		gomega.Expect(failure.OutcomeOf(err)).To(gomega.Equal(failure.Unknown))
		gomega.Eventually(running.Context().Done(), waitTimeout).Should(gomega.BeClosed())
		gomega.Expect(roundTrip(p.client, p.server.Addr(), peer.KindRequest, "x")).To(gomega.Equal("x"))
	})

	ginkgo.It("are closed by the idle timeout when the peer is not replaced", func() {
		p := newPair(waitForEnd, func(_, client *peer.Options) {
			client.IdleTimeout, client.KeepAlive = 400*time.Millisecond, 100*time.Millisecond
			client.HandshakeTimeout = 100 * time.Millisecond
		})
		running := p.open(peer.KindRequest)
		gomega.Expect(running.Send(testMessage{})).To(gomega.Succeed())
		p.server.Crash()
		gomega.Expect(running.Recv(&testMessage{})).To(beFailureOfType(peer.ConnectionLost))
		_, err := p.client.Open(context.Background(), p.server.Addr(), "", peer.KindRequest)
		expectNotRun(err)
	})

	// An instance is replaced at its address while the client still has the
	// connection to the old one, which crashed without closing it. The client
	// requests the new one by its ID: the old connection is replaced by a new
	// one.
	ginkgo.It("lead to the requested instance after a replacement", func() {
		p := newPair(echo, func(_, client *peer.Options) { client.IdleTimeout = time.Hour })
		gomega.Expect(roundTrip(p.client, p.server.Addr(), peer.KindRequest, "x")).To(gomega.Equal("x"))
		p.server.Crash()
		start(peer.Options{Listen: p.server.Addr(), Keys: newStore(p.authority, fleet.RoleAgent, "agent-2"), Handler: handlerFunc(echo)})
		s, err := p.client.Open(context.Background(), p.server.Addr(), "agent-2", peer.KindRequest)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		defer s.Abort()
		gomega.Expect(s.Peer().ID).To(gomega.BeEquivalentTo("agent-2"))
	})

	// A link stalls without closing. The first exchange on it fails at its
	// stall timeout with an unknown outcome. Later ones must not be sent over
	// the same connection and lost, too: they dial a new connection, which
	// fails with nothing sent, and succeed as soon as the link works again.
	ginkgo.It("are replaced after a stall in which nothing arrived", func() {
		p := newPair(echo, func(_, client *peer.Options) { client.HandshakeTimeout = 200 * time.Millisecond })
		relayed := newRelay(p.server.Addr())
		gomega.Expect(roundTrip(p.client, relayed.addr(), peer.KindRequest, "x")).To(gomega.Equal("x"))
		relayed.blocked.Store(true)
		s, err := p.client.Open(context.Background(), relayed.addr(), "", peer.KindRequest)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		s.SetStallTimeout(50 * time.Millisecond)
		gomega.Expect(s.Send(testMessage{})).To(gomega.Succeed())
		err = s.Recv(&testMessage{})
		gomega.Expect(err).To(beFailureOfType(failure.Timeout))
		gomega.Expect(failure.OutcomeOf(err)).To(gomega.Equal(failure.Unknown))
		s.Abort()
		_, err = p.client.Open(context.Background(), relayed.addr(), "", peer.KindRequest)
		expectNotRun(err)
		relayed.blocked.Store(false)
		gomega.Eventually(func() (string, error) {
			return roundTrip(p.client, relayed.addr(), peer.KindRequest, "y")
		}, waitTimeout).Should(gomega.Equal("y"))
	})

	// During a planned stop, the running exchange receives its complete
	// response. A new one is refused with the outcome NotRun. Drain returns
	// only after the response had time to arrive, so that the following Close
	// truncates nothing.
	ginkgo.It("are drained before a planned stop", func() {
		entered, respond := make(chan struct{}, 2), make(chan struct{})
		p := newPair(func(_ context.Context, _ keys.Identity, _ peer.Kind, s *peer.Stream) {
			entered <- struct{}{}
			<-respond
			_ = s.SendBytes(make([]byte, peer.MaxRawFrame))
		}, nil)
		running := p.open(peer.KindRequest)
		gomega.Expect(running.Send(testMessage{})).To(gomega.Succeed())
		gomega.Eventually(entered, waitTimeout).Should(gomega.Receive())
		expired, cancel := context.WithCancel(context.Background())
		cancel()
		gomega.Expect(p.server.Drain(expired)).To(beFailureOfType(failure.Timeout))
		_, err := roundTrip(p.client, p.server.Addr(), peer.KindRequest, "x")
		expectNotRun(err)
		got := make(chan []byte, 1)
		go func() {
			data, _ := running.RecvBytes(nil)
			got <- data
		}()
		close(respond)
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		defer cancel()
		gomega.Expect(p.server.Drain(ctx)).To(gomega.Succeed())
		gomega.Expect(p.server.Close()).To(gomega.Succeed())
		gomega.Eventually(got, waitTimeout).Should(gomega.Receive(gomega.HaveLen(peer.MaxRawFrame)))
		gomega.Expect(entered).NotTo(gomega.Receive())
	})

	ginkgo.It("and streams end when either side is closed, and Open fails from then on", func() {
		p := newPair(waitForEnd, nil)
		s := p.open(peer.KindRequest)
		gomega.Expect(s.Send(testMessage{})).To(gomega.Succeed())
		gomega.Eventually(p.count("streams_served+kind=request"), waitTimeout).Should(gomega.BeEquivalentTo(1))
		gomega.Expect(p.server.Close()).To(gomega.Succeed())
		gomega.Expect(s.Recv(&testMessage{})).To(beFailureOfType(peer.ConnectionLost))
		gomega.Expect(p.client.Close()).To(gomega.Succeed())
		_, err := p.client.Open(context.Background(), p.server.Addr(), "", peer.KindRequest)
		gomega.Expect(err).To(beFailureOfType(peer.Closed))
		expectNotRun(err)
	})
})

var _ = ginkgo.Describe("New", func() {
	ginkgo.BeforeEach(checkLeaks)

	ginkgo.It("fails on an address that is in use, and works once it is free", func() {
		p := newPair(echo, nil)
		opts := peer.Options{Listen: p.server.Addr(), Keys: p.serverKeys, Handler: handlerFunc(echo)}
		_, err := peer.New(opts)
		gomega.Expect(err).To(beFailureOfType(peer.AddressInUse))
		gomega.Expect(err).To(gomega.MatchError(gomega.ContainSubstring(p.server.Addr().String())))
		gomega.Expect(p.server.Close()).To(gomega.Succeed())
		start(opts)
	})

	ginkgo.DescribeTable("refuses invalid settings", func(change func(*peer.Options), text string) {
		opts := peer.Options{Listen: loopback, Keys: newStore(newAuthority(), fleet.RoleEntry, "e")}
		change(&opts)
		_, err := peer.New(opts)
		gomega.Expect(err).To(gomega.MatchError(gomega.ContainSubstring(text)))
	},
		ginkgo.Entry("no keys", func(o *peer.Options) { o.Keys = nil }, "Keys must be set"),
		ginkgo.Entry("no address", func(o *peer.Options) { o.Listen = netip.AddrPort{} }, "listen address must be"),
		ginkgo.Entry("keep-alive too long", func(o *peer.Options) { o.KeepAlive = time.Hour }, "keep-alive 1h0m0s must be at most half"),
		ginkgo.Entry("message limit too large", func(o *peer.Options) { o.MaxMessage = 1 << 30 }, "message bound"),
	)
})
