package loader

import (
	"context"

	"chivespindle.example/core/failure"
	"chivespindle.example/core/loading"
	"chivespindle.example/core/weights"
	"chivespindle.example/daemon/wire"
)

// Declined is the error of an order that the engine refused. The load has not started.
var Declined = failure.Namespace.NewType("order_declined", failure.Temporary)

// LoadOrder is an order to load a staged version.
type LoadOrder struct {
	Model   string
	Version uint64
	Layers  loading.Layers
	// After is the number of orders that the engine must have accepted, otherwise it
	// declines.
	After loading.Orders
}

// Engine is the model engine on the same instance. A call fails with exchange.Refused if no
// process listens.
type Engine interface {
	Report(ctx context.Context) (loading.Engine, error)
	// Held lists the numbers of the chunks that are staged for a model.
	Held(ctx context.Context, model string) ([]int, error)
	// Put stages a chunk and replaces a staged chunk with the same number.
	Put(ctx context.Context, model string, number int, data []byte) error
	// Get returns a staged chunk, which may have become corrupt in the stage.
	Get(ctx context.Context, model string, number int) ([]byte, error)
	// Load orders the engine to load staged weights, once its running calls have ended. It
	// returns false if the engine has loaded them already and does nothing. It fails with
	// Declined if the engine refuses. After any other error the engine may still accept the
	// order at any time.
	Load(ctx context.Context, order LoadOrder) (begun bool, err error)
}

// Origin serves complete copies of a model's weights.
type Origin interface {
	// Manifest returns the manifest of a version, or of the newest version if version
	// is 0, and the number of that version.
	Manifest(ctx context.Context, supply wire.Supply, version uint64) (weights.Manifest, uint64, error)
	// Chunk returns the bytes of one chunk. With an error it may return the bytes
	// received before it.
	Chunk(ctx context.Context, supply wire.Supply, version uint64, number int) ([]byte, error)
}
