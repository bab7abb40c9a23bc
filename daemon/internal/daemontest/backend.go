package daemontest

import (
	"context"
	"net/http"
	"slices"
	"sync"

	"chivespindle.example/core/failure"
	"chivespindle.example/core/serving"
)

// CallHandler handles one call to a backend server.
type CallHandler func(ctx context.Context, call serving.Call, emit func(serving.Piece) error) (serving.Response, error)

// Backend is a fake backend server. It echoes the body of each call until
// SetHandler replaces its handler, and also reports the status of a plain
// service.
type Backend struct {
	mu      sync.Mutex
	calls   []serving.Call
	handler CallHandler
	load    serving.Load
	down    bool
}

var _ serving.Backend = (*Backend)(nil)

// NewBackend returns a backend server that echoes every call.
func NewBackend() *Backend {
	return &Backend{handler: Echo, load: serving.Load{Slots: 64}}
}

// Echo responds with the body of the call.
func Echo(_ context.Context, call serving.Call, emit func(serving.Piece) error) (serving.Response, error) {
	if err := emit(serving.Piece{Status: http.StatusOK, Data: call.Body}); err != nil {
		return serving.Response{}, failure.WithOutcome(failure.Unavailable.Wrap(err, "send response to the caller"), failure.Unknown)
	}
	return serving.Response{ID: call.ID, Status: http.StatusOK}, nil
}

// HandleAfter calls next once release is closed, and fails with an unknown
// outcome if the call is cancelled before.
func HandleAfter(release <-chan struct{}, next CallHandler) CallHandler {
	return func(ctx context.Context, call serving.Call, emit func(serving.Piece) error) (serving.Response, error) {
		select {
		case <-release:
			return next(ctx, call, emit)
		case <-ctx.Done():
			return serving.Response{}, failure.WithOutcome(failure.Timeout.Wrap(ctx.Err(), "call cancelled before release"), failure.Unknown)
		}
	}
}

// SetHandler replaces the handler for later calls.
func (b *Backend) SetHandler(f CallHandler) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.handler = f
}

// SetDown sets whether Status fails.
func (b *Backend) SetDown(down bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.down = down
}

// SetLoad sets the load that Status reports.
func (b *Backend) SetLoad(load serving.Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.load = load
}

// Calls returns the calls that reached the server, in order.
func (b *Backend) Calls() []serving.Call {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.calls)
}

// Do implements serving.Backend.
func (b *Backend) Do(ctx context.Context, call serving.Call, emit func(serving.Piece) error) (serving.Response, error) {
	b.mu.Lock()
	b.calls = append(b.calls, call)
	handler := b.handler
	b.mu.Unlock()
	return handler(ctx, call, emit)
}

// Status reports the load of a plain service.
func (b *Backend) Status(context.Context) (serving.Load, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.down {
		return serving.Load{}, failure.Unavailable.New("the service is down")
	}
	return b.load, nil
}

// Engine is a fake model engine that has loaded a version and executes every
// order.
type Engine struct {
	mu     sync.Mutex
	status serving.EngineStatus
	orders []serving.Order
	err    error
}

var _ serving.Engine = (*Engine)(nil)

// NewEngine returns an engine that has just started.
func NewEngine() *Engine {
	return &Engine{status: serving.EngineStatus{BootID: "boot-1", Load: serving.Load{Slots: 64}}}
}

// UpdateStatus changes the status that the engine reports.
func (e *Engine) UpdateStatus(edit func(*serving.EngineStatus)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	edit(&e.status)
}

// FailOrders makes orders fail with err; nil ends this.
func (e *Engine) FailOrders(err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.err = err
}

// Orders returns the orders received so far.
func (e *Engine) Orders() []serving.Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.orders)
}

// Status implements serving.Engine.
func (e *Engine) Status(context.Context) (serving.EngineStatus, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.status, nil
}

// Order implements serving.Engine. A version is loaded at once.
func (e *Engine) Order(_ context.Context, order serving.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders = append(e.orders, order)
	if e.err != nil {
		return e.err
	}
	e.status.Fence = max(e.status.Fence, order.Fence)
	if !order.Version.IsZero() {
		e.status.Loaded = order.Version
	}
	if order.Adapters != nil {
		e.status.Adapters = order.Adapters
	}
	if order.Role != "" {
		e.status.EngineRole = order.Role
	}
	return nil
}
