// Package engine is a stand-in of a model engine. It speaks the protocol of
// docs/PLATFORM-ENGINE.md, runs continuous batching, stores staged chunks,
// executes orders and counts its work. Its tokens are digests of the prompt and
// the version, so that tests can check every response.
package engine

import (
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/google/uuid"

	"chivespindle.example/core/fleet"
	"chivespindle.example/core/serving"
	"chivespindle.example/standin/engine/backend"
)

const defaultSlots = 8

// Options configure an engine. The zero value is an engine with 8 slots and no
// queue that ignores fencing numbers and responds without delay.
type Options struct {
	Slots         int           // maximum number of running requests; 0 means 8
	MaxWaiting    int           // maximum number of requests that wait for a slot
	TokenTime     time.Duration // per token of a response
	LoadTime      time.Duration // time to load a version
	LoadReportLag time.Duration // age of the load that a status reports
	CheckFence    bool          // refuse orders whose fencing number is lower than the highest seen
	Clock         backend.Clock // nil means backend.WallClock
}

// Faults are the faults that a test injects into an engine.
type Faults struct {
	backend.Faults
	// IgnoreFence makes an engine with CheckFence accept any fencing number.
	IgnoreFence bool `json:"ignore_fence"`
	// ChangeVersion is the number of responses whose last line will name
	// another version than the first line.
	ChangeVersion int `json:"change_version"`
	// CorruptStage flips a bit of every staged chunk that is read back.
	CorruptStage bool `json:"corrupt_stage"`
}

// Counters count the engine's work since New. Restart does not reset them.
type Counters struct {
	ExecutionsByKey    backend.Counts `json:"executions_by_key"` // by Idempotency-Key
	ExecutionsByID     backend.Counts `json:"executions_by_id"`  // by Request-Id
	ResponsesByVersion backend.Counts `json:"answers_by_version"`
	Completed          int            `json:"completed"` // responses sent completely
	NotRun             int            `json:"not_run"`   // requests rejected before they ran
	Cancelled          int            `json:"cancelled"` // requests whose caller disconnected
	Aborted            int            `json:"cut"`       // requests aborted by a load, a restart or a fault
	// WeightMismatches counts requests that ran on weights that do not match
	// the manifest of the version named in the response.
	WeightMismatches int `json:"mixed"`
	Loads            int `json:"loads"`
	OrdersRefused    int `json:"orders_refused"` // refused because of their fencing number
}

// Engine is a stand-in of one model engine. Its methods are safe for concurrent
// use.
type Engine struct {
	backend.Server
	options  Options
	mux      *http.ServeMux
	batch    *batch
	history  *loadHistory
	injector backend.FaultInjector

	mu           sync.Mutex
	bootID       string
	scope        *loadScope // ends when the loaded version is replaced or lost
	loaded       fleet.Version
	verified     bool // the loaded weights match the manifest
	loading      bool
	loadTarget   fleet.Version // the version being loaded; zero if none
	adapters     []string
	role         string
	highestFence uint64
	staged       map[fleet.Digest]*stagedVersion
	faults       Faults
	counters     Counters
}

// loadScope is the period for which one version is loaded or being loaded. Its
// end aborts the requests that run on that version.
type loadScope struct {
	ended chan struct{}
}

func newLoadScope() *loadScope { return &loadScope{ended: make(chan struct{})} }

func (l *loadScope) hasEnded() bool {
	select {
	case <-l.ended:
		return true
	default:
		return false
	}
}

// New returns an engine with nothing staged or loaded. It implements
// http.Handler; Start also makes it listen on an address of its own.
func New(options Options) *Engine {
	if options.Slots == 0 {
		options.Slots = defaultSlots
	}
	if options.Clock == nil {
		options.Clock = backend.WallClock{}
	}
	e := &Engine{options: options}
	e.history = &loadHistory{clock: options.Clock, lag: options.LoadReportLag, slots: options.Slots}
	e.batch = &batch{slots: options.Slots, maxWaiting: options.MaxWaiting, onChange: e.history.add}
	e.reset()
	e.mux = e.routes()
	return e
}

// reset puts the engine into the state of a newly started process. The caller
// holds mu or is New.
func (e *Engine) reset() {
	if e.scope != nil && !e.scope.hasEnded() {
		close(e.scope.ended)
	}
	e.scope = newLoadScope()
	e.bootID = uuid.NewString()
	e.loaded = fleet.Version{}
	e.verified = false
	e.loading = false
	e.loadTarget = fleet.Version{}
	e.adapters = nil
	e.role = ""
	e.highestFence = 0
	e.staged = make(map[fleet.Digest]*stagedVersion)
}

// Restart simulates a restart of the engine's process: running requests are
// aborted, the boot ID changes, and the staged chunks, the loaded version and
// the fencing number are lost.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reset()
}

// Start listens on a loopback address and serves until Close.
func (e *Engine) Start(listen string) (netip.AddrPort, error) { return e.Server.Start(listen, e) }

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.mux.ServeHTTP(w, r) }

func (e *Engine) routes() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/status", e.getStatus)
	mux.HandleFunc("POST /v1/orders", e.postOrder)
	mux.HandleFunc("POST /v1/generate", e.generate)
	mux.HandleFunc("GET /v1/staging/{manifest}", e.listChunks)
	mux.HandleFunc("DELETE /v1/staging/{manifest}", e.dropStaged)
	mux.HandleFunc("PUT /v1/staging/{manifest}/manifest", e.putManifest)
	mux.HandleFunc("PUT /v1/staging/{manifest}/chunks/{index}", e.putChunk)
	mux.HandleFunc("GET /v1/staging/{manifest}/chunks/{index}", e.getChunk)
	return mux
}

// AdminHandler serves the admin calls for counters, faults and restart.
func (e *Engine) AdminHandler() http.Handler {
	return backend.Admin[Faults]{
		Counters: func() any { return e.Counters() },
		Faults:   e.SetFaults,
		Restart:  e.Restart,
	}.Handler()
}

// SetFaults replaces all faults.
func (e *Engine) SetFaults(faults Faults) {
	e.mu.Lock()
	e.faults = faults
	e.mu.Unlock()
	e.injector.Set(faults.Faults)
}

// Counters returns a copy of the counters.
func (e *Engine) Counters() Counters {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := e.counters
	c.ExecutionsByKey = c.ExecutionsByKey.Clone()
	c.ExecutionsByID = c.ExecutionsByID.Clone()
	c.ResponsesByVersion = c.ResponsesByVersion.Clone()
	return c
}

// Status returns the response to GET /v1/status.
func (e *Engine) Status() serving.EngineStatus {
	load := e.history.current()
	e.mu.Lock()
	defer e.mu.Unlock()
	return serving.EngineStatus{
		BootID:     e.bootID,
		Loaded:     e.loaded,
		Loading:    e.loading,
		Adapters:   append([]string{}, e.adapters...),
		EngineRole: e.role,
		Fence:      e.highestFence,
		Load:       load,
	}
}

func (e *Engine) getStatus(w http.ResponseWriter, _ *http.Request) {
	backend.WriteJSON(w, http.StatusOK, e.Status())
}
