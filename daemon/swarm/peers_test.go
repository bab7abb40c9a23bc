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

var _ = Describe("Neighbours", func() {
	// Three agents want a version. Each chunk leaves the origin once, and the
	// agents copy it from each other.
	It("copy from each other what left the origin once", func() {
		m := newModel("r1", 12)
		from := sources{origin: daemontest.NewSource(m)}
		var all []*holder
		var members []spread.Member
		for _, id := range []fleet.InstanceID{"agent-1", "agent-2", "agent-3"} {
			h := start(id, daemontest.NewStage(), from)
			all = append(all, h)
			members = append(members, h.member())
		}
		for _, h := range all {
			h.gather(m, members)
		}
		for _, h := range all {
			h.expectWhole(m)
		}
		Expect(len(from.origin.Drawn())).To(BeNumerically("<", 2*12), "not each its own copy")
		Expect(all[0].drawn().PeerBytes).To(BeNumerically(">", 0))
	})

	// A neighbour says that it holds everything and then does not give it. The
	// agent finds out by the digest, or since nothing comes for the stall
	// timeout, leaves the neighbour alone and takes the chunk elsewhere. Not one
	// wrong byte is staged.
	// Seen with the test of a chunk's digest taken out: the version was complete
	// with the wrong bytes. Seen without the progress deadline: never complete.
	DescribeTable("that do not give what they say are avoided",
		func(give func(m daemontest.Model) func(context.Context, *peer.Stream, int)) {
			m := newModel("r1", 6)
			bad := newSender("agent-0", m, give(m))
			h := start("agent-1", daemontest.NewStage(), sources{origin: daemontest.NewSource(m)})
			h.gather(m, []spread.Member{bad.member()})
			h.expectWhole(m)
			Expect(bad.asks()).To(BeNumerically(">", 0))
			Expect(h.stage.Puts()).To(Equal(6))
		},
		Entry("wrong bytes", func(m daemontest.Model) func(context.Context, *peer.Stream, int) {
			return func(_ context.Context, s *peer.Stream, index int) {
				wrong := append([]byte(nil), m.Chunks[index]...)
				wrong[len(wrong)-1]++
				sendChunk(s, wrong)
			}
		}),
		Entry("too many bytes", func(m daemontest.Model) func(context.Context, *peer.Stream, int) {
			return func(_ context.Context, s *peer.Stream, index int) {
				sendChunk(s, append(append([]byte(nil), m.Chunks[index]...), 0))
			}
		}),
		Entry("a few bytes and then nothing", func(m daemontest.Model) func(context.Context, *peer.Stream, int) {
			return func(ctx context.Context, s *peer.Stream, index int) {
				_ = s.Send(wire.ChunkHeader{Status: wire.ChunkFollows, Bytes: len(m.Chunks[index])})
				_ = s.SendBytes(m.Chunks[index][:10])
				<-ctx.Done()
			}
		}),
		Entry("a part, and the end of the stream", func(m daemontest.Model) func(context.Context, *peer.Stream, int) {
			return func(_ context.Context, s *peer.Stream, index int) {
				_ = s.Send(wire.ChunkHeader{Status: wire.ChunkFollows, Bytes: len(m.Chunks[index])})
				_ = s.SendBytes(m.Chunks[index][:10])
				_ = s.CloseSend()
			}
		}),
		Entry("nothing of what they announced", func(daemontest.Model) func(context.Context, *peer.Stream, int) {
			return func(_ context.Context, s *peer.Stream, _ int) {
				_ = s.Send(wire.ChunkHeader{Status: wire.ChunkMissing})
				_ = s.CloseSend()
			}
		}),
	)

	// A neighbour takes an exchange and says nothing: its control loop stands
	// still. The agent gives the exchange up after the stall timeout and tries
	// again later, with one stream at a time.
	// Seen before the mend: a new stream and goroutine every 0.3 s beside those
	// that still waited.
	It("that never answer an exchange hold one stream at a time", func() {
		m := newModel("r1", 4)
		mute := newSender("agent-0", m, nil)
		mute.mute = true
		h := start("agent-1", daemontest.NewStage(), sources{origin: daemontest.NewSource(m)})
		h.gather(m, []spread.Member{mute.member()})
		h.expectWhole(m)
		exchanges := func() (sum int) {
			mute.mu.Lock()
			defer mute.mu.Unlock()
			return mute.opened
		}
		Eventually(exchanges).Should(BeNumerically(">=", 3))
		mute.mu.Lock()
		defer mute.mu.Unlock()
		Expect(mute.most).To(Equal(1))
	})

	// An asker opens a stream for a chunk and gives it up while the control loop
	// is busy, again and again. The slots that it was granted after it had gone
	// are free for the next.
	// Seen before the mend: each such ask kept an upload slot for good, and an
	// agent with none left gave nothing to anyone until it was restarted.
	It("that give up while the loop is busy keep no upload slot", func() {
		m := newModel("r1", 2)
		stage := daemontest.NewStage()
		stage.Fill(m)
		h := start("agent-1", stage, sources{origin: daemontest.NewSource(m)})
		h.gather(m, nil)
		h.expectWhole(m)
		asker := daemontest.NewEntry("agent-2", h.Self)

		busy, free := make(chan struct{}), make(chan struct{})
		go h.OnLoop(func(time.Time) {
			close(busy)
			<-free
		})
		Eventually(busy).Should(BeClosed())
		const asks = 16 // many times the slots
		for range asks {
			s := asker.Open(peer.KindChunk)
			Expect(s.Send(wire.ChunkRequest{Manifest: m.Version.Manifest, Index: 0})).To(Succeed())
			Eventually(h.serving.Load).Should(BeNumerically(">", 0))
			s.Abort()
			Eventually(h.serving.Load).Should(BeZero())
		}
		close(free)
		h.OnLoop(func(time.Time) {})

		s := asker.Open(peer.KindChunk)
		Expect(s.Send(wire.ChunkRequest{Manifest: m.Version.Manifest, Index: 0})).To(Succeed())
		var head wire.ChunkHeader
		Expect(s.Recv(&head)).To(Succeed())
		Expect(head.Status).To(Equal(wire.ChunkFollows))
	})

	// The stage gives bytes back that are not those it was given. The agent does
	// not hand them on, since its neighbours would avoid it with all that it
	// holds, and says that it lacks the chunk.
	// Seen without the test of what the stage gives back: the bytes went out.
	It("are not given what the stage has spoilt", func() {
		m := newModel("r1", 2)
		stage := daemontest.NewStage()
		stage.Fill(m)
		h := start("agent-1", stage, sources{origin: daemontest.NewSource(m)})
		h.gather(m, nil)
		h.expectWhole(m)
		stage.Spoil()
		s := daemontest.NewEntry("agent-2", h.Self).Open(peer.KindChunk)
		Expect(s.Send(wire.ChunkRequest{Manifest: m.Version.Manifest, Index: 1})).To(Succeed())
		var head wire.ChunkHeader
		Expect(s.Recv(&head)).To(Succeed())
		Expect(head.Status).To(Equal(wire.ChunkMissing))
	})

	// An agent starts before it knows of any other, and the origin is down. Then
	// the list names a neighbour that holds all. The agent gets the manifest and
	// every chunk from it.
	// Seen before the mend: the search for the manifest went on among the members
	// of its beginning, which were none, for as long as the origin was down.
	It("that come later are asked for the manifest", func() {
		m := newModel("r1", 4)
		down := daemontest.NewSource(m)
		down.Fail(func(ctx context.Context, _ daemontest.Draw) error { return unavailable(ctx) })
		h := start("agent-1", daemontest.NewStage(), sources{origin: down})
		h.gather(m, nil)
		Eventually(down.Manifests).Should(BeNumerically(">", 0))
		good := newSender("agent-0", m, func(_ context.Context, s *peer.Stream, index int) { sendChunk(s, m.Chunks[index]) })
		h.OnLoop(func(now time.Time) { h.swarm.SetMembers(now, []spread.Member{h.member(), good.member()}) })
		h.expectWhole(m)
	})
})
