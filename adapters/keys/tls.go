package keys

import (
	"crypto/tls"
	"crypto/x509"
)

// Protocol is the ALPN name of the transport between processes. It changes when
// the frame format changes in a way that older processes cannot read.
const Protocol = "chivespindle/1"

// ServerTLS returns the configuration for the accepting side. The callbacks
// read the store at each handshake, so the configuration stays valid after
// Reload.
func (s *Store) ServerTLS() *tls.Config {
	conf := s.baseTLS(x509.ExtKeyUsageClientAuth)
	conf.ClientAuth = tls.RequireAnyClientCert
	conf.GetCertificate = func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
		return &s.current.Load().certificate, nil
	}
	return conf
}

// ClientTLS returns the configuration for the dialling side, as ServerTLS.
func (s *Store) ClientTLS() *tls.Config {
	conf := s.baseTLS(x509.ExtKeyUsageServerAuth)
	conf.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
		return &s.current.Load().certificate, nil
	}
	return conf
}

// baseTLS disables the verification of DNS and IP names, which these
// certificates do not contain, and verifies the complete chain in
// VerifyConnection instead. Resumption is disabled: each connection presents
// its certificate again, so that a replaced authority takes effect at the next
// handshake.
func (s *Store) baseTLS(peerUsage x509.ExtKeyUsage) *tls.Config {
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		NextProtos:             []string{Protocol},
		InsecureSkipVerify:     true, // VerifyConnection verifies the chain instead
		SessionTicketsDisabled: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			return s.verify(state.PeerCertificates, peerUsage)
		},
	}
}

// Check returns an error unless a peer's certificates, its own first, would be
// accepted now. The failure is PeerRefused.
func (s *Store) Check(chain []*x509.Certificate) error {
	return s.verify(chain, x509.ExtKeyUsageAny)
}

func (s *Store) verify(chain []*x509.Certificate, usage x509.ExtKeyUsage) error {
	if len(chain) == 0 {
		return PeerRefused.New("the peer showed no certificate")
	}
	if s.acceptAny {
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
