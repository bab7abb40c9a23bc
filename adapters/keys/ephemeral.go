package keys

import (
	"crypto/ed25519"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"math/big"
	"net/url"
	"time"

	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
)

// ephemeralValidity is the validity of a certificate of Ephemeral: longer than
// any process runs, since nothing replaces it.
const ephemeralValidity = 10 * 365 * 24 * time.Hour

// Ephemeral returns a store with a self-signed certificate that is generated
// for this process, for a platform that issues no keys. Any peer's certificate
// is accepted, and its identity is not verified: connections are encrypted but
// not authenticated. docs/design/platform.md describes what an attacker could
// do.
func Ephemeral(identity Identity) (*Store, error) {
	uri, err := identity.URI()
	if err != nil {
		return nil, err
	}
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return nil, failure.Internal.Wrap(err, "make a key")
	}
	leaf, raw, err := selfSigned(uri, public, private)
	if err != nil {
		return nil, err
	}
	s := &Store{acceptAny: true}
	s.current.Store(&material{
		certificate: tls.Certificate{Certificate: [][]byte{raw}, PrivateKey: private, Leaf: leaf},
		authority:   x509.NewCertPool(),
		identity:    identity,
		// Derived from the identity and not the key, so that the next process
		// on the instance can reset the connections of its predecessor: the
		// peers would only notice by a timeout.
		secret:      []byte(identity.String()),
		generation:  1,
		filesDigest: fleet.DigestOf(raw),
	})
	return s, nil
}

func selfSigned(uri *url.URL, public ed25519.PublicKey, private ed25519.PrivateKey) (*x509.Certificate, []byte, error) {
	now := time.Now()
	template := &x509.Certificate{
		SerialNumber: big.NewInt(now.UnixNano()),
		URIs:         []*url.URL{uri},
		NotBefore:    now.Add(-ephemeralValidity),
		NotAfter:     now.Add(ephemeralValidity),
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, template, public, private)
	if err != nil {
		return nil, nil, failure.Internal.Wrap(err, "make a certificate")
	}
	leaf, err := x509.ParseCertificate(raw)
	if err != nil {
		return nil, nil, failure.Internal.Wrap(err, "read the certificate that was made")
	}
	return leaf, raw, nil
}
