package platform

import (
	"encoding/binary"
	"math/rand/v2"
	"slices"

	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/weights"
)

// MaxModelBytes bounds a synthetic model, which is held in memory.
const MaxModelBytes = 4 << 30

// ModelSpec is the specification of a synthetic model.
type ModelSpec struct {
	Name       string
	Bytes      int64  // total size, 1 to MaxModelBytes
	ChunkBytes int    // size of all chunks but the last, 1 to weights.MaxChunkBytes
	Seed       uint64 // equal seeds give equal chunks, independent of the name
}

// Model is one version of a synthetic model.
type Model struct {
	Version         fleet.Version
	Manifest        weights.Manifest
	EncodedManifest []byte   // the encoded manifest
	Chunks          [][]byte // by index
}

// NewModel generates a model whose bytes depend only on the spec. Its errors
// are failure.Invalid.
func NewModel(spec ModelSpec) (Model, error) {
	if err := spec.check(); err != nil {
		return Model{}, err
	}
	var chunks [][]byte
	for start := int64(0); start < spec.Bytes; start += int64(spec.ChunkBytes) {
		size := min(int64(spec.ChunkBytes), spec.Bytes-start)
		chunks = append(chunks, chunkBytes(spec.Seed, len(chunks), int(size)))
	}
	return assemble(spec.Name, chunks)
}

// Variant returns another version that differs from m only in the chunks with
// the given indexes, like a fine-tuned model. Its errors are failure.Invalid.
func (m Model) Variant(name string, seed uint64, indexes ...int) (Model, error) {
	chunks := slices.Clone(m.Chunks)
	for _, index := range indexes {
		if index < 0 || index >= len(chunks) {
			return Model{}, failure.Invalid.New("chunk %d is not within 0 and %d", index, len(chunks)-1)
		}
		chunks[index] = chunkBytes(seed, index, len(chunks[index]))
	}
	return assemble(name, chunks)
}

func (s ModelSpec) check() error {
	if s.Name == "" {
		return failure.Invalid.New("a model needs a name")
	}
	if s.Bytes < 1 || s.Bytes > MaxModelBytes {
		return failure.Invalid.New("model size %d is not within 1 and %d bytes", s.Bytes, int64(MaxModelBytes))
	}
	if s.ChunkBytes < 1 || s.ChunkBytes > weights.MaxChunkBytes {
		return failure.Invalid.New("chunk size %d is not within 1 and %d bytes", s.ChunkBytes, weights.MaxChunkBytes)
	}
	if count := (s.Bytes-1)/int64(s.ChunkBytes) + 1; count > weights.MaxChunks {
		return failure.Invalid.New("%d chunks are more than %d", count, weights.MaxChunks)
	}
	return nil
}

// chunkBytes generates the bytes of one chunk from the seed of the model.
func chunkBytes(seed uint64, index, size int) []byte {
	var key [32]byte
	binary.LittleEndian.PutUint64(key[0:], seed)
	binary.LittleEndian.PutUint64(key[8:], uint64(index))
	data := make([]byte, size)
	// ChaCha8.Read never fails.
	_, _ = rand.NewChaCha8(key).Read(data)
	return data
}

func assemble(name string, chunks [][]byte) (Model, error) {
	manifest := weights.Manifest{Model: name}
	for index, data := range chunks {
		manifest.Chunks = append(manifest.Chunks, weights.Chunk{
			Index:  index,
			Bytes:  len(data),
			Digest: fleet.DigestOf(data),
		})
	}
	encoded, digest, err := manifest.Encode()
	if err != nil {
		return Model{}, err
	}
	return Model{
		Version:         fleet.Version{Name: name, Manifest: digest},
		Manifest:        manifest,
		EncodedManifest: encoded,
		Chunks:          chunks,
	}, nil
}
