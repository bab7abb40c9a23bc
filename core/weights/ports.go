package weights

import (
	"context"

	"chivespindle.example/core/fleet"
)

// Source is a place of the platform that holds weights: the origin or the
// rate-limited weight store. Failures are failure.Unavailable, RateLimited
// (with RetryAfter), NotFound or Corrupt. Nothing it returns is checked; the
// caller checks digests.
type Source interface {
	// Manifest returns the encoded manifest with this digest.
	Manifest(ctx context.Context, manifest fleet.Digest) ([]byte, error)
	// Chunk returns the bytes of one chunk. It gives up when no byte has
	// arrived for its stall timeout, whatever ctx allows, since a stalled
	// link does not close. With an error it may return the bytes that came
	// before, since they crossed the source's link and count as drawn.
	Chunk(ctx context.Context, manifest fleet.Digest, chunk Chunk) ([]byte, error)
}

// Stage is where an instance keeps the chunks of a version before and after
// its engine loads it. The process is small and the instance has no disk, so
// in production the engine keeps the bytes and gives them back for peers.
type Stage interface {
	// Held returns the indexes that the stage holds of a manifest. A stage may
	// outlive the process, so this is asked at start.
	Held(ctx context.Context, manifest fleet.Digest) ([]int, error)
	// Put stores one checked chunk.
	Put(ctx context.Context, manifest fleet.Digest, index int, data []byte) error
	// Get returns one chunk, failure.NotFound if the stage does not hold it.
	Get(ctx context.Context, manifest fleet.Digest, index int) ([]byte, error)
	// Drop forgets a manifest's chunks; no error if there are none.
	Drop(ctx context.Context, manifest fleet.Digest) error
}
