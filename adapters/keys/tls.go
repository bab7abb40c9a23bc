package keys

import (
	"crypto/tls"
	"crypto/x509"
)

// Protocol is the ALPN name of the transport between processes. It changes
// when frames change in a way that older processes cannot read.
const Protocol = "chivespindle/1"

// ServerTLS returns the settings for the side that accepts connections. The
// callbacks read the store at each handshake, so the value stays valid over
// Reload.
func (s *Store) ServerTLS() *tls.Config {
	conf := s.baseTLS(x509.ExtKeyUsageClientAuth)
	conf.ClientAuth = tls.RequireAnyClientCert
	conf.GetCertificate = func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
		return &s.current.Load().certificate, nil
	}
	return conf
}

// ClientTLS returns the settings for the side that dials, as ServerTLS.
func (s *Store) ClientTLS() *tls.Config {
	conf := s.baseTLS(x509.ExtKeyUsageServerAuth)
	conf.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
		return &s.current.Load().certificate, nil
	}
	return conf
}

// baseTLS turns off the check of DNS and IP names, which these certificates do
// not carry, and does the whole check of the chain in VerifyConnection
// instead. Resumption is off: each connection shows its certificate anew, so
// that a replaced authority takes effect at the next handshake.
func (s *Store) baseTLS(peerUsage x509.ExtKeyUsage) *tls.Config {
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		NextProtos:             []string{Protocol},
		InsecureSkipVerify:     true, // VerifyConnection checks instead
		SessionTicketsDisabled: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			return s.verify(state.PeerCertificates, peerUsage)
		},
	}
}

// Check reports whether a peer's certificates, own first, would be accepted
// now. The failure is PeerRefused.
func (s *Store) Check(chain []*x509.Certificate) error {
	return s.verify(chain, x509.ExtKeyUsageAny)
}

func (s *Store) verify(chain []*x509.Certificate, usage x509.ExtKeyUsage) error {
	if len(chain) == 0 {
		return PeerRefused.New("the peer showed no certificate")
	}
	if s.open {
		_, err := IdentityOf(chain[0])
		return err
	}
	if err := verifyChain(chain, s.current.Load().authority, usage); err != nil {
		return PeerRefused.Wrap(err, "certificate of %q", chain[0].Subject.CommonName)
	}
	if _, err := IdentityOf(chain[0]); err != nil {
		return PeerRefused.Wrap(err, "certificate of %q", chain[0].Subject.CommonName)
	}
	return nil
}
