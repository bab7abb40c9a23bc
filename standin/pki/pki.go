// Package pki creates a certificate authority and certificates for tests, the
// demo and the benchmarks. It stands in for the users' own authority:
// everything that it signs is short-lived and must not be used on a real
// instance.
package pki

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net/url"
	"time"

	"chivespindle.example/adapters/keys"
	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
)

// Lifetimes of certificates. They become valid clockSkewAllowance before they are
// issued, because the clocks of two machines may differ.
const (
	authorityLifetime   = 30 * 24 * time.Hour
	certificateLifetime = 7 * 24 * time.Hour
	clockSkewAllowance  = time.Hour
)

const serialBits = 128

// Authority is a certificate authority.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// Template describes a certificate. A zero time selects the default lifetime.
// Tests use it to create certificates that must be refused.
type Template struct {
	Identity  keys.Identity
	NotBefore time.Time
	NotAfter  time.Time
	// URIs replace the URI derived from Identity if not nil.
	URIs []*url.URL
}

// NewAuthority creates an authority with a new key.
func NewAuthority() (*Authority, error) {
	key, err := newKey()
	if err != nil {
		return nil, err
	}
	serial, err := newSerial()
	if err != nil {
		return nil, err
	}
	now := time.Now()
	template := &x509.Certificate{
		SerialNumber:          serial,
		Subject:               pkix.Name{CommonName: "chivespindle stand-in authority"},
		NotBefore:             now.Add(-clockSkewAllowance),
		NotAfter:              now.Add(authorityLifetime),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return nil, failure.Internal.Wrap(err, "sign the certificate of the authority")
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, failure.Internal.Wrap(err, "parse the certificate of the authority")
	}
	return &Authority{cert: cert, key: key}, nil
}

// PEM returns the authority's certificate in PEM.
func (a *Authority) PEM() []byte {
	return pem.EncodeToMemory(&pem.Block{Type: certificateBlockType, Bytes: a.cert.Raw})
}

// Issue creates a key and a certificate for one process.
func (a *Authority) Issue(role fleet.Role, id fleet.InstanceID) (certPEM, keyPEM []byte, err error) {
	return a.Sign(Template{Identity: keys.Identity{ID: id, Role: role}})
}

// Sign creates a key and the certificate described by the template.
func (a *Authority) Sign(t Template) (certPEM, keyPEM []byte, err error) {
	template, err := t.certificate()
	if err != nil {
		return nil, nil, err
	}
	key, err := newKey()
	if err != nil {
		return nil, nil, err
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, key.Public(), a.key)
	if err != nil {
		return nil, nil, failure.Internal.Wrap(err, "sign the certificate of %s", t.Identity)
	}
	keyPEM, err = encodeKey(key)
	if err != nil {
		return nil, nil, err
	}
	certPEM = pem.EncodeToMemory(&pem.Block{Type: certificateBlockType, Bytes: der})
	return certPEM, keyPEM, nil
}

func (t Template) certificate() (*x509.Certificate, error) {
	serial, err := newSerial()
	if err != nil {
		return nil, err
	}
	uris := t.URIs
	if uris == nil {
		uri, err := t.Identity.URI()
		if err != nil {
			return nil, err
		}
		uris = []*url.URL{uri}
	}
	now := time.Now()
	cert := &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: t.Identity.String()},
		NotBefore:    t.NotBefore,
		NotAfter:     t.NotAfter,
		URIs:         uris,
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	if cert.NotBefore.IsZero() {
		cert.NotBefore = now.Add(-clockSkewAllowance)
	}
	if cert.NotAfter.IsZero() {
		cert.NotAfter = now.Add(certificateLifetime)
	}
	return cert, nil
}

func newKey() (*ecdsa.PrivateKey, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, failure.Internal.Wrap(err, "generate a key")
	}
	return key, nil
}

func newSerial() (*big.Int, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, failure.Internal.Wrap(err, "generate a serial number")
	}
	return serial, nil
}
