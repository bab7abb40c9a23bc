package quarantine

import (
	"encoding/binary"
	"encoding/hex"

	"github.com/zeebo/blake3"

	"chivespindle.example/core/fleet"
)

const (
	// fingerprintBytes is enough that no two requests share a fingerprint by chance.
	fingerprintBytes = 16
	// shownBytes is how much of a fingerprint logs show.
	shownBytes = 6
)

// Fingerprint identifies a request by its content, over retries under other
// request ids and at other entries.
type Fingerprint [fingerprintBytes]byte

// String returns the start of the fingerprint, for logs.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:shownBytes]) }

// Content is what retries of a request have in common.
type Content struct {
	Workspace    fleet.Workspace
	Method, Host string
	// Target is the path with the query.
	Target string
	Body   []byte
}

// Fingerprint returns the fingerprint of a request with this content.
func (c Content) Fingerprint() Fingerprint {
	h := blake3.New()
	write := func(field []byte) {
		// Lengths keep adjacent fields from running into each other.
		_, _ = h.Write(binary.LittleEndian.AppendUint64(nil, uint64(len(field)))) // a hash never fails
		_, _ = h.Write(field)
	}
	for _, field := range []string{string(c.Workspace), c.Method, c.Host, c.Target} {
		write([]byte(field))
	}
	write(c.Body)
	return Fingerprint(h.Sum(nil)[:fingerprintBytes])
}
