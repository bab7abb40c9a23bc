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

func beFailureOfType(want *errorx.Type) types.GomegaMatcher {
	return gcustom.MakeMatcher(func(err error) (bool, error) {
		return errorx.IsOfType(err, want), nil
	}).WithTemplate("Expected\n{{.FormattedActual}}\n{{.To}} be a failure of type " + want.FullName())
}

var _ = ginkgo.Describe("an exchange", func() {
	ginkgo.BeforeEach(checkLeaks)

	ginkgo.It("preserves all fields of messages and reuses one connection", func() {
		p := newPair(echo, nil)
		s := p.open(peer.KindRequest)
		sent := testMessage{Text: "hello", Version: fleet.Version{Name: "v1", Manifest: fleet.DigestOf([]byte("x"))}}
		gomega.Expect(s.Send(sent)).To(gomega.Succeed())
		var got testMessage
		gomega.Expect(s.Recv(&got)).To(gomega.Succeed())
		gomega.Expect(got).To(gomega.Equal(sent))
		gomega.Expect(s.Peer()).To(gomega.Equal(keys.Identity{ID: "agent-1", Role: fleet.RoleAgent}))
		for i := range 20 {
			text := fmt.Sprint("again ", i)
			gomega.Expect(roundTrip(p.client, p.server.Addr(), peer.KindReport, text)).To(gomega.Equal(text))
		}
		gomega.Expect(p.count("connections_opened+side=dialled")()).To(gomega.BeEquivalentTo(1))
		gomega.Expect(p.count("streams_served+kind=report")()).To(gomega.BeEquivalentTo(20))
	})

	ginkgo.It("transfers many frames in both directions at the same time", func() {
		const frames = 2000
		p := newPair(echo, nil)
		s := p.open(peer.KindGossip)
		go func() {
			for i := range frames {
				_ = s.Send(testMessage{Text: fmt.Sprint(i)})
			}
			_ = s.CloseSend()
		}()
		var got testMessage
		for i := range frames {
			gomega.Expect(s.Recv(&got)).To(gomega.Succeed())
			gomega.Expect(got.Text).To(gomega.Equal(fmt.Sprint(i)))
		}
		gomega.Expect(s.Recv(&got)).To(gomega.MatchError(io.EOF))
		gomega.Eventually(s.Context().Done()).Should(gomega.BeClosed())
	})

	ginkgo.It("transfers raw frames up to the size limit after a message", func() {
		chunk := bytes.Repeat([]byte{7}, peer.MaxRawFrame)
		p := newPair(func(_ context.Context, _ keys.Identity, _ peer.Kind, s *peer.Stream) {
			_ = s.Recv(&testMessage{})
			_ = s.Send(testMessage{Text: "follows"})
			_ = s.SendBytes(chunk)
			_ = s.SendBytes(nil)
		}, nil)
		s := p.open(peer.KindChunk)
		gomega.Expect(s.Send(testMessage{})).To(gomega.Succeed())
		gomega.Expect(s.Recv(&testMessage{})).To(gomega.Succeed())
		gomega.Expect(s.RecvBytes(make([]byte, 0, 10))).To(gomega.Equal(chunk))
		gomega.Expect(s.RecvBytes(nil)).To(gomega.BeEmpty())
		_, err := s.RecvBytes(nil)
		gomega.Expect(err).To(gomega.MatchError(io.EOF))
		gomega.Expect(s.SendBytes(append(chunk, 0))).To(beFailureOfType(peer.TooLarge))
	})

	ginkgo.It("delivers a one-way message that its sender closes", func() {
		got := make(chan string, 1)
		p := newPair(func(_ context.Context, _ keys.Identity, _ peer.Kind, s *peer.Stream) {
			var n testMessage
			_ = s.Recv(&n)
			got <- n.Text
		}, nil)
		s := p.open(peer.KindGossip)
		gomega.Expect(s.Send(testMessage{Text: "one way"})).To(gomega.Succeed())
		s.Close()
		gomega.Eventually(got, waitTimeout).Should(gomega.Receive(gomega.Equal("one way")))
	})

	// A server responds without reading the rest of a long request. The
	// client's sends fail from some point on, CloseSend reports no failure, and
	// the client receives the response.
	ginkgo.It("receives a response that was sent before the request was read", func() {
		p := newPair(func(_ context.Context, _ keys.Identity, _ peer.Kind, s *peer.Stream) {
			_ = s.Send(testMessage{Text: "no"})
		}, nil)
		s := p.open(peer.KindRequest)
		gomega.Eventually(func() error { return s.SendBytes(make([]byte, 1000)) }, waitTimeout).Should(beFailureOfType(peer.Aborted))
		var got testMessage
		gomega.Expect(s.Recv(&got)).To(gomega.Succeed())
		gomega.Expect(got.Text).To(gomega.Equal("no"))
		gomega.Expect(s.Recv(&got)).To(gomega.MatchError(io.EOF))
		unread := p.open(peer.KindRequest)
		gomega.Expect(unread.Send(testMessage{})).To(gomega.Succeed())
		gomega.Expect(unread.Recv(&got)).To(gomega.Succeed())
		gomega.Expect(unread.Recv(&got)).To(gomega.MatchError(io.EOF))
		gomega.Expect(unread.CloseSend()).To(gomega.Succeed())
	})

	ginkgo.It("lets the peer send first", func() {
		p := newPair(func(_ context.Context, _ keys.Identity, _ peer.Kind, s *peer.Stream) {
			_ = s.Send(testMessage{Text: "first"})
		}, nil)
		s := p.open(peer.KindStatus)
		var got testMessage
		gomega.Expect(s.Recv(&got)).To(gomega.Succeed())
		gomega.Expect(got.Text).To(gomega.Equal("first"))
	})

	ginkgo.It("refuses a message over the size limit on either side", func() {
		failed := make(chan error, 1)
		p := newPair(func(_ context.Context, _ keys.Identity, _ peer.Kind, s *peer.Stream) {
			failed <- s.Recv(&testMessage{})
		}, func(server, _ *peer.Options) { server.MaxMessage = 1000 })
		s := p.open(peer.KindConfig)
		gomega.Expect(s.Send(testMessage{Text: string(make([]byte, peer.DefaultMaxMessage))})).To(beFailureOfType(peer.TooLarge))
		gomega.Expect(s.Send(testMessage{Text: string(make([]byte, 2000))})).To(gomega.Succeed())
		gomega.Eventually(failed, waitTimeout).Should(gomega.Receive(beFailureOfType(peer.TooLarge)))
		gomega.Eventually(s.Context().Done(), waitTimeout).Should(gomega.BeClosed())
	})

	ginkgo.It("refuses a raw frame where a message is expected", func() {
		failed := make(chan error, 1)
		p := newPair(func(_ context.Context, _ keys.Identity, _ peer.Kind, s *peer.Stream) {
			failed <- s.Recv(&testMessage{})
		}, nil)
		sent := p.open(peer.KindChunk).SendBytes([]byte{1})
		gomega.Eventually(failed, waitTimeout).Should(gomega.Receive(beFailureOfType(failure.Corrupt)))
		if sent != nil { // the refusal may arrive before the complete frame was written
			gomega.Expect(sent).To(beFailureOfType(failure.Unavailable))
		}
	})

	// The caller cancels while a server sends a long response. The client
	// aborts the stream: the server's context ends and its sends fail. Data in
	// flight is discarded, so that the next exchange on the same connection
	// receives only its own response.
	ginkgo.It("discards the rest of an aborted response", func() {
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
		gomega.Eventually(ended, waitTimeout).Should(gomega.Receive(beFailureOfType(peer.Aborted)))
		_, err = s.RecvBytes(nil)
		gomega.Expect(err).To(beFailureOfType(peer.Aborted))
		gomega.Expect(roundTrip(p.client, p.server.Addr(), peer.KindRequest, "mine")).To(gomega.Equal("mine"))
		gomega.Expect(p.count("connections_opened+side=dialled")()).To(gomega.BeEquivalentTo(1))
	})

	ginkgo.It("is aborted when the context given to Open ends", func() {
		entered, ended := make(chan struct{}), make(chan struct{})
		p := newPair(func(ctx context.Context, from keys.Identity, kind peer.Kind, s *peer.Stream) {
			close(entered)
			waitForEnd(ctx, from, kind, s)
			close(ended)
		}, nil)
		ctx, cancel := context.WithCancel(context.Background())
		s, err := p.client.Open(ctx, p.server.Addr(), "agent-1", peer.KindRequest)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(s.Send(testMessage{})).To(gomega.Succeed())
		gomega.Eventually(entered, waitTimeout).Should(gomega.BeClosed())
		cancel()
		gomega.Expect(s.Recv(&testMessage{})).To(beFailureOfType(peer.Aborted))
		gomega.Eventually(ended, waitTimeout).Should(gomega.BeClosed())
	})

	ginkgo.It("reports a slow peer by the stall timeout and continues afterwards", func() {
		respond := make(chan struct{})
		p := newPair(func(_ context.Context, _ keys.Identity, _ peer.Kind, s *peer.Stream) {
			<-respond
			_ = s.Send(testMessage{Text: "late"})
		}, nil)
		s := p.open(peer.KindRequest)
		s.SetStallTimeout(20 * time.Millisecond)
		gomega.Expect(s.Recv(&testMessage{})).To(beFailureOfType(failure.Timeout))
		close(respond)
		s.SetStallTimeout(waitTimeout)
		var got testMessage
		gomega.Expect(s.Recv(&got)).To(gomega.Succeed())
		gomega.Expect(got.Text).To(gomega.Equal("late"))
	})

	ginkgo.It("fails in Open while the peer's stream limit is reached", func() {
		p := newPair(waitForEnd, func(server, client *peer.Options) {
			server.MaxStreams = 1
			client.HandshakeTimeout = 500 * time.Millisecond
		})
		first := p.open(peer.KindRequest)
		gomega.Expect(first.Send(testMessage{})).To(gomega.Succeed())
		_, err := p.client.Open(context.Background(), p.server.Addr(), "", peer.KindRequest)
		expectNotRun(err)
		first.Abort()
		gomega.Eventually(func() error {
			s, err := p.client.Open(context.Background(), p.server.Addr(), "", peer.KindRequest)
			if err == nil {
				s.Abort()
			}
			return err
		}, waitTimeout).Should(gomega.Succeed())
	})
})
