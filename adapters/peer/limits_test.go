package peer_test

import (
	"context"
	"crypto/tls"
	"encoding/binary"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/quic-go/quic-go"

	"chivespindle.example/adapters/keys"
	"chivespindle.example/adapters/peer"
	"chivespindle.example/core/fleet"
	"chivespindle.example/standin/pki"
)

const (
	refusedMessages = "refusals+reason=message_memory"
)

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
