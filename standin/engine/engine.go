// Package engine is a stand-in of a model engine: it speaks the protocol of
// docs/PLATFORM-ENGINE.md, batches continuously, keeps staged chunks, takes
// orders and counts what it did. Its tokens are digests of the prompt and the
// version, so that a test can check every answer.
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

// Options are the fixed traits of an engine. The zero value is an engine of 8
// slots without a queue that ignores fencing numbers and takes no time.
type Options struct {
	Slots      int           // requests that run at once; 0 means 8
	MaxWaiting int           // requests that wait for a slot
	TokenTime  time.Duration // per token of each answer
	LoadTime   time.Duration // to load a version
	ReportLag  time.Duration // age of the load in a status
	CheckFence bool          // refuse orders with an old fencing number
	Clock      backend.Clock // nil means the machine's
}

// Faults are what the engine does wrong on purpose.
type Faults struct {
	backend.Faults
	// IgnoreFence makes an engine that checks fencing numbers accept any.
	IgnoreFence bool `json:"ignore_fence"`
	// ChangeVersion makes the last line of the next answers name a version
	// other than the first line's.
	ChangeVersion int `json:"change_version"`
	// CorruptStage flips a bit of every chunk that is read back.
	CorruptStage bool `json:"corrupt_stage"`
}

// Counters are what the engine did since New. Restart does not reset them.
type Counters struct {
	ExecutionsByKey  backend.Counts `json:"executions_by_key"` // by Idempotency-Key
	ExecutionsByID   backend.Counts `json:"executions_by_id"`  // by Request-Id
	AnswersByVersion backend.Counts `json:"answers_by_version"`
	Completed        int            `json:"completed"` // answers sent to their last line
	NotRun           int            `json:"not_run"`   // requests declined before they ran
	Cancelled        int            `json:"cancelled"` // the caller went away first
	Cut              int            `json:"cut"`       // ended by a load, a restart or a fault
	// Mixed counts requests that ran on bytes that do not match the manifest
	// of the version that the answer names.
	Mixed         int `json:"mixed"`
	Loads         int `json:"loads"`
	OrdersRefused int `json:"orders_refused"` // for their fencing number
}

// Engine is one engine. Its methods may be called at once.
type Engine struct {
	backend.Server
	options  Options
	mux      *http.ServeMux
	batch    *batch
	history  *loadHistory
	injector backend.Injector

	mu       sync.Mutex
	boot     string
	life     *life // ends when the loaded version goes
	loaded   fleet.Version
	whole    bool // the loaded bytes match the manifest
	loading  bool
	target   fleet.Version // what is being loaded; zero if nothing
	adapters []string
	role     string
	fence    uint64
	staged   map[fleet.Digest]*stagedVersion
	faults   Faults
	counters Counters
}

// life is the time in which one version is loaded.
type life struct {
	ended chan struct{}
}

func newLife() *life { return &life{ended: make(chan struct{})} }

func (l *life) over() bool {
	select {
	case <-l.ended:
		return true
	default:
		return false
	}
}

// New returns an engine that holds nothing. It serves HTTP; Start gives it an
// address of its own.
func New(options Options) *Engine {
	if options.Slots == 0 {
		options.Slots = defaultSlots
	}
	if options.Clock == nil {
		options.Clock = backend.WallClock{}
	}
	e := &Engine{options: options}
	e.history = &loadHistory{clock: options.Clock, lag: options.ReportLag, slots: options.Slots}
	e.batch = &batch{slots: options.Slots, maxWaiting: options.MaxWaiting, changed: e.history.add}
	e.reset()
	e.mux = e.routes()
	return e
}

// reset starts a new life of the process. The caller holds mu or is New.
func (e *Engine) reset() {
	if e.life != nil && !e.life.over() {
		close(e.life.ended)
	}
	e.life = newLife()
	e.boot = uuid.NewString()
	e.loaded = fleet.Version{}
	e.whole = false
	e.loading = false
	e.target = fleet.Version{}
	e.adapters = nil
	e.role = ""
	e.fence = 0
	e.staged = make(map[fleet.Digest]*stagedVersion)
}

// Restart replaces the engine's process: running answers are cut, and the
// boot name changes; staged chunks, the loaded version and the fencing number
// are gone.
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

// AdminHandler serves the harness: counters, faults and restart.
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

// Counters returns a copy of the counts.
func (e *Engine) Counters() Counters {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := e.counters
	c.ExecutionsByKey = c.ExecutionsByKey.Clone()
	c.ExecutionsByID = c.ExecutionsByID.Clone()
	c.AnswersByVersion = c.AnswersByVersion.Clone()
	return c
}

// Status returns what GET /v1/status answers.
func (e *Engine) Status() serving.EngineStatus {
	load := e.history.report()
	e.mu.Lock()
	defer e.mu.Unlock()
	return serving.EngineStatus{
		BootID:     e.boot,
		Loaded:     e.loaded,
		Loading:    e.loading,
		Adapters:   append([]string{}, e.adapters...),
		EngineRole: e.role,
		Fence:      e.fence,
		Load:       load,
	}
}

func (e *Engine) getStatus(w http.ResponseWriter, _ *http.Request) {
	backend.WriteJSON(w, http.StatusOK, e.Status())
}
