package peer_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"sync"
	"testing"

	"github.com/onsi/gomega"

	"chivespindle.example/adapters/keys"
	"chivespindle.example/adapters/peer"
	"chivespindle.example/core/fleet"
	"chivespindle.example/standin/pki"
)

// benchPair is newPair without ginkgo.
func benchPair(b *testing.B, handler handlerFunc) (server, client *peer.Endpoint) {
	b.Helper()
	g := gomega.NewWithT(b)
	authority, err := pki.NewAuthority()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	run := func(role fleet.Role, h peer.Handler) *peer.Endpoint {
		files, err := authority.WriteFiles(b.TempDir(), role, "x")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		store, err := keys.Load(files)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		e, err := peer.New(peer.Options{Listen: loopback, Keys: store, Handler: h})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		go func() { _ = e.Run(context.Background()) }()
		b.Cleanup(func() { _ = e.Close() })
		return e
	}
	return run(fleet.RoleAgent, handler), run(fleet.RoleEntry, nil)
}

const chunkSize = 4 << 20

// sendChunk responds to any message with a chunk in frames of len(data).
func sendChunk(s *peer.Stream, data []byte) {
	_ = s.Recv(&testMessage{})
	for range chunkSize / len(data) {
		if s.SendBytes(data) != nil {
			return
		}
	}
}

// fetchChunk requests one chunk.
func fetchChunk(client *peer.Endpoint, addr netip.AddrPort, buf []byte) error {
	s, err := client.Open(context.Background(), addr, "", peer.KindChunk)
	if err != nil {
		return err
	}
	defer s.Close()
	err = s.Send(testMessage{})
	for err == nil {
		_, err = s.RecvBytes(buf)
	}
	if !errors.Is(err, io.EOF) {
		return err
	}
	return nil
}

// BenchmarkChunk fetches chunks of 4 MiB in raw frames of one size.
func BenchmarkChunk(b *testing.B) {
	for _, frame := range []int{64 << 10, 128 << 10, 256 << 10} {
		b.Run(fmt.Sprintf("frame=%dKiB", frame>>10), func(b *testing.B) {
			data := make([]byte, frame)
			server, client := benchPair(b, func(_ context.Context, _ keys.Identity, _ peer.Kind, s *peer.Stream) {
				sendChunk(s, data)
			})
			buf := make([]byte, frame)
			b.SetBytes(chunkSize)
			b.ReportAllocs()
			for b.Loop() {
				if err := fetchChunk(client, server.Addr(), buf); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkExchangeBesideChunks measures an exchange as BenchmarkExchange does,
// while chunks are transferred over the same connection in the direction of the
// responses.
func BenchmarkExchangeBesideChunks(b *testing.B) {
	data := make([]byte, peer.MaxRawFrame)
	server, client := benchPair(b, func(ctx context.Context, from keys.Identity, kind peer.Kind, s *peer.Stream) {
		if kind == peer.KindChunk {
			sendChunk(s, data)
			return
		}
		echo(ctx, from, kind, s)
	})
	var chunks sync.WaitGroup
	for range 4 {
		chunks.Go(func() {
			buf := make([]byte, peer.MaxRawFrame)
			for fetchChunk(client, server.Addr(), buf) == nil {
			}
		})
	}
	for b.Loop() {
		if _, err := roundTrip(client, server.Addr(), peer.KindRequest, "x"); err != nil {
			b.Fatal(err)
		}
	}
	_ = client.Close()
	chunks.Wait()
}

// BenchmarkExchange measures a request and its response on an open connection.
func BenchmarkExchange(b *testing.B) {
	server, client := benchPair(b, echo)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := roundTrip(client, server.Addr(), peer.KindRequest, "x"); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkHandshake dials a new connection for each exchange.
func BenchmarkHandshake(b *testing.B) {
	server, client := benchPair(b, echo)
	for b.Loop() {
		if _, err := roundTrip(client, server.Addr(), peer.KindRequest, "x"); err != nil {
			b.Fatal(err)
		}
		client.DropConnections()
	}
}
