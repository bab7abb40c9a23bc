package keys

import (
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"

	"chivespindle.example/core/failure"
)

// firstCertificate parses the first certificate of a PEM file.
func firstCertificate(data []byte) (*x509.Certificate, error) {
	for block, rest := pem.Decode(data); block != nil; block, rest = pem.Decode(rest) {
		if block.Type == "CERTIFICATE" {
			return x509.ParseCertificate(block.Bytes)
		}
	}
	return nil, failure.Invalid.New("holds no PEM certificate")
}

// checkKey returns an error unless a PEM file contains a private key in one of
// the encodings that crypto/tls supports.
func checkKey(data []byte) error {
	for block, rest := pem.Decode(data); block != nil; block, rest = pem.Decode(rest) {
		if _, err := x509.ParsePKCS8PrivateKey(block.Bytes); err == nil {
			return nil
		}
		if _, err := x509.ParseECPrivateKey(block.Bytes); err == nil {
			return nil
		}
		if _, err := x509.ParsePKCS1PrivateKey(block.Bytes); err == nil {
			return nil
		}
	}
	return failure.Invalid.New("holds no PEM private key")
}

func parseChain(pair tls.Certificate) ([]*x509.Certificate, error) {
	chain := make([]*x509.Certificate, 0, len(pair.Certificate))
	for _, der := range pair.Certificate {
		cert, err := x509.ParseCertificate(der)
		if err != nil {
			return nil, err
		}
		chain = append(chain, cert)
	}
	return chain, nil
}

// verifyChain verifies that the first certificate is currently valid, signed by
// an authority of the pool, if necessary through the other certificates, and
// allowed for the usage.
func verifyChain(chain []*x509.Certificate, pool *x509.CertPool, usage x509.ExtKeyUsage) error {
	intermediates := x509.NewCertPool()
	for _, cert := range chain[1:] {
		intermediates.AddCert(cert)
	}
	_, err := chain[0].Verify(x509.VerifyOptions{
		Roots:         pool,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{usage},
	})
	return err
}
