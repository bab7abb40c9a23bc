// Package weights describes the bytes of a model version and verifies them.
//
// A manifest lists the chunks of one version in order. The operator's text pins the
// digest of the manifest, so a chain of digests leads from the text to every byte that
// an engine may load.
package weights

import (
	"crypto/sha256"

	"github.com/fxamacker/cbor/v2"

	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
)

// Limits of a manifest. They bound the memory that a decoder allocates.
const (
	// MaxChunks is the maximum number of chunks of one version.
	MaxChunks = 1 << 17
	// MaxChunkBytes is the maximum size of one chunk.
	MaxChunkBytes = 64 << 20
)

// Hash is the hash function of a chunk's digest.
type Hash uint8

const (
	// BLAKE3 is the hash of manifests created by this product.
	BLAKE3 Hash = iota
	// SHA256 is the hash of origins that publish SHA-256 digests.
	SHA256
)

// Chunk is one piece of a version.
type Chunk struct {
	Index  int          `cbor:"1,keyasint"`
	Bytes  int          `cbor:"2,keyasint"`
	Digest fleet.Digest `cbor:"3,keyasint"`
	Hash   Hash         `cbor:"4,keyasint,omitzero"`
}

// Manifest lists the chunks of a version.
type Manifest struct {
	Model  string  `cbor:"1,keyasint"`
	Chunks []Chunk `cbor:"2,keyasint"`
}

// Encode returns the canonical CBOR encoding and its digest, which identifies the
// manifest.
func (m Manifest) Encode() ([]byte, fleet.Digest, error) {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		return nil, fleet.Digest{}, failure.Internal.Wrap(err, "cbor mode")
	}
	raw, err := mode.Marshal(m)
	if err != nil {
		return nil, fleet.Digest{}, failure.Internal.Wrap(err, "encode manifest")
	}
	return raw, fleet.DigestOf(raw), nil
}

// Decode checks raw against the digest pinned by the operator's text, then decodes and
// validates it. Failures are failure.Corrupt.
func Decode(raw []byte, want fleet.Digest) (Manifest, error) {
	if got := fleet.DigestOf(raw); got != want {
		return Manifest{}, failure.Corrupt.New("manifest has digest %s, want %s", got, want)
	}
	var m Manifest
	if err := cbor.Unmarshal(raw, &m); err != nil {
		return Manifest{}, failure.Corrupt.Wrap(err, "decode manifest")
	}
	if err := m.check(); err != nil {
		return Manifest{}, err
	}
	return m, nil
}

func (m Manifest) check() error {
	if len(m.Chunks) == 0 || len(m.Chunks) > MaxChunks {
		return failure.Corrupt.New("manifest has %d chunks, want 1 to %d", len(m.Chunks), MaxChunks)
	}
	for i, c := range m.Chunks {
		if c.Index != i {
			return failure.Corrupt.New("chunk %d of the manifest has index %d", i, c.Index)
		}
		if c.Bytes <= 0 || c.Bytes > MaxChunkBytes {
			return failure.Corrupt.New("chunk %d of the manifest has %d bytes", i, c.Bytes)
		}
	}
	return nil
}

// TotalBytes returns the size of one complete copy.
func (m Manifest) TotalBytes() int64 {
	var sum int64
	for _, c := range m.Chunks {
		sum += int64(c.Bytes)
	}
	return sum
}

// Verify checks data against the size and digest of the chunk and returns
// failure.Corrupt if they differ.
func (c Chunk) Verify(data []byte) error {
	if len(data) != c.Bytes {
		return failure.Corrupt.New("chunk %d has %d bytes, want %d", c.Index, len(data), c.Bytes)
	}
	if got := c.Hash.of(data); got != c.Digest {
		return failure.Corrupt.New("chunk %d has digest %s, want %s", c.Index, got, c.Digest)
	}
	return nil
}

func (h Hash) of(data []byte) fleet.Digest {
	if h == SHA256 {
		return sha256.Sum256(data)
	}
	return fleet.DigestOf(data)
}

// Split splits a blob into chunks of at most chunkBytes and returns the manifest.
func Split(model string, blob []byte, chunkBytes int) Manifest {
	m := Manifest{Model: model}
	for start := 0; start < len(blob); start += chunkBytes {
		end := min(start+chunkBytes, len(blob))
		piece := blob[start:end]
		m.Chunks = append(m.Chunks, Chunk{Index: len(m.Chunks), Bytes: len(piece), Digest: fleet.DigestOf(piece)})
	}
	return m
}
