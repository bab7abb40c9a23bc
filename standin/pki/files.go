package pki

import (
	"crypto/ecdsa"
	"crypto/x509"
	"encoding/pem"
	"os"
	"path/filepath"

	"chivespindle.example/adapters/keys"
	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
)

// Names of the authority's files.
const (
	AuthorityFile    = "authority.pem"
	AuthorityKeyFile = "authority-key.pem"
)

const (
	certificateBlockType = "CERTIFICATE"
	keyBlockType         = "PRIVATE KEY"

	dirMode  = 0o755
	certMode = 0o644
	keyMode  = 0o600
)

// Save writes the authority's certificate and key to dir, where Open can read
// them.
func (a *Authority) Save(dir string) error {
	keyPEM, err := encodeKey(a.key)
	if err != nil {
		return err
	}
	if err := writeFile(dir, AuthorityFile, a.PEM(), certMode); err != nil {
		return err
	}
	return writeFile(dir, AuthorityKeyFile, keyPEM, keyMode)
}

// Open reads an authority written by Save.
func Open(dir string) (*Authority, error) {
	certDER, err := readBlock(filepath.Join(dir, AuthorityFile), certificateBlockType)
	if err != nil {
		return nil, err
	}
	keyDER, err := readBlock(filepath.Join(dir, AuthorityKeyFile), keyBlockType)
	if err != nil {
		return nil, err
	}
	cert, err := x509.ParseCertificate(certDER)
	if err != nil {
		return nil, failure.Invalid.Wrap(err, "%s", filepath.Join(dir, AuthorityFile))
	}
	parsed, err := x509.ParsePKCS8PrivateKey(keyDER)
	if err != nil {
		return nil, failure.Invalid.Wrap(err, "%s", filepath.Join(dir, AuthorityKeyFile))
	}
	key, ok := parsed.(*ecdsa.PrivateKey)
	if !ok {
		return nil, failure.Invalid.New("%s: not an ECDSA key", filepath.Join(dir, AuthorityKeyFile))
	}
	return &Authority{cert: cert, key: key}, nil
}

// WriteFiles issues a certificate and writes it, its key and the authority's
// certificate to dir, as <role>-<id>.pem, <role>-<id>-key.pem and
// authority.pem. It replaces existing files of the same identity.
func (a *Authority) WriteFiles(dir string, role fleet.Role, id fleet.InstanceID) (keys.Files, error) {
	return a.WriteTemplate(dir, Template{Identity: keys.Identity{ID: id, Role: role}})
}

// WriteTemplate is like WriteFiles for the certificate described by a template.
func (a *Authority) WriteTemplate(dir string, t Template) (keys.Files, error) {
	certPEM, keyPEM, err := a.Sign(t)
	if err != nil {
		return keys.Files{}, err
	}
	name := string(t.Identity.Role) + "-" + string(t.Identity.ID)
	if err := writeFile(dir, AuthorityFile, a.PEM(), certMode); err != nil {
		return keys.Files{}, err
	}
	if err := writeFile(dir, name+".pem", certPEM, certMode); err != nil {
		return keys.Files{}, err
	}
	if err := writeFile(dir, name+"-key.pem", keyPEM, keyMode); err != nil {
		return keys.Files{}, err
	}
	return keys.Files{
		Authority:   filepath.Join(dir, AuthorityFile),
		Certificate: filepath.Join(dir, name+".pem"),
		Key:         filepath.Join(dir, name+"-key.pem"),
	}, nil
}

func encodeKey(key *ecdsa.PrivateKey) ([]byte, error) {
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return nil, failure.Internal.Wrap(err, "encode the key")
	}
	return pem.EncodeToMemory(&pem.Block{Type: keyBlockType, Bytes: der}), nil
}

func readBlock(path, blockType string) ([]byte, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, failure.Invalid.Wrap(err, "read the authority")
	}
	block, _ := pem.Decode(data)
	if block == nil || block.Type != blockType {
		return nil, failure.Invalid.New("%s: holds no PEM block %q", path, blockType)
	}
	return block.Bytes, nil
}

func writeFile(dir, name string, data []byte, mode os.FileMode) error {
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return failure.Invalid.Wrap(err, "create the directory")
	}
	if err := os.WriteFile(filepath.Join(dir, name), data, mode); err != nil {
		return failure.Invalid.Wrap(err, "write the file")
	}
	return nil
}
