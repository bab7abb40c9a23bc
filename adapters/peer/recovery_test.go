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
				gomega.Expect(ask(p.client, p.server.Addr(), peer.KindRequest, "x")).To(gomega.Equal("x"))
			})
		}
		callers.Wait()
		gomega.Expect(p.count("connections_opened+side=dialled")()).To(gomega.BeEquivalentTo(1))
	})

	ginkgo.It("are made for the others when the first caller gives up", func() {
		p := newPair(echo, nil)
		gone, cancel := context.WithCancel(context.Background())
		cancel()
		_, err := p.client.Open(gone, p.server.Addr(), "", peer.KindRequest)
		expectNotRun(err)
		gomega.Expect(ask(p.client, p.server.Addr(), peer.KindRequest, "x")).To(gomega.Equal("x"))
		gomega.Expect(p.count("connections_opened+side=dialled")()).To(gomega.BeEquivalentTo(1))
	})

	ginkgo.It("fail within the handshake timeout when nobody answers", func() {
		p := newPair(echo, func(_, client *peer.Options) { client.HandshakeTimeout = 100 * time.Millisecond })
		silent := newRelay(p.server.Addr())
		silent.cut.Store(true)
		_, err := p.client.Open(context.Background(), silent.addr(), "", peer.KindRequest)
		expectNotRun(err)
		silent.cut.Store(false)
		gomega.Eventually(func() (string, error) {
			return ask(p.client, silent.addr(), peer.KindRequest, "x")
		}, patience).Should(gomega.Equal("x"))
	})

	// A process stops, and a part of it dials at that moment: the endpoint takes no
	// more work, and does not have the reason yet. The dial gave neither a
	// connection nor a failure, and the process ended by a nil pointer.
	ginkgo.It("are refused from the first moment of a close on", func() {
		p := newPair(echo, nil)
		p.client.RefuseWork()
		_, err := p.client.Open(context.Background(), p.server.Addr(), "", peer.KindRequest)
		expectNotRun(err)
		gomega.Expect(errorx.IsOfType(err, peer.Closed)).To(gomega.BeTrue(), "%v", err)
	})

	ginkgo.It("are closed by the side that dialled once unused, and made anew", func() {
		p := newPair(echo, nil)
		gomega.Expect(ask(p.client, p.server.Addr(), peer.KindRequest, "x")).To(gomega.Equal("x"))
		p.client.Sweep(time.Now())
		gomega.Expect(p.client.Stats().Dialled).To(gomega.Equal(1))
		p.client.Sweep(time.Now().Add(2 * peer.DefaultUnusedTimeout))
		gomega.Eventually(func() int { return p.server.Stats().Accepted }, patience).Should(gomega.BeZero())
		gomega.Expect(ask(p.client, p.server.Addr(), peer.KindRequest, "y")).To(gomega.Equal("y"))
	})

	ginkgo.It("are kept while a stream is open, however long", func() {
		p := newPair(echo, nil)
		s := p.open(peer.KindRequest)
		p.client.Sweep(time.Now().Add(time.Hour))
		gomega.Expect(s.Send(note{Text: "x"})).To(gomega.Succeed())
		gomega.Expect(s.Recv(&note{})).To(gomega.Succeed())
	})

	// A server process crashes and its replacement starts at the same address
	// with the same key file. The client's exchange fails, with an unknown
	// outcome, as soon as the replacement answers the first packet with a
	// stateless reset, long before the idle timeout of an hour. The next one
	// goes over a new connection.
	ginkgo.It("recover from a crash and a restart at the same address", func() {
		p := newPair(hold, func(server, client *peer.Options) {
			server.IdleTimeout, client.IdleTimeout = time.Hour, time.Hour
			client.KeepAlive = 100 * time.Millisecond
		})
		running := p.open(peer.KindRequest)
		gomega.Expect(running.Send(note{})).To(gomega.Succeed())
		gomega.Eventually(p.count("streams_served+kind=request"), patience).Should(gomega.BeEquivalentTo(1))
		p.server.Crash()
		start(peer.Options{Listen: p.server.Addr(), Keys: p.serverKeys, Handler: handlerFunc(echo)})
		err := running.Recv(&note{})
		gomega.Expect(err).To(beOfType(peer.ConnectionLost))
		gomega.Expect(failure.OutcomeOf(err)).To(gomega.Equal(failure.Unknown))
		gomega.Eventually(running.Context().Done(), patience).Should(gomega.BeClosed())
		gomega.Expect(ask(p.client, p.server.Addr(), peer.KindRequest, "x")).To(gomega.Equal("x"))
	})

	ginkgo.It("are found dead by the idle timeout when nothing replaces the peer", func() {
		p := newPair(hold, func(_, client *peer.Options) {
			client.IdleTimeout, client.KeepAlive = 400*time.Millisecond, 100*time.Millisecond
			client.HandshakeTimeout = 100 * time.Millisecond
		})
		running := p.open(peer.KindRequest)
		gomega.Expect(running.Send(note{})).To(gomega.Succeed())
		p.server.Crash()
		gomega.Expect(running.Recv(&note{})).To(beOfType(peer.ConnectionLost))
		_, err := p.client.Open(context.Background(), p.server.Addr(), "", peer.KindRequest)
		expectNotRun(err)
	})

	// An instance is replaced at its address while the client still has the
	// connection to the old one, which died without a word. The client asks for
	// the new one by its id: the old connection is set aside, a new one made.
	ginkgo.It("lead to the instance that is wanted after a replacement", func() {
		p := newPair(echo, func(_, client *peer.Options) { client.IdleTimeout = time.Hour })
		gomega.Expect(ask(p.client, p.server.Addr(), peer.KindRequest, "x")).To(gomega.Equal("x"))
		p.server.Crash()
		start(peer.Options{Listen: p.server.Addr(), Keys: storeOf(p.authority, fleet.RoleAgent, "agent-2"), Handler: handlerFunc(echo)})
		s, err := p.client.Open(context.Background(), p.server.Addr(), "agent-2", peer.KindRequest)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		defer s.Abort()
		gomega.Expect(s.Peer().ID).To(gomega.BeEquivalentTo("agent-2"))
	})

	// A link stalls without closing. The first exchange on it fails at its
	// progress deadline with an unknown outcome. Later ones are not sent into
	// the void as well: they make a new connection, which fails with nothing
	// sent, and as soon as the link works again, they get through.
	ginkgo.It("are set aside after a stall in which nothing arrived", func() {
		p := newPair(echo, func(_, client *peer.Options) { client.HandshakeTimeout = 200 * time.Millisecond })
		link := newRelay(p.server.Addr())
		gomega.Expect(ask(p.client, link.addr(), peer.KindRequest, "x")).To(gomega.Equal("x"))
		link.cut.Store(true)
		s, err := p.client.Open(context.Background(), link.addr(), "", peer.KindRequest)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		s.SetStall(50 * time.Millisecond)
		gomega.Expect(s.Send(note{})).To(gomega.Succeed())
		err = s.Recv(&note{})
		gomega.Expect(err).To(beOfType(failure.Timeout))
		gomega.Expect(failure.OutcomeOf(err)).To(gomega.Equal(failure.Unknown))
		s.Abort()
		_, err = p.client.Open(context.Background(), link.addr(), "", peer.KindRequest)
		expectNotRun(err)
		link.cut.Store(false)
		gomega.Eventually(func() (string, error) {
			return ask(p.client, link.addr(), peer.KindRequest, "y")
		}, patience).Should(gomega.Equal("y"))
	})

	// A planned stop. The exchange that runs gets its whole answer. One that
	// starts now is refused, and its caller knows that nothing was run. Drain
	// returns only after the answer had time to arrive, so that the Close that
	// follows cuts nothing off.
	ginkgo.It("drain before a planned stop", func() {
		entered, answer := make(chan struct{}, 2), make(chan struct{})
		p := newPair(func(_ context.Context, _ keys.Identity, _ peer.Kind, s *peer.Stream) {
			entered <- struct{}{}
			<-answer
			_ = s.SendBytes(make([]byte, peer.MaxRawFrame))
		}, nil)
		running := p.open(peer.KindRequest)
		gomega.Expect(running.Send(note{})).To(gomega.Succeed())
		gomega.Eventually(entered, patience).Should(gomega.Receive())
		late, cancel := context.WithCancel(context.Background())
		cancel()
		gomega.Expect(p.server.Drain(late)).To(beOfType(failure.Timeout))
		_, err := ask(p.client, p.server.Addr(), peer.KindRequest, "x")
		expectNotRun(err)
		got := make(chan []byte, 1)
		go func() {
			data, _ := running.RecvBytes(nil)
			got <- data
		}()
		close(answer)
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		defer cancel()
		gomega.Expect(p.server.Drain(ctx)).To(gomega.Succeed())
		gomega.Expect(p.server.Close()).To(gomega.Succeed())
		gomega.Eventually(got, patience).Should(gomega.Receive(gomega.HaveLen(peer.MaxRawFrame)))
		gomega.Expect(entered).NotTo(gomega.Receive())
	})

	ginkgo.It("and streams end when either side is closed, and Open fails from then on", func() {
		p := newPair(hold, nil)
		s := p.open(peer.KindRequest)
		gomega.Expect(s.Send(note{})).To(gomega.Succeed())
		gomega.Eventually(p.count("streams_served+kind=request"), patience).Should(gomega.BeEquivalentTo(1))
		gomega.Expect(p.server.Close()).To(gomega.Succeed())
		gomega.Expect(s.Recv(&note{})).To(beOfType(peer.ConnectionLost))
		gomega.Expect(p.client.Close()).To(gomega.Succeed())
		_, err := p.client.Open(context.Background(), p.server.Addr(), "", peer.KindRequest)
		gomega.Expect(err).To(beOfType(peer.Closed))
		expectNotRun(err)
	})
})

