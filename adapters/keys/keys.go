// Package keys holds the certificate, the private key and the authority that
// one process uses towards the other processes of the system.
//
// Connections are made by IP number, so no DNS or IP name is checked. A peer
// is whom its certificate's URI name says, provided that the certificate is
// signed by the authority of the settings. A Store can be reloaded while
// connections run: handshakes that start after the reload use the new files.
//
// A connection that was made before a reload goes on; TLS does not ask for
// certificates again. Its owner watches Generation and asks Check, and takes
// the connections out of use whose peer is not accepted any more. Package peer
// does this.
package keys

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"io/fs"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"
	"github.com/zeebo/blake3"

	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
)

// Failures of Load and Reload. Each message names the file and the reason.
var (
	// FileMissing: a file is not there.
	FileMissing = failure.Invalid.NewSubtype("key_file_missing")
	// FileUnreadable: a file cannot be read or is no PEM of the right sort.
	FileUnreadable = failure.Invalid.NewSubtype("key_file_unreadable")
	// Expired: the certificate is past its end, or before its start.
	Expired = failure.Invalid.NewSubtype("certificate_expired")
	// KeyMismatch: the private key belongs to another certificate.
	KeyMismatch = failure.Invalid.NewSubtype("key_mismatch")
	// NotSigned: the certificate is not signed by the authority.
	NotSigned = failure.Invalid.NewSubtype("certificate_not_signed")
	// RoleMissing: the certificate carries no role and instance id.
	RoleMissing = failure.Invalid.NewSubtype("certificate_role_missing")
	// IdentityChanged: a reload would turn the process into another instance
	// or role.
	IdentityChanged = failure.Invalid.NewSubtype("identity_changed")
	// PeerRefused: the other side's certificate is not accepted.
	PeerRefused = failure.Refused.NewSubtype("peer_certificate")
)

// Files are the paths of the PEM files of one process.
type Files struct {
	Authority   string // certificates of the authorities; old and new while one replaces the other
	Certificate string // the process's own certificate, then any intermediates
	Key         string // the private key of the certificate
}

// Store holds what was read from Files. It is safe for concurrent use.
type Store struct {
	files    Files
	open     bool // any peer is accepted; see Ephemeral
	current  atomic.Pointer[material]
	reloadMu sync.Mutex
}

// material is one consistent reading of the three files. It is never changed.
type material struct {
	certificate tls.Certificate
	authority   *x509.CertPool
	identity    Identity
	secret      []byte // encoding of the private key, source of derived keys
	generation  uint64 // 1 after Load, one more after each Reload that found other files
	content     fleet.Digest
}

// Load reads and checks the files.
func Load(files Files) (*Store, error) {
	read, err := readMaterial(files)
	if err != nil {
		return nil, err
	}
	read.generation = 1
	s := &Store{files: files}
	s.current.Store(read)
	return s, nil
}

// Reload reads the files again. On failure the old material stays in force.
// Files that did not change are no new generation: connections are made anew
// for each generation, and files are looked at every half minute.
// The identity cannot change: an instance keeps its id for life, and peers
// know it by that id.
func (s *Store) Reload() error {
	s.reloadMu.Lock()
	defer s.reloadMu.Unlock()
	read, err := readMaterial(s.files)
	if err != nil {
		return err
	}
	old := s.current.Load()
	if read.identity != old.identity {
		return IdentityChanged.New("%s: names %s, this process is %s", s.files.Certificate, read.identity, old.identity)
	}
	if read.content == old.content {
		return nil
	}
	read.generation = old.generation + 1
	s.current.Store(read)
	return nil
}

// Identity returns who this process is.
func (s *Store) Identity() Identity { return s.current.Load().identity }

// Generation tells two readings of the files apart: it is 1 after Load and one
// more after each Reload that found other files.
func (s *Store) Generation() uint64 { return s.current.Load().generation }

// Expires returns the end of the own certificate. After it, no peer accepts
// new connections of this process.
func (s *Store) Expires() time.Time { return s.current.Load().certificate.Leaf.NotAfter }

// Secret derives a 32-byte key from the private key. It is the same in the
// next process that reads the same key file, and tells nothing of the private
// key. Purpose names the use; different uses get unrelated keys.
func (s *Store) Secret(purpose string) [32]byte {
	var out [32]byte
	blake3.DeriveKey("chivespindle keys 2025 "+purpose, s.current.Load().secret, out[:])
	return out
}

func readMaterial(files Files) (*material, error) {
	authorityPEM, err := readFile(files.Authority)
	if err != nil {
		return nil, err
	}
	certPEM, err := readFile(files.Certificate)
	if err != nil {
		return nil, err
	}
	keyPEM, err := readFile(files.Key)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authorityPEM) {
		return nil, FileUnreadable.New("%s: holds no PEM certificate", files.Authority)
	}
	pair, err := parsePair(files, certPEM, keyPEM)
	if err != nil {
		return nil, err
	}
	read, err := checkMaterial(files, pair, pool)
	if err != nil {
		return nil, err
	}
	read.content = fleet.DigestOf(bytes.Join([][]byte{authorityPEM, certPEM, keyPEM}, []byte{0}))
	return read, nil
}

func checkMaterial(files Files, pair tls.Certificate, pool *x509.CertPool) (*material, error) {
	now := time.Now()
	if now.After(pair.Leaf.NotAfter) || now.Before(pair.Leaf.NotBefore) {
		return nil, Expired.New("%s: valid from %s to %s only", files.Certificate,
			pair.Leaf.NotBefore.Format(time.RFC3339), pair.Leaf.NotAfter.Format(time.RFC3339))
	}
	identity, err := IdentityOf(pair.Leaf)
	if err != nil {
		return nil, errorx.Decorate(err, "%s", files.Certificate)
	}
	chain, err := parseChain(pair)
	if err != nil {
		return nil, FileUnreadable.Wrap(err, "%s", files.Certificate)
	}
	if err := verifyChain(chain, pool, x509.ExtKeyUsageClientAuth); err != nil {
		return nil, NotSigned.Wrap(err, "%s: not signed by the authority in %s", files.Certificate, files.Authority)
	}
	secret, err := x509.MarshalPKCS8PrivateKey(pair.PrivateKey)
	if err != nil {
		return nil, FileUnreadable.Wrap(err, "%s", files.Key)
	}
	return &material{certificate: pair, authority: pool, identity: identity, secret: secret}, nil
}

// parsePair tells a key that belongs to another certificate from a broken
// file, which tls.X509KeyPair reports as bare strings.
func parsePair(files Files, certPEM, keyPEM []byte) (tls.Certificate, error) {
	pair, err := tls.X509KeyPair(certPEM, keyPEM)
	if err == nil {
		return pair, nil
	}
	if _, certErr := firstCertificate(certPEM); certErr != nil {
		return tls.Certificate{}, FileUnreadable.Wrap(certErr, "%s", files.Certificate)
	}
	if keyErr := checkKey(keyPEM); keyErr != nil {
		return tls.Certificate{}, FileUnreadable.Wrap(keyErr, "%s", files.Key)
	}
	return tls.Certificate{}, KeyMismatch.Wrap(err, "%s: not the key of %s", files.Key, files.Certificate)
}

func readFile(path string) ([]byte, error) {
	data, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, FileMissing.New("%s: no such file", path)
	}
	if err != nil {
		return nil, FileUnreadable.Wrap(err, "%s", path)
	}
	return data, nil
}
