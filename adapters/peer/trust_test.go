package peer_test

import (
	"context"
	"crypto/tls"
	"net/netip"
	"net/url"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/quic-go/quic-go"

	"chivespindle.example/adapters/keys"
	"chivespindle.example/adapters/peer"
	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
	"chivespindle.example/standin/pki"
)

const (
	isHandshakeRefusal = "refusals+reason=handshake"
	servedRequests     = "streams_served+kind=request"
)

// signCertificate issues a certificate that a Store would not load.
func signCertificate(authority *pki.Authority, t pki.Template) *tls.Certificate {
	ginkgo.GinkgoHelper()
	certPEM, keyPEM, err := authority.Sign(t)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	out, err := tls.X509KeyPair(certPEM, keyPEM)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return &out
}

// badCertificate returns a certificate that peers must refuse, or an empty one
// to present none.
type badCertificate func(own *pki.Authority) *tls.Certificate

var badCertificates = map[string]badCertificate{
	"no certificate": func(*pki.Authority) *tls.Certificate { return &tls.Certificate{} },
	"another authority": func(*pki.Authority) *tls.Certificate {
		return signCertificate(newAuthority(), pki.Template{Identity: keys.Identity{ID: "x", Role: fleet.RoleEntry}})
	},
	"an expired certificate": func(own *pki.Authority) *tls.Certificate {
		return signCertificate(own, pki.Template{
			Identity: keys.Identity{ID: "x", Role: fleet.RoleEntry},
			NotAfter: time.Now().Add(-time.Minute),
		})
	},
	"no role": func(own *pki.Authority) *tls.Certificate {
		return signCertificate(own, pki.Template{URIs: []*url.URL{}})
	},
	"two roles": func(own *pki.Authority) *tls.Certificate {
		return signCertificate(own, pki.Template{URIs: []*url.URL{
			{Scheme: "urn", Opaque: "chivespindle:entry:x"}, {Scheme: "urn", Opaque: "chivespindle:agent:x"},
		}})
	},
}

// dialAs connects with the given certificate, without verifying the server, and
// sends a request. It returns when the connection has ended.
func dialAs(addr netip.AddrPort, cert *tls.Certificate) {
	ginkgo.GinkgoHelper()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	conn, err := quic.DialAddr(ctx, addr.String(), &tls.Config{
		InsecureSkipVerify: true,
		NextProtos:         []string{keys.Protocol},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return cert, nil
		},
	}, nil)
	if err != nil {
		return
	}
	if s, err := conn.OpenStream(); err == nil {
		_, _ = s.Write([]byte{byte(peer.KindRequest), 1, 0, 0, 1, 0})
	}
	select {
	case <-conn.Context().Done():
	case <-ctx.Done():
		ginkgo.Fail("the connection with a bad certificate was not closed")
	}
}

