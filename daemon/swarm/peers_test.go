package swarm_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/adapters/peer"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/spread"
	"chivespindle.example/daemon/internal/daemontest"
	"chivespindle.example/daemon/wire"
)

var _ = Describe("Peers", func() {
	// Three agents want the same version. Each chunk is fetched from the origin
	// about once, and the agents copy it from each other.
	It("copy chunks from each other instead of each fetching them from the origin", func() {
		m := newModel("r1", 12)
		from := sources{origin: daemontest.NewSource(m)}
		var all []*testAgent
		var members []spread.Member
		for _, id := range []fleet.InstanceID{"agent-1", "agent-2", "agent-3"} {
			a := start(id, daemontest.NewStage(), from)
			all = append(all, a)
			members = append(members, a.member())
		}
		for _, a := range all {
			a.fetch(m, members)
		}
		for _, a := range all {
			a.expectComplete(m)
		}
		Expect(len(from.origin.Fetches())).To(BeNumerically("<", 2*12), "chunks fetched from the origin by three agents")
		Expect(all[0].fetchedBytes().PeerBytes).To(BeNumerically(">", 0))
	})

	// A neighbour reports that it holds all chunks but does not serve them
	// correctly. The agent detects this by the digest or by the stall timeout,
	// avoids the neighbour and fetches the chunk elsewhere. No corrupt byte is
	// staged.
	//
	// Without the digest check, the version becomes complete with corrupt bytes.
	// Without the stall timeout, it never becomes complete.
	DescribeTable("that do not serve the chunks that they report are avoided",
		func(serveChunk func(m daemontest.Model) func(context.Context, *peer.Stream, int)) {
			m := newModel("r1", 6)
			bad := newFakePeer("agent-0", m, serveChunk(m))
			a := start("agent-1", daemontest.NewStage(), sources{origin: daemontest.NewSource(m)})
			a.fetch(m, []spread.Member{bad.member()})
			a.expectComplete(m)
			Expect(bad.requests()).To(BeNumerically(">", 0))
			Expect(a.stage.Puts()).To(Equal(6))
		},
		Entry("corrupt bytes", func(m daemontest.Model) func(context.Context, *peer.Stream, int) {
			return func(_ context.Context, s *peer.Stream, index int) {
				wrong := append([]byte(nil), m.Chunks[index]...)
				wrong[len(wrong)-1]++
				sendChunk(s, wrong)
			}
		}),
		Entry("more bytes than the chunk has", func(m daemontest.Model) func(context.Context, *peer.Stream, int) {
			return func(_ context.Context, s *peer.Stream, index int) {
				sendChunk(s, append(append([]byte(nil), m.Chunks[index]...), 0))
			}
		}),
		Entry("stall after a few bytes", func(m daemontest.Model) func(context.Context, *peer.Stream, int) {
			return func(ctx context.Context, s *peer.Stream, index int) {
				_ = s.Send(wire.ChunkHeader{Status: wire.ChunkFollows, Bytes: len(m.Chunks[index])})
				_ = s.SendBytes(m.Chunks[index][:10])
				<-ctx.Done()
			}
		}),
		Entry("stream closed after a few bytes", func(m daemontest.Model) func(context.Context, *peer.Stream, int) {
			return func(_ context.Context, s *peer.Stream, index int) {
				_ = s.Send(wire.ChunkHeader{Status: wire.ChunkFollows, Bytes: len(m.Chunks[index])})
				_ = s.SendBytes(m.Chunks[index][:10])
				_ = s.CloseSend()
			}
		}),
		Entry("chunk reported but missing", func(daemontest.Model) func(context.Context, *peer.Stream, int) {
			return func(_ context.Context, s *peer.Stream, _ int) {
				_ = s.Send(wire.ChunkHeader{Status: wire.ChunkMissing})
				_ = s.CloseSend()
			}
		}),
	)

	// A neighbour accepts an exchange and sends nothing because its control loop
	// is blocked. The agent ends the exchange after the stall timeout and
	// retries later, with at most one stream open at a time.
	//
	// Guards against a new stream and goroutine every 0.3 s in addition to those
	// that still wait.
	It("that never respond to an exchange hold one stream at a time", func() {
		m := newModel("r1", 4)
		silent := newFakePeer("agent-0", m, nil)
		silent.silent = true
		a := start("agent-1", daemontest.NewStage(), sources{origin: daemontest.NewSource(m)})
		a.fetch(m, []spread.Member{silent.member()})
		a.expectComplete(m)
		exchanges := func() (sum int) {
			silent.mu.Lock()
			defer silent.mu.Unlock()
			return silent.opened
		}
		Eventually(exchanges).Should(BeNumerically(">=", 3))
		silent.mu.Lock()
		defer silent.mu.Unlock()
		Expect(silent.maxOpen).To(Equal(1))
	})

	// A peer repeatedly opens a stream for a chunk and aborts it while the
	// control loop is busy. The upload slots granted after each abort are
	// released again.
	//
	// Guards against requests each of which keeps an upload slot permanently; an
	// agent without free slots serves no chunks until it is restarted.
	It("that abort a request while the control loop is busy keep no upload slot", func() {
		m := newModel("r1", 2)
		stage := daemontest.NewStage()
		stage.Fill(m)
		a := start("agent-1", stage, sources{origin: daemontest.NewSource(m)})
		a.fetch(m, nil)
		a.expectComplete(m)
		requester := daemontest.NewEntry("agent-2", a.Self)

		busy, unblock := make(chan struct{}), make(chan struct{})
		go a.OnLoop(func(time.Time) {
			close(busy)
			<-unblock
		})
		Eventually(busy).Should(BeClosed())
		const attempts = 16 // many times the number of upload slots
		for range attempts {
			s := requester.Open(peer.KindChunk)
			Expect(s.Send(wire.ChunkRequest{Manifest: m.Version.Manifest, Index: 0})).To(Succeed())
			Eventually(a.openStreams.Load).Should(BeNumerically(">", 0))
			s.Abort()
			Eventually(a.openStreams.Load).Should(BeZero())
		}
		close(unblock)
		a.OnLoop(func(time.Time) {})

		s := requester.Open(peer.KindChunk)
		Expect(s.Send(wire.ChunkRequest{Manifest: m.Version.Manifest, Index: 0})).To(Succeed())
		var head wire.ChunkHeader
		Expect(s.Recv(&head)).To(Succeed())
		Expect(head.Status).To(Equal(wire.ChunkFollows))
	})

	// The stage returns other bytes than were stored. The agent does not send
	// them, since its neighbours would then avoid it for all its chunks, and
	// responds that it does not hold the chunk.
	//
	// Without the check of what the stage returns, the corrupt bytes are sent.
	It("do not receive chunks that the stage has corrupted", func() {
		m := newModel("r1", 2)
		stage := daemontest.NewStage()
		stage.Fill(m)
		a := start("agent-1", stage, sources{origin: daemontest.NewSource(m)})
		a.fetch(m, nil)
		a.expectComplete(m)
		stage.Corrupt()
		s := daemontest.NewEntry("agent-2", a.Self).Open(peer.KindChunk)
		Expect(s.Send(wire.ChunkRequest{Manifest: m.Version.Manifest, Index: 1})).To(Succeed())
		var head wire.ChunkHeader
		Expect(s.Recv(&head)).To(Succeed())
		Expect(head.Status).To(Equal(wire.ChunkMissing))
	})

	// An agent starts before it knows any other agent, and the origin is down.
	// Then the list names a neighbour that holds the complete version. The agent
	// fetches the manifest and every chunk from it.
	//
	// Guards against a search for the manifest that continues with the members
	// known at its start, which are none, for as long as the origin is down.
	It("listed after the start of the search are asked for the manifest", func() {
		m := newModel("r1", 4)
		down := daemontest.NewSource(m)
		down.SetFault(func(ctx context.Context, _ daemontest.Fetch) error { return unavailable(ctx) })
		a := start("agent-1", daemontest.NewStage(), sources{origin: down})
		a.fetch(m, nil)
		Eventually(down.ManifestFetches).Should(BeNumerically(">", 0))
		complete := newFakePeer("agent-0", m, func(_ context.Context, s *peer.Stream, index int) { sendChunk(s, m.Chunks[index]) })
		a.OnLoop(func(now time.Time) { a.swarm.SetMembers(now, []spread.Member{a.member(), complete.member()}) })
		a.expectComplete(m)
	})
})
