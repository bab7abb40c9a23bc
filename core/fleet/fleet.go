// Package fleet defines the basic identifiers of the system: instances, their places,
// services and model versions. Apart from comparing, hashing, parsing and printing them
// it has no behaviour.
package fleet

import (
	"encoding/hex"
	"net/netip"

	"github.com/zeebo/blake3"

	"chivespindle.example/core/failure"
)

// InstanceID identifies one process of the system on one instance for the lifetime of
// that instance. A replacement has another ID.
type InstanceID string

// Zone is the name of an availability zone, unique across all regions.
type Zone string

// Region is the name of a region.
type Region string

// ServiceName is the name of a service in the operator's configuration.
type ServiceName string

// Workspace is the name of a customer, to which request limits apply.
type Workspace string

// Role is the role of a process.
type Role string

const (
	// RoleEntry accepts requests from clients.
	RoleEntry Role = "entry"
	// RoleAgent runs alongside one backend server.
	RoleAgent Role = "agent"
	// RoleOperator is a command-line client that may read status.
	RoleOperator Role = "operator"
)

// Place is where an instance runs.
type Place struct {
	Zone   Zone   `cbor:"1,keyasint" json:"zone"`
	Region Region `cbor:"2,keyasint" json:"region"`
}

// Distance is the network distance between two places; a lower value is nearer.
type Distance uint8

// Distances in ascending order.
const (
	SameZone Distance = iota
	SameRegion
	OtherRegion
)

// DistanceTo returns the distance to another place.
func (p Place) DistanceTo(other Place) Distance {
	switch {
	case p.Zone == other.Zone:
		return SameZone
	case p.Region == other.Region:
		return SameRegion
	default:
		return OtherRegion
	}
}

// Instance is one element of the platform's instance list. The list lags: a removed
// instance may still be listed, or a new one be missing, for tens of seconds.
type Instance struct {
	ID      InstanceID  `json:"id"`
	Role    Role        `json:"role"`
	Service ServiceName `json:"service,omitempty"` // empty for an entry
	Place
	// PeerAddr is the UDP address of the process's QUIC listener.
	PeerAddr netip.AddrPort `json:"peer_addr"`
	// CallerAddr is the TCP address for clients; zero for an agent.
	CallerAddr netip.AddrPort `json:"caller_addr,omitzero"`
	// Leaving is true once the platform has announced the termination of the instance.
	Leaving bool `json:"leaving"`
}

// DigestSize is the length of a Digest in bytes.
const DigestSize = 32

// Digest is a BLAKE3-256 digest. Its text form is 64 lower-case hex digits.
type Digest [DigestSize]byte

// DigestOf returns the digest of data.
func DigestOf(data []byte) Digest {
	return blake3.Sum256(data)
}

// ParseDigest parses the text form of a digest.
func ParseDigest(text string) (Digest, error) {
	var d Digest
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != DigestSize {
		return Digest{}, failure.Invalid.New("digest must be %d hex digits, got %q", 2*DigestSize, text)
	}
	copy(d[:], raw)
	return d, nil
}

// String returns the text form.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// IsZero reports whether d is the zero digest, which stands for no digest.
func (d Digest) IsZero() bool { return d == Digest{} }

// MarshalText implements encoding.TextMarshaler.
func (d Digest) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Digest) UnmarshalText(text []byte) error {
	parsed, err := ParseDigest(string(text))
	if err != nil {
		return err
	}
	*d = parsed
	return nil
}

// Version identifies a version of a model by a human-readable name and the digest of its
// manifest, which determines every byte. Two versions are equal only if both fields are.
type Version struct {
	Name     string `cbor:"1,keyasint" json:"name"`
	Manifest Digest `cbor:"2,keyasint" json:"manifest"`
}

// IsZero reports whether v is the zero value, which stands for no version.
func (v Version) IsZero() bool { return v == Version{} }

// String returns "name@" and the first twelve digits of the digest.
func (v Version) String() string {
	const shownDigits = 12
	return v.Name + "@" + v.Manifest.String()[:shownDigits]
}
