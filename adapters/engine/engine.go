// Package engine speaks to a model engine by the protocol of
// docs/PLATFORM-ENGINE.md. Its Client gives orders (serving.Engine), passes
// calls on (serving.Backend) and stages chunks (weights.Stage).
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

// Defaults of Options.
const (
	DefaultControlTimeout   = 5 * time.Second
	DefaultFirstLineTimeout = 30 * time.Second
	DefaultStallTimeout     = 5 * time.Second
)

// maxReport bounds a status or a list of chunks in bytes.
const maxReport = 2 << 20

// Options configure a Client. A zero duration means its default.
type Options struct {
	// Addr is the engine's HTTP address.
	Addr netip.AddrPort
	// ControlTimeout is the longest wait for the answer to anything but a
	// call.
	ControlTimeout time.Duration
	// FirstLineTimeout is the longest wait for the first line of an answer;
	// the engine's own queue counts.
	FirstLineTimeout time.Duration
	// StallTimeout is the longest time between the lines of an answer, and
	// between the parts of a chunk.
	StallTimeout time.Duration
	// CheckVersion, if set, is asked about the version of an answer's first
	// line before any piece is handed over. If it fails the answer is cut.
	CheckVersion func(fleet.Version) error
}

// Client speaks to one engine. Its methods may be called at once.
type Client struct {
	options Options
	attempt *attempt.Client
	// repeatable carries what may be sent again: all but calls and orders.
	repeatable *attempt.Client
}

var (
	_ serving.Engine  = (*Client)(nil)
	_ serving.Backend = (*Client)(nil)
	_ weights.Stage   = (*Client)(nil)
)

// New returns a client; it does not connect before it is used.
func New(options Options) *Client {
	setDefault(&options.ControlTimeout, DefaultControlTimeout)
	setDefault(&options.FirstLineTimeout, DefaultFirstLineTimeout)
	setDefault(&options.StallTimeout, DefaultStallTimeout)
	return &Client{options: options, attempt: attempt.New(options.Addr), repeatable: attempt.NewReusing(options.Addr)}
}

func setDefault(value *time.Duration, fallback time.Duration) {
	if *value <= 0 {
		*value = fallback
	}
}

// Status implements serving.Engine.
func (c *Client) Status(ctx context.Context) (serving.EngineStatus, error) {
	var status serving.EngineStatus
	err := c.control(ctx, control{method: http.MethodGet, path: "/v1/status", into: &status})
	return status, err
}

// Order implements serving.Engine. The engine answers once it has accepted
// the order; Status tells when a version is loaded. Failures are
// failure.Refused for an old fencing number, failure.NotFound if a chunk or
// the manifest of the version is not staged, or as for any attempt. One whose
// outcome is failure.NotRun did not reach the engine.
func (c *Client) Order(ctx context.Context, order serving.Order) error {
	raw, err := json.Marshal(order)
	if err != nil {
		return failure.WithOutcome(failure.Internal.Wrap(err, "encode an order"), failure.NotRun)
	}
	return c.control(ctx, control{
		method: http.MethodPost,
		path:   "/v1/orders",
		body:   raw,
		kinds:  map[int]*errorx.Type{http.StatusUnprocessableEntity: failure.NotFound},
	})
}

// Held implements weights.Stage.
func (c *Client) Held(ctx context.Context, manifest fleet.Digest) ([]int, error) {
	var indexes []int
	err := c.control(ctx, control{method: http.MethodGet, path: stagingPath(manifest), into: &indexes})
	if err != nil {
		return nil, err
	}
	slices.Sort(indexes)
	return indexes, nil
}

// PutManifest gives the engine the list of a version's chunks, as encoded by
// weights.Manifest.Encode. The engine needs it before an order for the
// version. A manifest that it finds to differ from its digest is
// failure.Corrupt.
func (c *Client) PutManifest(ctx context.Context, manifest fleet.Digest, raw []byte) error {
	return c.control(ctx, control{
		method: http.MethodPut,
		path:   stagingPath(manifest) + "/manifest",
		body:   raw,
		kinds:  map[int]*errorx.Type{http.StatusUnprocessableEntity: failure.Corrupt},
	})
}

// Put implements weights.Stage.
func (c *Client) Put(ctx context.Context, manifest fleet.Digest, index int, data []byte) error {
	return c.control(ctx, control{method: http.MethodPut, path: chunkPath(manifest, index), body: data})
}

// Get implements weights.Stage. The bytes are not checked.
func (c *Client) Get(ctx context.Context, manifest fleet.Digest, index int) ([]byte, error) {
	var data []byte
	err := c.control(ctx, control{method: http.MethodGet, path: chunkPath(manifest, index), raw: &data})
	return data, err
}

// Drop implements weights.Stage.
func (c *Client) Drop(ctx context.Context, manifest fleet.Digest) error {
	return c.control(ctx, control{method: http.MethodDelete, path: stagingPath(manifest)})
}

func stagingPath(manifest fleet.Digest) string { return "/v1/staging/" + manifest.String() }

func chunkPath(manifest fleet.Digest, index int) string {
	return stagingPath(manifest) + "/chunks/" + strconv.Itoa(index)
}

// control is a request other than a call.
type control struct {
	method string
	path   string
	body   []byte
	into   any                  // decoded from the answer's JSON; nil: ignored
	raw    *[]byte              // the answer's bytes; nil: ignored
	kinds  map[int]*errorx.Type // failures by status, before attempt.Kind
}

func (c *Client) control(ctx context.Context, r control) error {
	client := c.repeatable
	if r.method == http.MethodPost {
		client = c.attempt
	}
	a, err := client.Send(ctx, attempt.Request{
		Method: r.method,
		Path:   r.path,
		Body:   r.body,
		First:  c.options.ControlTimeout,
		Stall:  c.options.StallTimeout,
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
		return a.Declined(kind)
	}
	switch {
	case r.into != nil:
		return readJSON(a, r.into)
	case r.raw != nil:
		*r.raw, err = a.ReadAll(weights.MaxChunkBytes)
		return err
	default:
		return nil
	}
}

func readJSON(a *attempt.Attempt, into any) error {
	data, err := a.ReadAll(maxReport)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, into); err != nil {
		return failure.Corrupt.Wrap(err, "decode the engine's report")
	}
	return nil
}
