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
	// DefaultStallTimeout is how long a transfer may continue without receiving a
	// byte.
	DefaultStallTimeout = 5 * time.Second
	// LimiterPieceBytes is the maximum that is requested from a Limiter at once.
	// The burst of a token bucket must be at least as large.
	LimiterPieceBytes = 32 << 10
	// MaxManifestBytes limits an encoded manifest. A manifest has about 50 bytes
	// per chunk and at most weights.MaxChunks chunks.
	MaxManifestBytes = 8 << 20

	weightsPath = "/v1/weights/"
)

// Limiter limits the rate at which weights are read, so that other traffic of the
// machine takes precedence. A rate.Limiter implements it.
type Limiter interface {
	// WaitN returns when n bytes may be read. It fails when ctx ends.
	WaitN(ctx context.Context, n int) error
}

// WeightOptions configures a WeightSource. Zero fields select the defaults.
type WeightOptions struct {
	// BaseURL is the address of the origin or store with an IP address as its host.
	BaseURL string
	// Client sends the requests; nil creates a new one. Its Timeout should be 0,
	// since the duration of a transfer is limited by its context.
	Client *http.Client
	// StallTimeout is how long a call may continue without receiving a byte, from
	// its start; the default is DefaultStallTimeout. The wait for Limiter does not
	// count.
	StallTimeout time.Duration
	// Limiter is called before each piece of a chunk's body; nil for none.
	Limiter Limiter
}

// WeightSource reads the origin of weights or the weight store. It implements
// weights.Source and is safe for concurrent use.
type WeightSource struct {
	*client
	stallTimeout time.Duration
	limiter      Limiter
}

var _ weights.Source = (*WeightSource)(nil)

// NewWeightSource returns a source, or failure.Invalid if the options are invalid.
// It sends no request.
func NewWeightSource(options WeightOptions) (*WeightSource, error) {
	client, err := newClient(options.BaseURL, options.Client)
	if err != nil {
		return nil, err
	}
	return &WeightSource{
		client:       client,
		stallTimeout: defaults.Or(options.StallTimeout, DefaultStallTimeout),
		limiter:      options.Limiter,
	}, nil
}

// Manifest returns the encoded manifest without checking it.
func (s *WeightSource) Manifest(ctx context.Context, manifest fleet.Digest) ([]byte, error) {
	path := weightsPath + manifest.String()
	ctx, watch := progress.Start(ctx, s.stallTimeout, s.stallTimeout, path)
	defer watch.Stop()
	response, err := s.get(ctx, call{path: path})
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	response.Body = watch.Wrap(response.Body)
	return readBody(ctx, response, MaxManifestBytes, path)
}

// Chunk returns the bytes of one chunk. It checks the size, not the digest. Fails
// with failure.Timeout if no byte arrived within the stall timeout, failure.Corrupt
// if the size of the body differs from the manifest, and failure.Unavailable if the
// connection ends early.
func (s *WeightSource) Chunk(ctx context.Context, manifest fleet.Digest, chunk weights.Chunk) ([]byte, error) {
	if chunk.Bytes <= 0 || chunk.Bytes > weights.MaxChunkBytes {
		return nil, failure.Invalid.New("chunk %d has size %d", chunk.Index, chunk.Bytes)
	}
	path := fmt.Sprintf("%s%s/chunks/%d", weightsPath, manifest, chunk.Index)
	ctx, watch := progress.Start(ctx, s.stallTimeout, s.stallTimeout, path)
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
	framed   bool // the sender marks the end of the body
	progress *progress.Watchdog
	limiter  Limiter
	path     string
}

func (r chunkReader) read(ctx context.Context, size int) ([]byte, error) {
	data := make([]byte, size)
	for start := 0; start < size; start += LimiterPieceBytes {
		piece := data[start:min(start+LimiterPieceBytes, size)]
		if err := r.waitForLimiter(ctx, len(piece)); err != nil {
			return nil, err
		}
		n, err := io.ReadFull(r.body, piece)
		if err == nil {
			continue
		}
		return data[:start+n], r.endFailure(ctx, err, start+n, size)
	}
	return data, r.checkEnd(ctx, size)
}

// waitForLimiter waits until n bytes may be read. The stall timer is paused in the
// meantime: a transfer that this process throttles is not a stalled link.
func (r chunkReader) waitForLimiter(ctx context.Context, n int) error {
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

// endFailure returns the failure for a body that ended early. If the sender marked
// the end, the body is too short and the sender is at fault; otherwise the
// connection broke.
func (r chunkReader) endFailure(ctx context.Context, err error, got, size int) error {
	if !r.framed || !r.progress.ReachedEOF() {
		return transferFailure(ctx, err, r.path)
	}
	return failure.Corrupt.New("%s has %d bytes, want %d", r.path, got, size)
}

// checkEnd fails if the body is longer than the chunk.
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
