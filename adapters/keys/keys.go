// Package keys holds the certificate, the private key and the trusted
// authorities that a process uses for connections to the other processes of the
// system.
//
// Connections are made by IP address, so no DNS or IP name is checked. A peer's
// identity is the URI name of its certificate, provided that the certificate is
// signed by a configured authority. A Store can be reloaded while connections
// are open: handshakes that start after the reload use the new files.
//
// A connection that was established before a reload stays open; TLS does not
// request certificates again. Its owner watches Generation, calls Check, and
// retires the connections whose peer is not accepted any more. Package peer
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
	// FileMissing: a file does not exist.
	FileMissing = failure.Invalid.NewSubtype("key_file_missing")
	// FileUnreadable: a file cannot be read or is not PEM of the expected type.
	FileUnreadable = failure.Invalid.NewSubtype("key_file_unreadable")
	// Expired: the certificate has expired or is not valid yet.
	Expired = failure.Invalid.NewSubtype("certificate_expired")
	// KeyMismatch: the private key belongs to another certificate.
	KeyMismatch = failure.Invalid.NewSubtype("key_mismatch")
	// NotSigned: the certificate is not signed by the authority.
	NotSigned = failure.Invalid.NewSubtype("certificate_not_signed")
	// RoleMissing: the certificate does not contain exactly one valid role and
	// instance ID.
	RoleMissing = failure.Invalid.NewSubtype("certificate_role_missing")
	// IdentityChanged: a reload would change the process's instance ID or role.
	IdentityChanged = failure.Invalid.NewSubtype("identity_changed")
	// PeerRefused: the peer's certificate is not accepted.
	PeerRefused = failure.Refused.NewSubtype("peer_certificate")
)

// Files are the paths of the PEM files of one process.
type Files struct {
	Authority   string // certificates of the authorities; old and new during a replacement
	Certificate string // the process's own certificate, then any intermediates
	Key         string // the private key of the certificate
}

// Store holds the contents of Files. It is safe for concurrent use.
type Store struct {
	files     Files
	acceptAny bool // any peer's certificate is accepted; see Ephemeral
	current   atomic.Pointer[material]
	reloadMu  sync.Mutex
}

// material is the immutable result of reading the three files once.
type material struct {
	certificate tls.Certificate
	authority   *x509.CertPool
	identity    Identity
	secret      []byte // encoded private key, from which other keys are derived
	generation  uint64 // 1 after Load, incremented by each Reload that found changed files
	filesDigest fleet.Digest
}

// Load reads and verifies the files.
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

// Reload reads the files again. On failure the old material stays active.
// Unchanged files do not start a new generation: connections are replaced for
// each generation, and the files are checked every half minute. The identity
// cannot change: an instance keeps its ID for life, and peers know it by that
// ID.
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
	if read.filesDigest == old.filesDigest {
		return nil
	}
	read.generation = old.generation + 1
	s.current.Store(read)
	return nil
}

// Identity returns the identity of this process.
func (s *Store) Identity() Identity { return s.current.Load().identity }

// Generation identifies the version of the files in use: it is 1 after Load and
// is incremented by each Reload that found changed files.
func (s *Store) Generation() uint64 { return s.current.Load().generation }

// Expires returns the expiry of the process's own certificate. After it, no
// peer accepts new connections of this process.
func (s *Store) Expires() time.Time { return s.current.Load().certificate.Leaf.NotAfter }

// Secret derives a 32-byte key from the private key. It is the same in the next
// process that reads the same key file, and reveals nothing about the private
// key. Keys of different purposes are unrelated.
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
	read.filesDigest = fleet.DigestOf(bytes.Join([][]byte{authorityPEM, certPEM, keyPEM}, []byte{0}))
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

// parsePair parses the certificate and the key. It distinguishes a key of
// another certificate from a broken file, which tls.X509KeyPair reports as
// untyped errors.
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
