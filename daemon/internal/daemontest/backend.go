package daemontest

import (
	"context"
	"net/http"
	"slices"
	"sync"

	"chivespindle.example/core/failure"
	"chivespindle.example/core/serving"
)

// Answering is what a backend server makes of one call.
type Answering func(ctx context.Context, call serving.Call, emit func(serving.Piece) error) (serving.Response, error)

// Backend is a backend server. It gives each call its own body back until
// told otherwise, and is the status of a plain service too.
type Backend struct {
	mu        sync.Mutex
	calls     []serving.Call
	answering Answering
	load      serving.Load
	down      bool
}

var _ serving.Backend = (*Backend)(nil)

// NewBackend returns a backend server that works.
func NewBackend() *Backend {
	return &Backend{answering: Echo, load: serving.Load{Slots: 64}}
}

// Echo answers with the body of the call.
func Echo(_ context.Context, call serving.Call, emit func(serving.Piece) error) (serving.Response, error) {
	if err := emit(serving.Piece{Status: http.StatusOK, Data: call.Body}); err != nil {
		return serving.Response{}, failure.WithOutcome(failure.Unavailable.Wrap(err, "the receiver failed"), failure.Unknown)
	}
	return serving.Response{ID: call.ID, Status: http.StatusOK}, nil
}

// Held answers as then says once release is closed, and fails with an unknown
// outcome when the call is given up before.
func Held(release <-chan struct{}, then Answering) Answering {
	return func(ctx context.Context, call serving.Call, emit func(serving.Piece) error) (serving.Response, error) {
		select {
		case <-release:
			return then(ctx, call, emit)
		case <-ctx.Done():
			return serving.Response{}, failure.WithOutcome(failure.Timeout.Wrap(ctx.Err(), "given up"), failure.Unknown)
		}
	}
}

// Answer replaces what the server does with later calls.
func (b *Backend) Answer(f Answering) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.answering = f
}

// SetDown makes the status fail, or ends that.
func (b *Backend) SetDown(down bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.down = down
}

// SetLoad changes the load that the status tells.
func (b *Backend) SetLoad(load serving.Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.load = load
}

// Calls returns what reached the server, in order.
func (b *Backend) Calls() []serving.Call {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.calls)
}

// Do implements serving.Backend.
func (b *Backend) Do(ctx context.Context, call serving.Call, emit func(serving.Piece) error) (serving.Response, error) {
	b.mu.Lock()
	b.calls = append(b.calls, call)
	answering := b.answering
	b.mu.Unlock()
	return answering(ctx, call, emit)
}

// Status tells the load of a plain service.
func (b *Backend) Status(context.Context) (serving.Load, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.down {
		return serving.Load{}, failure.Unavailable.New("the service is down")
	}
	return b.load, nil
}

// Engine is a model engine that has loaded a version and does as it is told.
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

// Set changes what the engine reports.
func (e *Engine) Set(edit func(*serving.EngineStatus)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	edit(&e.status)
}

// FailOrders makes orders fail with err, nil for no more.
func (e *Engine) FailOrders(err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.err = err
}

// Orders returns the orders so far.
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
