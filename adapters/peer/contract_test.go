package peer_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"time"

	"github.com/joomcode/errorx"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/onsi/gomega/gcustom"
	"github.com/onsi/gomega/types"

	"chivespindle.example/adapters/keys"
	"chivespindle.example/adapters/peer"
	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
)

func beOfType(want *errorx.Type) types.GomegaMatcher {
	return gcustom.MakeMatcher(func(err error) (bool, error) {
		return errorx.IsOfType(err, want), nil
	}).WithTemplate("Expected\n{{.FormattedActual}}\n{{.To}} be a failure of type " + want.FullName())
}

var _ = ginkgo.Describe("an exchange", func() {
	ginkgo.BeforeEach(checkLeaks)

	ginkgo.It("echoes messages, all fields whole, over one connection", func() {
		p := newPair(echo, nil)
		s := p.open(peer.KindRequest)
		sent := note{Text: "hello", Version: fleet.Version{Name: "v1", Manifest: fleet.DigestOf([]byte("x"))}}
		gomega.Expect(s.Send(sent)).To(gomega.Succeed())
		var got note
		gomega.Expect(s.Recv(&got)).To(gomega.Succeed())
		gomega.Expect(got).To(gomega.Equal(sent))
		gomega.Expect(s.Peer()).To(gomega.Equal(keys.Identity{ID: "agent-1", Role: fleet.RoleAgent}))
		for i := range 20 {
			text := fmt.Sprint("again ", i)
			gomega.Expect(ask(p.client, p.server.Addr(), peer.KindReport, text)).To(gomega.Equal(text))
		}
		gomega.Expect(p.count("connections_opened+side=dialled")()).To(gomega.BeEquivalentTo(1))
		gomega.Expect(p.count("streams_served+kind=report")()).To(gomega.BeEquivalentTo(20))
	})

	ginkgo.It("carries many frames each way at the same time", func() {
		const frames = 2000
		p := newPair(echo, nil)
		s := p.open(peer.KindGossip)
		go func() {
			for i := range frames {
				_ = s.Send(note{Text: fmt.Sprint(i)})
			}
			_ = s.CloseSend()
		}()
		var got note
		for i := range frames {
			gomega.Expect(s.Recv(&got)).To(gomega.Succeed())
			gomega.Expect(got.Text).To(gomega.Equal(fmt.Sprint(i)))
		}
		gomega.Expect(s.Recv(&got)).To(gomega.MatchError(io.EOF))
		gomega.Eventually(s.Context().Done()).Should(gomega.BeClosed())
	})

	ginkgo.It("carries raw frames up to the bound, behind a message", func() {
		chunk := bytes.Repeat([]byte{7}, peer.MaxRawFrame)
		p := newPair(func(_ context.Context, _ keys.Identity, _ peer.Kind, s *peer.Stream) {
			_ = s.Recv(&note{})
			_ = s.Send(note{Text: "follows"})
			_ = s.SendBytes(chunk)
			_ = s.SendBytes(nil)
		}, nil)
		s := p.open(peer.KindChunk)
		gomega.Expect(s.Send(note{})).To(gomega.Succeed())
		gomega.Expect(s.Recv(&note{})).To(gomega.Succeed())
		gomega.Expect(s.RecvBytes(make([]byte, 0, 10))).To(gomega.Equal(chunk))
		gomega.Expect(s.RecvBytes(nil)).To(gomega.BeEmpty())
		_, err := s.RecvBytes(nil)
		gomega.Expect(err).To(gomega.MatchError(io.EOF))
		gomega.Expect(s.SendBytes(append(chunk, 0))).To(beOfType(peer.TooLarge))
	})

	ginkgo.It("delivers a one-way message that its sender closes", func() {
		got := make(chan string, 1)
		p := newPair(func(_ context.Context, _ keys.Identity, _ peer.Kind, s *peer.Stream) {
			var n note
			_ = s.Recv(&n)
			got <- n.Text
		}, nil)
		s := p.open(peer.KindGossip)
		gomega.Expect(s.Send(note{Text: "one way"})).To(gomega.Succeed())
		s.Close()
		gomega.Eventually(got, patience).Should(gomega.Receive(gomega.Equal("one way")))
	})

	// A server answers without reading the rest of a long request. The client's
	// sends fail from some point on, its end of sending is no failure, and it
	// gets the answer.
	ginkgo.It("brings an answer that was given before the request was read", func() {
		p := newPair(func(_ context.Context, _ keys.Identity, _ peer.Kind, s *peer.Stream) {
			_ = s.Send(note{Text: "no"})
		}, nil)
		s := p.open(peer.KindRequest)
		gomega.Eventually(func() error { return s.SendBytes(make([]byte, 1000)) }, patience).Should(beOfType(peer.Aborted))
		var got note
		gomega.Expect(s.Recv(&got)).To(gomega.Succeed())
		gomega.Expect(got.Text).To(gomega.Equal("no"))
		gomega.Expect(s.Recv(&got)).To(gomega.MatchError(io.EOF))
		quick := p.open(peer.KindRequest)
		gomega.Expect(quick.Send(note{})).To(gomega.Succeed())
		gomega.Expect(quick.Recv(&got)).To(gomega.Succeed())
		gomega.Expect(quick.Recv(&got)).To(gomega.MatchError(io.EOF))
		gomega.Expect(quick.CloseSend()).To(gomega.Succeed())
	})

	ginkgo.It("lets the peer speak first", func() {
		p := newPair(func(_ context.Context, _ keys.Identity, _ peer.Kind, s *peer.Stream) {
			_ = s.Send(note{Text: "first"})
		}, nil)
		s := p.open(peer.KindStatus)
		var got note
		gomega.Expect(s.Recv(&got)).To(gomega.Succeed())
		gomega.Expect(got.Text).To(gomega.Equal("first"))
	})

	ginkgo.It("refuses a message over the bound on either side", func() {
		failed := make(chan error, 1)
		p := newPair(func(_ context.Context, _ keys.Identity, _ peer.Kind, s *peer.Stream) {
			failed <- s.Recv(&note{})
		}, func(server, _ *peer.Options) { server.MaxMessage = 1000 })
		s := p.open(peer.KindConfig)
		gomega.Expect(s.Send(note{Text: string(make([]byte, peer.DefaultMaxMessage))})).To(beOfType(peer.TooLarge))
		gomega.Expect(s.Send(note{Text: string(make([]byte, 2000))})).To(gomega.Succeed())
		gomega.Eventually(failed, patience).Should(gomega.Receive(beOfType(peer.TooLarge)))
		gomega.Eventually(s.Context().Done(), patience).Should(gomega.BeClosed())
	})

	ginkgo.It("refuses a raw frame where a message is due", func() {
		failed := make(chan error, 1)
		p := newPair(func(_ context.Context, _ keys.Identity, _ peer.Kind, s *peer.Stream) {
			failed <- s.Recv(&note{})
		}, nil)
		sent := p.open(peer.KindChunk).SendBytes([]byte{1})
		gomega.Eventually(failed, patience).Should(gomega.Receive(beOfType(failure.Corrupt)))
		if sent != nil { // the refusal may come before all of the frame was written
			gomega.Expect(sent).To(beOfType(failure.Unavailable))
		}
	})

	// A server is in the middle of a long answer when the caller gives up. The
	// client aborts the stream: the server's context ends and its sends fail.
	// What was on its way is dropped, so that the next exchange on the same
	// connection gets its own answer and nothing else.
	ginkgo.It("drops the rest of an aborted answer", func() {
		ended := make(chan error, 1)
		p := newPair(func(ctx context.Context, from keys.Identity, kind peer.Kind, s *peer.Stream) {
			if kind != peer.KindChunk {
				echo(ctx, from, kind, s)
				return
			}
			var err error
			for err == nil {
				err = s.SendBytes(make([]byte, 64<<10))
			}
			<-ctx.Done()
			ended <- err
		}, nil)
		s := p.open(peer.KindChunk)
		_, err := s.RecvBytes(nil)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		s.Abort()
		gomega.Eventually(ended, patience).Should(gomega.Receive(beOfType(peer.Aborted)))
		_, err = s.RecvBytes(nil)
		gomega.Expect(err).To(beOfType(peer.Aborted))
		gomega.Expect(ask(p.client, p.server.Addr(), peer.KindRequest, "mine")).To(gomega.Equal("mine"))
		gomega.Expect(p.count("connections_opened+side=dialled")()).To(gomega.BeEquivalentTo(1))
	})

	ginkgo.It("is aborted when the context given to Open ends", func() {
		entered, left := make(chan struct{}), make(chan struct{})
		p := newPair(func(ctx context.Context, from keys.Identity, kind peer.Kind, s *peer.Stream) {
			close(entered)
			hold(ctx, from, kind, s)
			close(left)
		}, nil)
		ctx, cancel := context.WithCancel(context.Background())
		s, err := p.client.Open(ctx, p.server.Addr(), "agent-1", peer.KindRequest)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(s.Send(note{})).To(gomega.Succeed())
		gomega.Eventually(entered, patience).Should(gomega.BeClosed())
		cancel()
		gomega.Expect(s.Recv(&note{})).To(beOfType(peer.Aborted))
		gomega.Eventually(left, patience).Should(gomega.BeClosed())
	})

	ginkgo.It("tells a slow peer by the progress deadline, and goes on after it", func() {
		answer := make(chan struct{})
		p := newPair(func(_ context.Context, _ keys.Identity, _ peer.Kind, s *peer.Stream) {
			<-answer
			_ = s.Send(note{Text: "late"})
		}, nil)
		s := p.open(peer.KindRequest)
		s.SetStall(20 * time.Millisecond)
		gomega.Expect(s.Recv(&note{})).To(beOfType(failure.Timeout))
		close(answer)
		s.SetStall(patience)
		var got note
		gomega.Expect(s.Recv(&got)).To(gomega.Succeed())
		gomega.Expect(got.Text).To(gomega.Equal("late"))
	})

	ginkgo.It("is given up by Open when the peer's bound of streams is reached", func() {
		p := newPair(hold, func(server, client *peer.Options) {
			server.MaxStreams = 1
			client.HandshakeTimeout = 500 * time.Millisecond
		})
		first := p.open(peer.KindRequest)
		gomega.Expect(first.Send(note{})).To(gomega.Succeed())
		_, err := p.client.Open(context.Background(), p.server.Addr(), "", peer.KindRequest)
		expectNotRun(err)
		first.Abort()
		gomega.Eventually(func() error {
			s, err := p.client.Open(context.Background(), p.server.Addr(), "", peer.KindRequest)
			if err == nil {
				s.Abort()
			}
			return err
		}, patience).Should(gomega.Succeed())
	})
})
