// Package plainservice is a stand-in of a plain service, some of whose calls
// are not idempotent. It responds to a call with a receipt that contains the
// body of the call, and counts executions (docs/PLATFORM-ENGINE.md).
package plainservice

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"chivespindle.example/standin/engine/backend"
)

const defaultSlots = 16

// wrongIDSuffix is appended to the request ID of a response by the fault WrongID.
const wrongIDSuffix = "-wrong"

// Options configure a service.
type Options struct {
	Slots int           // maximum number of running calls, further calls are rejected; 0 means 16
	Delay time.Duration // time that each call takes
	Clock backend.Clock // nil means backend.WallClock
}

// Receipt is the response to a call.
type Receipt struct {
	ID        string `json:"id"`        // the Request-Id
	Key       string `json:"key"`       // the Idempotency-Key, "" if none
	Path      string `json:"path"`      // below /v1/call/
	Execution int    `json:"execution"` // number of executions of this key, or of this ID if there is no key
	Body      []byte `json:"body"`      // body of the call, encoded in base64
}

// Status is the load that the service reports.
type Status struct {
	Running int `json:"running"`
	Slots   int `json:"slots"`
}

// Counters count the service's work since New.
type Counters struct {
	ExecutionsByKey backend.Counts `json:"executions_by_key"`
	ExecutionsByID  backend.Counts `json:"executions_by_id"`
	Completed       int            `json:"completed"`
	NotRun          int            `json:"not_run"`
	Cancelled       int            `json:"cancelled"` // the caller disconnected; the call had run
	Aborted         int            `json:"cut"`       // aborted by a fault
}

// Service is a stand-in of one plain service. Its methods are safe for
// concurrent use.
type Service struct {
	backend.Server
	options  Options
	mux      *http.ServeMux
	injector backend.FaultInjector

	mu       sync.Mutex
	running  int
	counters Counters
}

// New returns a service. It implements http.Handler; Start also makes it listen
// on an address of its own.
func New(options Options) *Service {
	if options.Slots == 0 {
		options.Slots = defaultSlots
	}
	if options.Clock == nil {
		options.Clock = backend.WallClock{}
	}
	s := &Service{options: options, mux: http.NewServeMux()}
	s.counters.ExecutionsByKey = backend.Counts{}
	s.counters.ExecutionsByID = backend.Counts{}
	s.mux.HandleFunc("GET /v1/status", s.getStatus)
	s.mux.HandleFunc("POST /v1/call/{path...}", s.call)
	return s
}

// Start listens on a loopback address and serves until Close.
func (s *Service) Start(listen string) (netip.AddrPort, error) { return s.Server.Start(listen, s) }

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// AdminHandler serves the admin calls for counters and faults.
func (s *Service) AdminHandler() http.Handler {
	return backend.Admin[backend.Faults]{
		Counters: func() any { return s.Counters() },
		Faults:   s.SetFaults,
	}.Handler()
}

// SetFaults replaces all faults.
func (s *Service) SetFaults(faults backend.Faults) { s.injector.Set(faults) }

// Counters returns a copy of the counters.
func (s *Service) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.counters
	c.ExecutionsByKey = c.ExecutionsByKey.Clone()
	c.ExecutionsByID = c.ExecutionsByID.Clone()
	return c
}

// Status returns the response to GET /v1/status.
func (s *Service) Status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Status{Running: s.running, Slots: s.options.Slots}
}

func (s *Service) getStatus(w http.ResponseWriter, _ *http.Request) {
	backend.WriteJSON(w, http.StatusOK, s.Status())
}

func (s *Service) call(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(backend.HeaderRequestID)
	if id == "" {
		s.reject(w, http.StatusBadRequest, "the header Request-Id is missing")
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, backend.MaxBody))
	if err != nil {
		s.reject(w, http.StatusRequestEntityTooLarge, err.Error())
		return
	}
	receipt := Receipt{ID: id, Key: r.Header.Get(backend.HeaderIdempotencyKey), Path: r.PathValue("path"), Body: body}
	if !s.start(&receipt) {
		s.reject(w, http.StatusServiceUnavailable, "every slot is taken")
		return
	}
	defer s.finish()
	s.respond(w, r, receipt)
}

func (s *Service) reject(w http.ResponseWriter, status int, reason string) {
	s.mu.Lock()
	s.counters.NotRun++
	s.mu.Unlock()
	backend.WriteNotRun(w, status, reason)
}

// start takes a slot and counts the execution. It returns false if no slot is
// free.
func (s *Service) start(receipt *Receipt) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running >= s.options.Slots {
		return false
	}
	s.running++
	s.counters.ExecutionsByID[receipt.ID]++
	receipt.Execution = s.counters.ExecutionsByID[receipt.ID]
	if receipt.Key != "" {
		s.counters.ExecutionsByKey[receipt.Key]++
		receipt.Execution = s.counters.ExecutionsByKey[receipt.Key]
	}
	return true
}

func (s *Service) finish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

// respond sends the receipt in two halves and applies the faults between them.
func (s *Service) respond(w http.ResponseWriter, r *http.Request, receipt Receipt) {
	ctx := r.Context()
	s.pause(ctx)
	if s.injector.TakeWrongID() {
		receipt.ID += wrongIDSuffix
	}
	encoded, err := json.Marshal(receipt)
	if err != nil {
		backend.WriteError(w, http.StatusInternalServerError, err.Error())
		return
	}
	job := s.injector.Swap(ctx, backend.Job{ID: receipt.ID, Body: encoded})
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(backend.HeaderRequestID, job.ID)
	half := len(job.Body) / 2
	_, _ = w.Write(job.Body[:half])
	_ = http.NewResponseController(w).Flush()
	if s.injector.TakeAbort() {
		s.abort(&s.counters.Aborted)
	}
	s.injector.WaitStall(ctx)
	if ctx.Err() != nil {
		s.abort(&s.counters.Cancelled)
	}
	s.mu.Lock()
	s.counters.Completed++
	s.mu.Unlock()
	_, _ = w.Write(job.Body[half:])
}

func (s *Service) pause(ctx context.Context) {
	delay := s.options.Delay + s.injector.StepDelay()
	if delay <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-s.options.Clock.After(delay):
	}
}

// abort counts the call and aborts its connection, so that the caller cannot
// mistake half of the response for a complete one.
func (s *Service) abort(counter *int) {
	s.mu.Lock()
	*counter++
	s.mu.Unlock()
	panic(http.ErrAbortHandler)
}