var _ = ginkgo.Describe("New", func() {
	ginkgo.BeforeEach(checkLeaks)

	ginkgo.It("fails on an address that is in use, and works once it is free", func() {
		p := newPair(echo, nil)
		opts := peer.Options{Listen: p.server.Addr(), Keys: p.serverKeys, Handler: handlerFunc(echo)}
		_, err := peer.New(opts)
		gomega.Expect(err).To(beOfType(peer.AddressInUse))
		gomega.Expect(err).To(gomega.MatchError(gomega.ContainSubstring(p.server.Addr().String())))
		gomega.Expect(p.server.Close()).To(gomega.Succeed())
		start(opts)
	})

	ginkgo.DescribeTable("refuses settings that cannot work", func(change func(*peer.Options), text string) {
		opts := peer.Options{Listen: loopback, Keys: storeOf(newAuthority(), fleet.RoleEntry, "e")}
		change(&opts)
		_, err := peer.New(opts)
		gomega.Expect(err).To(gomega.MatchError(gomega.ContainSubstring(text)))
	},
		ginkgo.Entry("no keys", func(o *peer.Options) { o.Keys = nil }, "Keys must be set"),
		ginkgo.Entry("no address", func(o *peer.Options) { o.Listen = netip.AddrPort{} }, "listen address must be"),
		ginkgo.Entry("slow keep-alive", func(o *peer.Options) { o.KeepAlive = time.Hour }, "keep-alive 1h0m0s must be at most half"),
		ginkgo.Entry("huge messages", func(o *peer.Options) { o.MaxMessage = 1 << 30 }, "message bound"),
	)
})
