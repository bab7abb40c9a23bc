package loader

import (
	"context"

	"chivespindle.example/core/failure"
	"chivespindle.example/core/loading"
	"chivespindle.example/core/weights"
	"chivespindle.example/daemon/wire"
)

// Declined is the failure of an order that the engine did not take; nothing has
// begun.
var Declined = failure.Namespace.NewType("order_declined", failure.Temporary)

// Engine is the model engine on the same instance.
type Engine interface {
	Report(ctx context.Context) (loading.Engine, error)
	// Held lists the chunks that lie staged for a model.
	Held(ctx context.Context, model string) ([]int, error)
	// Put stages a chunk, in place of one of the same number.
	Put(ctx context.Context, model string, number int, data []byte) error
	// Get returns a staged chunk; it may have turned bad there.
	Get(ctx context.Context, model string, number int) ([]byte, error)
	// Load orders the engine to load what is staged, once what it runs has
	// ended, unless it has accepted another order since after was told. It fails
	// with Declined if the engine does not do it. After any other failure the
	// engine may still take the order at any time.
	Load(ctx context.Context, model string, version uint64, after loading.Orders) error
}

// Origin hands out whole copies of a model's weights.
type Origin interface {
	// Manifest returns the manifest of a version, for 0 that of the newest one,
	// and the version that it is of.
	Manifest(ctx context.Context, supply wire.Supply, version uint64) (weights.Manifest, uint64, error)
	// Chunk returns the bytes of one chunk. With a failure it may return those
	// that came before.
	Chunk(ctx context.Context, supply wire.Supply, version uint64, number int) ([]byte, error)
}