var _ = ginkgo.Describe("authentication", func() {
	ginkgo.BeforeEach(checkLeaks)

	// An unauthenticated client connects and sends a request at once, as TLS
	// 1.3 allows. The server ends the connection when it sees the certificate;
	// no handler sees the request, and the refusal is counted.
	ginkgo.DescribeTable("a server refuses a client with", func(name string) {
		p := newPair(echo, nil)
		dialAs(p.server.Addr(), badCertificates[name](p.authority))
		gomega.Eventually(p.count(isHandshakeRefusal), waitTimeout).Should(gomega.BeEquivalentTo(1))
		gomega.Expect(p.count(servedRequests)()).To(gomega.BeZero())
		gomega.Expect(roundTrip(p.client, p.server.Addr(), peer.KindRequest, "mine")).To(gomega.Equal("mine"))
	}, badCertificateEntries())

	ginkgo.DescribeTable("a client sends nothing to a server with", func(name string) {
		p := newPair(echo, nil)
		cert := badCertificates[name](p.authority)
		listener, err := quic.ListenAddr(loopback.String(), &tls.Config{
			NextProtos:     []string{keys.Protocol},
			GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return cert, nil },
		}, nil)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		defer listener.Close()
		_, err = p.client.Open(context.Background(), netip.MustParseAddrPort(listener.Addr().String()), "", peer.KindRequest)
		expectNotRun(err)
	}, badCertificateEntries())

	ginkgo.It("a client whose certificate the server refuses gets the outcome NotRun", func() {
		p := newPair(echo, nil)
		untrusted := start(peer.Options{Keys: newStore(newAuthority(), fleet.RoleEntry, "x")})
		_, err := roundTrip(untrusted, p.server.Addr(), peer.KindRequest, "mine")
		expectNotRun(err)
	})

	ginkgo.DescribeTable("a role may open only the kinds it is allowed", func(role fleet.Role, kind peer.Kind, allowed bool) {
		p := newPair(echo, nil)
		client := start(peer.Options{Keys: newStore(p.authority, role, "x")})
		got, err := roundTrip(client, p.server.Addr(), kind, "mine")
		if allowed {
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(got).To(gomega.Equal("mine"))
			return
		}
		gomega.Expect(err).To(beFailureOfType(failure.Refused))
		gomega.Expect(failure.OutcomeOf(err)).To(gomega.Equal(failure.NotRun))
		gomega.Expect(p.count("refusals+reason=role")()).To(gomega.BeEquivalentTo(1))
	},
		ginkgo.Entry("operator, status", fleet.RoleOperator, peer.KindStatus, true),
		ginkgo.Entry("operator, chunk", fleet.RoleOperator, peer.KindChunk, false),
		ginkgo.Entry("operator, config", fleet.RoleOperator, peer.KindConfig, false),
		ginkgo.Entry("operator, request", fleet.RoleOperator, peer.KindRequest, false),
		ginkgo.Entry("agent, report", fleet.RoleAgent, peer.KindReport, true),
		ginkgo.Entry("entry, request", fleet.RoleEntry, peer.KindRequest, true),
	)

	ginkgo.It("Open fails for another instance ID, and the connection stays usable for the right one", func() {
		p := newPair(echo, nil)
		for range 2 {
			_, err := p.client.Open(context.Background(), p.server.Addr(), "agent-2", peer.KindRequest)
			gomega.Expect(err).To(beFailureOfType(peer.WrongPeer))
			expectNotRun(err)
		}
		s, err := p.client.Open(context.Background(), p.server.Addr(), "agent-1", peer.KindRequest)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		s.Abort()
	})

	// The limit of pending handshakes is reached. The next connection is
	// refused before its certificates are verified, and the caller gets the
	// outcome NotRun at once. Each datagram of its handshake counts as one
	// refusal. Once one is free, the connection is accepted.
	ginkgo.It("pending handshakes are bounded", func() {
		p := newPair(echo, nil)
		p.server.SetFreeHandshakes(0)
		_, err := p.client.Open(context.Background(), p.server.Addr(), "", peer.KindRequest)
		expectNotRun(err)
		gomega.Expect(p.count("refusals+reason=handshake_limit")()).To(gomega.BeNumerically(">=", 1))
		p.server.SetFreeHandshakes(1)
		gomega.Expect(roundTrip(p.client, p.server.Addr(), peer.KindRequest, "mine")).To(gomega.Equal("mine"))
	})

	// The operator replaces the authority during an exchange. The running
	// exchange continues over the old connection. New ones use a connection
	// made with the new files. A peer that still presents a certificate of the
	// old authority is refused, even on its existing connection.
	ginkgo.It("keys can be replaced while streams run", func() {
		old, next := newAuthority(), newAuthority()
		serverDir, clientDir := ginkgo.GinkgoT().TempDir(), ginkgo.GinkgoT().TempDir()
		serverKeys := loadFiles(old, serverDir, fleet.RoleAgent, "agent-1")
		clientKeys := loadFiles(old, clientDir, fleet.RoleEntry, "entry-1")
		p := newPair(echo, func(server, client *peer.Options) { server.Keys, client.Keys = serverKeys, clientKeys })
		oldAuthorityClient := start(peer.Options{Keys: newStore(old, fleet.RoleEntry, "entry-2")})
		gomega.Expect(roundTrip(oldAuthorityClient, p.server.Addr(), peer.KindRequest, "before")).To(gomega.Equal("before"))
		running := p.open(peer.KindRequest)
		gomega.Expect(running.Send(testMessage{Text: "1"})).To(gomega.Succeed())
		gomega.Expect(running.Recv(&testMessage{})).To(gomega.Succeed())

		loadFiles(next, serverDir, fleet.RoleAgent, "agent-1")
		loadFiles(next, clientDir, fleet.RoleEntry, "entry-1")
		gomega.Expect(serverKeys.Reload()).To(gomega.Succeed())
		gomega.Expect(clientKeys.Reload()).To(gomega.Succeed())
		p.server.Sweep(time.Now())
		p.client.Sweep(time.Now())

		gomega.Expect(running.Send(testMessage{Text: "2"})).To(gomega.Succeed())
		gomega.Expect(running.Recv(&testMessage{})).To(gomega.Succeed())
		gomega.Expect(roundTrip(p.client, p.server.Addr(), peer.KindRequest, "after")).To(gomega.Equal("after"))
		_, err := roundTrip(oldAuthorityClient, p.server.Addr(), peer.KindRequest, "after")
		expectNotRun(err)
		running.Abort()
		p.client.Sweep(time.Now().Add(peer.CloseDelay))
		gomega.Eventually(func() int { return p.client.Stats().Dialled }, waitTimeout).Should(gomega.Equal(1))
	})
})

func badCertificateEntries() []ginkgo.TableEntry {
	var out []ginkgo.TableEntry
	for name := range badCertificates {
		out = append(out, ginkgo.Entry(name, name))
	}
	return out
}
