package platform

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"chivespindle.example/adapters/exchange"
	"chivespindle.example/adapters/progress"
	"chivespindle.example/core/defaults"
	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/weights"
)

const (
	// DefaultStallTimeout is how long a transfer may bring no byte.
	DefaultStallTimeout = 5 * time.Second
	// LimiterPieceBytes is the most that a Limiter is asked for at once. The
	// burst of a token bucket must be at least as large.
	LimiterPieceBytes = 32 << 10
	// MaxManifestBytes bounds an encoded manifest. A manifest of
	// weights.MaxChunks chunks has about 50 bytes a chunk.
	MaxManifestBytes = 8 << 20

	weightsPath = "/v1/weights/"
)

// Limiter slows the reading of weights down, so that other traffic of the
// machine comes first. A rate.Limiter is one.
type Limiter interface {
	// WaitN returns once n bytes may be read. It fails when ctx ends.
	WaitN(ctx context.Context, n int) error
}

// WeightOptions shapes a WeightSource. Zero fields get their defaults.
type WeightOptions struct {
	// BaseURL is the address of the origin or store by IP number.
	BaseURL string
	// Client sends the requests; nil for one of its own. Its Timeout should
	// be 0, since the whole time of a transfer is bounded by its context.
	Client *http.Client
	// StallTimeout is how long a call continues without one byte, from its
	// start; DefaultStallTimeout. Waiting for Limiter does not count.
	StallTimeout time.Duration
	// Limiter is asked before each piece of a chunk's body; nil for none.
	Limiter Limiter
}

// WeightSource reads the origin of weights or the weight store. It implements
// weights.Source and is safe for use by many goroutines.
type WeightSource struct {
	*client
	stall   time.Duration
	limiter Limiter
}

var _ weights.Source = (*WeightSource)(nil)

// NewWeightSource returns a source; failure.Invalid if the options are wrong.
// It makes no call.
func NewWeightSource(options WeightOptions) (*WeightSource, error) {
	client, err := newClient(options.BaseURL, options.Client)
	if err != nil {
		return nil, err
	}
	return &WeightSource{
		client:  client,
		stall:   defaults.Or(options.StallTimeout, DefaultStallTimeout),
		limiter: options.Limiter,
	}, nil
}

// Manifest returns the encoded manifest, unchecked.
func (s *WeightSource) Manifest(ctx context.Context, manifest fleet.Digest) ([]byte, error) {
	path := weightsPath + manifest.String()
	ctx, watch := progress.Start(ctx, s.stall, s.stall, path)
	defer watch.Stop()
	response, err := s.get(ctx, call{path: path})
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	response.Body = watch.Wrap(response.Body)
	return readBody(ctx, response, MaxManifestBytes, path)
}

// Chunk returns the bytes of one chunk. Its size is checked, its digest not.
// failure.Timeout when no byte arrived for the stall timeout; Corrupt when
// the body has another size than the manifest says; Unavailable when the
// connection ends within it.
func (s *WeightSource) Chunk(ctx context.Context, manifest fleet.Digest, chunk weights.Chunk) ([]byte, error) {
	if chunk.Bytes <= 0 || chunk.Bytes > weights.MaxChunkBytes {
		return nil, failure.Invalid.New("chunk %d has size %d", chunk.Index, chunk.Bytes)
	}
	path := fmt.Sprintf("%s%s/chunks/%d", weightsPath, manifest, chunk.Index)
	ctx, watch := progress.Start(ctx, s.stall, s.stall, path)
	defer watch.Stop()
	response, err := s.get(ctx, call{path: path})
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if size := response.ContentLength; size >= 0 && size != int64(chunk.Bytes) {
		return nil, failure.Corrupt.New("%s has %d bytes, want %d", path, size, chunk.Bytes)
	}
	reader := chunkReader{
		body:     watch.Wrap(response.Body),
		framed:   exchange.EndIsFramed(response),
		progress: watch,
		limiter:  s.limiter,
		path:     path,
	}
	return reader.read(ctx, chunk.Bytes)
}

// chunkReader reads one chunk's body in pieces.
type chunkReader struct {
	body     io.Reader
	framed   bool // the sender marks the end of body
	progress *progress.Watchdog
	limiter  Limiter
	path     string
}

func (r chunkReader) read(ctx context.Context, size int) ([]byte, error) {
	data := make([]byte, size)
	for start := 0; start < size; start += LimiterPieceBytes {
		piece := data[start:min(start+LimiterPieceBytes, size)]
		if err := r.pace(ctx, len(piece)); err != nil {
			return nil, err
		}
		n, err := io.ReadFull(r.body, piece)
		if err == nil {
			continue
		}
		return data[:start+n], r.ended(ctx, err, start+n, size)
	}
	return data, r.checkEnd(ctx, size)
}

// pace waits for the limiter. The stall timer rests meanwhile: a transfer
// that we slow down ourselves is not a stalled link.
func (r chunkReader) pace(ctx context.Context, n int) error {
	if r.limiter == nil {
		return nil
	}
	r.progress.Pause()
	defer r.progress.Resume()
	err := r.limiter.WaitN(ctx, n)
	if err == nil {
		return nil
	}
	if ctx.Err() != nil {
		return transferFailure(ctx, err, r.path)
	}
	return failure.Internal.Wrap(err, "limiter refused %d bytes", n)
}

// ended classifies a body that ended early. A whole answer that is too short
// is the sender's fault, a cut one the connection's.
func (r chunkReader) ended(ctx context.Context, err error, got, size int) error {
	if !r.framed || !r.progress.ReachedEOF() {
		return transferFailure(ctx, err, r.path)
	}
	return failure.Corrupt.New("%s has %d bytes, want %d", r.path, got, size)
}

// checkEnd fails if the body goes on after the chunk's size.
func (r chunkReader) checkEnd(ctx context.Context, size int) error {
	var extra [1]byte
	n, err := io.ReadFull(r.body, extra[:])
	if n > 0 {
		return failure.Corrupt.New("%s has more than %d bytes", r.path, size)
	}
	if !r.progress.ReachedEOF() {
		return transferFailure(ctx, err, r.path)
	}
	return nil
}
