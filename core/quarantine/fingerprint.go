package quarantine

import (
	"encoding/binary"
	"encoding/hex"

	"github.com/zeebo/blake3"

	"chivespindle.example/core/fleet"
)

const (
	// fingerprintBytes is long enough to rule out accidental collisions.
	fingerprintBytes = 16
	// shownBytes is the length of the fingerprint prefix shown in logs.
	shownBytes = 6
)

// Fingerprint identifies a request by its content, across retries under other
// request IDs and at other entries.
type Fingerprint [fingerprintBytes]byte

// String returns a prefix of the fingerprint in hex, for logs.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:shownBytes]) }

// Content is the part of a request that its retries have in common.
type Content struct {
	Workspace    fleet.Workspace
	Method, Host string
	// Target is the path including the query.
	Target string
	Body   []byte
}

// Fingerprint returns the fingerprint of a request with this content.
func (c Content) Fingerprint() Fingerprint {
	h := blake3.New()
	write := func(field []byte) {
		// The length prefix keeps the boundaries between fields unambiguous.
		_, _ = h.Write(binary.LittleEndian.AppendUint64(nil, uint64(len(field)))) // hash.Hash.Write never returns an error
		_, _ = h.Write(field)
	}
	for _, field := range []string{string(c.Workspace), c.Method, c.Host, c.Target} {
		write([]byte(field))
	}
	write(c.Body)
	return Fingerprint(h.Sum(nil)[:fingerprintBytes])
}
