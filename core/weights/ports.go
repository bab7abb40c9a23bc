package weights

import (
	"context"

	"chivespindle.example/core/fleet"
)

// Source is an upstream source of weights on the platform: the origin or the
// rate-limited weight store. Failures are failure.Unavailable, RateLimited (with
// RetryAfter), NotFound or Corrupt. Returned data is not verified; the caller checks
// digests.
type Source interface {
	// Manifest returns the encoded manifest with this digest.
	Manifest(ctx context.Context, manifest fleet.Digest) ([]byte, error)
	// Chunk returns the bytes of one chunk. It fails if no byte has arrived for its
	// stall timeout, even if ctx allows more time, since a stalled link does not close.
	// With an error it may return the bytes received before it, since they crossed the
	// source's link and count towards its usage.
	Chunk(ctx context.Context, manifest fleet.Digest, chunk Chunk) ([]byte, error)
}

// Stage stores the chunks of a version on an instance before and after its engine loads
// it. The process has little memory and the instance has no disk, so in production the
// engine keeps the bytes and returns them for peers.
type Stage interface {
	// Held returns the indexes of the chunks of a manifest that the stage holds. A
	// stage may outlive the process, so the agent calls this at start.
	Held(ctx context.Context, manifest fleet.Digest) ([]int, error)
	// Put stores one verified chunk.
	Put(ctx context.Context, manifest fleet.Digest, index int, data []byte) error
	// Get returns one chunk, failure.NotFound if the stage does not hold it.
	Get(ctx context.Context, manifest fleet.Digest, index int) ([]byte, error)
	// Drop deletes the chunks of a manifest; no error if there are none.
	Drop(ctx context.Context, manifest fleet.Digest) error
}
