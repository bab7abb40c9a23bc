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

// ephemeralLife is how long a certificate of Ephemeral is good: longer than
// any process runs, since nothing replaces it.
const ephemeralLife = 10 * 365 * 24 * time.Hour

// Ephemeral returns a store with a certificate that was made for this process
// alone, for a platform that hands out no keys. Any peer's certificate is
// accepted, and a peer is whom it says it is: connections are encrypted but
// prove nothing. docs/design/platform.md says what a stranger could do.
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
	s := &Store{open: true}
	s.current.Store(&material{
		certificate: tls.Certificate{Certificate: [][]byte{raw}, PrivateKey: private, Leaf: leaf},
		authority:   x509.NewCertPool(),
		identity:    identity,
		// From the identity and not the key, so that the next process on the
		// instance resets the connections of its predecessor: their other ends
		// would only find out by a timeout.
		secret:     []byte(identity.String()),
		generation: 1,
		content:    fleet.DigestOf(raw),
	})
	return s, nil
}

func selfSigned(uri *url.URL, public ed25519.PublicKey, private ed25519.PrivateKey) (*x509.Certificate, []byte, error) {
	now := time.Now()
	template := &x509.Certificate{
		SerialNumber: big.NewInt(now.UnixNano()),
		URIs:         []*url.URL{uri},
		NotBefore:    now.Add(-ephemeralLife),
		NotAfter:     now.Add(ephemeralLife),
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
