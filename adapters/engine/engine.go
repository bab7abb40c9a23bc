// Package engine is the client of a model engine; docs/PLATFORM-ENGINE.md describes
// the protocol. Client sends orders (serving.Engine), forwards calls
// (serving.Backend) and stages chunks (weights.Stage).
package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"github.com/joomcode/errorx"

	"chivespindle.example/adapters/engine/attempt"
	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/serving"
	"chivespindle.example/core/weights"
)

// Defaults for Options.
const (
	DefaultControlTimeout   = 5 * time.Second
	DefaultFirstLineTimeout = 30 * time.Second
	DefaultStallTimeout     = 5 * time.Second
)

// maxReportBytes limits a status or a list of chunks.
const maxReportBytes = 2 << 20

// Options configures a Client. A zero duration selects the default.
type Options struct {
	// Addr is the engine's HTTP address.
	Addr netip.AddrPort
	// ControlTimeout is the longest wait for the response to any request other than
	// a call.
	ControlTimeout time.Duration
	// FirstLineTimeout is the longest wait for the first line of a response,
	// including the time in the engine's own queue.
	FirstLineTimeout time.Duration
	// StallTimeout is the longest time between two lines of a response and between
	// two parts of a chunk.
	StallTimeout time.Duration
	// CheckVersion, if set, checks the version named in the first line of a
	// response before any piece is emitted. If it fails, the response is aborted.
	CheckVersion func(fleet.Version) error
}

// Client communicates with one engine. It is safe for concurrent use.
type Client struct {
	options Options
	attempt *attempt.Client
	// idempotent sends requests that may be sent twice: all except calls and
	// orders.
	idempotent *attempt.Client
}

var (
	_ serving.Engine  = (*Client)(nil)
	_ serving.Backend = (*Client)(nil)
	_ weights.Stage   = (*Client)(nil)
)

// New returns a client. It connects on first use.
func New(options Options) *Client {
	setDefault(&options.ControlTimeout, DefaultControlTimeout)
	setDefault(&options.FirstLineTimeout, DefaultFirstLineTimeout)
	setDefault(&options.StallTimeout, DefaultStallTimeout)
	return &Client{options: options, attempt: attempt.New(options.Addr), idempotent: attempt.NewKeepAlive(options.Addr)}
}

func setDefault(value *time.Duration, fallback time.Duration) {
	if *value <= 0 {
		*value = fallback
	}
}

// Status implements serving.Engine.
func (c *Client) Status(ctx context.Context) (serving.EngineStatus, error) {
	var status serving.EngineStatus
	err := c.sendControl(ctx, controlRequest{method: http.MethodGet, path: "/v1/status", into: &status})
	return status, err
}

// Order implements serving.Engine. The engine responds once it has accepted the
// order; Status reports when the version is loaded. Fails with failure.Refused for
// an outdated fencing number, with failure.NotFound if a chunk or the manifest of
// the version is not staged, or as any other attempt. If the outcome is
// failure.NotRun, the order did not reach the engine.
func (c *Client) Order(ctx context.Context, order serving.Order) error {
	raw, err := json.Marshal(order)
	if err != nil {
		return failure.WithOutcome(failure.Internal.Wrap(err, "encode an order"), failure.NotRun)
	}
	return c.sendControl(ctx, controlRequest{
		method: http.MethodPost,
		path:   "/v1/orders",
		body:   raw,
		kinds:  map[int]*errorx.Type{http.StatusUnprocessableEntity: failure.NotFound},
	})
}

// Held implements weights.Stage.
func (c *Client) Held(ctx context.Context, manifest fleet.Digest) ([]int, error) {
	var indexes []int
	err := c.sendControl(ctx, controlRequest{method: http.MethodGet, path: stagingPath(manifest), into: &indexes})
	if err != nil {
		return nil, err
	}
	slices.Sort(indexes)
	return indexes, nil
}

// PutManifest uploads the list of a version's chunks, as encoded by
// weights.Manifest.Encode. The engine needs it before an order for the version.
// Fails with failure.Corrupt if the engine finds that the manifest does not match
// its digest.
func (c *Client) PutManifest(ctx context.Context, manifest fleet.Digest, raw []byte) error {
	return c.sendControl(ctx, controlRequest{
		method: http.MethodPut,
		path:   stagingPath(manifest) + "/manifest",
		body:   raw,
		kinds:  map[int]*errorx.Type{http.StatusUnprocessableEntity: failure.Corrupt},
	})
}

// Put implements weights.Stage.
func (c *Client) Put(ctx context.Context, manifest fleet.Digest, index int, data []byte) error {
	return c.sendControl(ctx, controlRequest{method: http.MethodPut, path: chunkPath(manifest, index), body: data})
}

// Get implements weights.Stage. It does not verify the bytes.
func (c *Client) Get(ctx context.Context, manifest fleet.Digest, index int) ([]byte, error) {
	var data []byte
	err := c.sendControl(ctx, controlRequest{method: http.MethodGet, path: chunkPath(manifest, index), raw: &data})
	return data, err
}

// Drop implements weights.Stage.
func (c *Client) Drop(ctx context.Context, manifest fleet.Digest) error {
	return c.sendControl(ctx, controlRequest{method: http.MethodDelete, path: stagingPath(manifest)})
}

func stagingPath(manifest fleet.Digest) string { return "/v1/staging/" + manifest.String() }

func chunkPath(manifest fleet.Digest, index int) string {
	return stagingPath(manifest) + "/chunks/" + strconv.Itoa(index)
}

// controlRequest is any request other than a call.
type controlRequest struct {
	method string
	path   string
	body   []byte
	into   any                  // target for the JSON of the response; nil: ignored
	raw    *[]byte              // target for the body of the response; nil: ignored
	kinds  map[int]*errorx.Type // failure types by status; take precedence over attempt.Kind
}

func (c *Client) sendControl(ctx context.Context, r controlRequest) error {
	client := c.idempotent
	if r.method == http.MethodPost {
		client = c.attempt
	}
	a, err := client.Send(ctx, attempt.Request{
		Method:           r.method,
		Path:             r.path,
		Body:             r.body,
		FirstByteTimeout: c.options.ControlTimeout,
		StallTimeout:     c.options.StallTimeout,
	})
	if err != nil {
		return err
	}
	defer a.Close()
	if a.Status/100 != 2 {
		kind := r.kinds[a.Status]
		if kind == nil {
			kind = attempt.Kind(a.Status)
		}
		return a.StatusError(kind)
	}
	switch {
	case r.into != nil:
		return readJSON(a, r.into)
	case r.raw != nil:
		*r.raw, err = a.ReadAll(weights.MaxChunkBytes)
		return err
	default:
		_, err := a.ReadAll(maxReportBytes) // shows whether the response is complete
		return err
	}
}

func readJSON(a *attempt.Attempt, into any) error {
	data, err := a.ReadAll(maxReportBytes)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, into); err != nil {
		return failure.Corrupt.Wrap(err, "decode the engine's report")
	}
	return nil
}
