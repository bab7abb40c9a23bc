package peer_test

import (
	"context"
	"errors"
	"fmt"
	"io"
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

// BenchmarkChunk fetches chunks of 4 MiB in raw frames of one size.
func BenchmarkChunk(b *testing.B) {
	const chunkSize = 4 << 20
	for _, frame := range []int{64 << 10, 128 << 10, 256 << 10} {
		b.Run(fmt.Sprintf("frame=%dKiB", frame>>10), func(b *testing.B) {
			data := make([]byte, frame)
			server, client := benchPair(b, func(_ context.Context, _ keys.Identity, _ peer.Kind, s *peer.Stream) {
				_ = s.Recv(&note{})
				for range chunkSize / frame {
					if s.SendBytes(data) != nil {
						return
					}
				}
			})
			buf := make([]byte, frame)
			b.SetBytes(chunkSize)
			b.ReportAllocs()
			for b.Loop() {
				s, err := client.Open(context.Background(), server.Addr(), "", peer.KindChunk)
				if err != nil {
					b.Fatal(err)
				}
				if err := s.Send(note{}); err != nil {
					b.Fatal(err)
				}
				for err == nil {
					_, err = s.RecvBytes(buf)
				}
				if !errors.Is(err, io.EOF) {
					b.Fatal(err)
				}
				s.Close()
			}
		})
	}
}

// BenchmarkExchange asks and gets an answer on a standing connection.
func BenchmarkExchange(b *testing.B) {
	server, client := benchPair(b, echo)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := ask(client, server.Addr(), peer.KindRequest, "x"); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkHandshake makes a connection for each exchange.
func BenchmarkHandshake(b *testing.B) {
	server, client := benchPair(b, echo)
	for b.Loop() {
		if _, err := ask(client, server.Addr(), peer.KindRequest, "x"); err != nil {
			b.Fatal(err)
		}
		client.DropConnections()
	}
}
