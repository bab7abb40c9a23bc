package peer_test

import (
	"context"
	"errors"
	"io"
	"net/netip"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"chivespindle.example/adapters/keys"
	"chivespindle.example/adapters/peer"
	"chivespindle.example/core/fleet"
	"chivespindle.example/standin/pki"
)

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// note is the message that the tests exchange.
type note struct {
	Text    string        `cbor:"1,keyasint"`
	Version fleet.Version `cbor:"2,keyasint"`
}

type handlerFunc func(ctx context.Context, from keys.Identity, kind peer.Kind, s *peer.Stream)

func (f handlerFunc) ServeStream(ctx context.Context, from keys.Identity, kind peer.Kind, s *peer.Stream) {
	f(ctx, from, kind, s)
}

// echo sends each note back until the peer finishes.
func echo(_ context.Context, _ keys.Identity, _ peer.Kind, s *peer.Stream) {
	for {
		var got note
		if err := s.Recv(&got); err != nil {
			return
		}
		if err := s.Send(got); err != nil {
			return
		}
	}
}

func newAuthority() *pki.Authority {
	ginkgo.GinkgoHelper()
	authority, err := pki.NewAuthority()
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return authority
}

// storeOf issues and loads a certificate.
func storeOf(authority *pki.Authority, role fleet.Role, id fleet.InstanceID) *keys.Store {
	ginkgo.GinkgoHelper()
	files, err := authority.WriteFiles(ginkgo.GinkgoT().TempDir(), role, id)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	store, err := keys.Load(files)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return store
}

// start runs an endpoint until the spec ends.
func start(opts peer.Options) *peer.Endpoint {
	ginkgo.GinkgoHelper()
	if !opts.Listen.IsValid() {
		opts.Listen = loopback
	}
	endpoint, err := peer.New(opts)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	done := make(chan error, 1)
	go func() { done <- endpoint.Run(context.Background()) }()
	ginkgo.DeferCleanup(func() {
		gomega.Expect(endpoint.Close()).To(gomega.Succeed())
		gomega.Eventually(done).Should(gomega.Receive(gomega.BeNil()))
	})
	return endpoint
}

// ask sends one note and returns the answer.
func ask(client *peer.Endpoint, addr netip.AddrPort, kind peer.Kind, text string) (string, error) {
	s, err := client.Open(context.Background(), addr, "", kind)
	if err != nil {
		return "", err
	}
	defer s.Abort()
	if err := s.Send(note{Text: text}); err != nil {
		return "", err
	}
	if err := s.CloseSend(); err != nil {
		return "", err
	}
	var got note
	if err := s.Recv(&got); err != nil {
		return "", err
	}
	if err := s.Recv(&note{}); !errors.Is(err, io.EOF) {
		return "", err
	}
	return got.Text, nil
}
