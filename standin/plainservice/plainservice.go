// Package plainservice is a stand-in of a plain service, some of whose calls
// may not be repeated. It answers a call with a receipt and the call's body,
// and counts what it ran (docs/PLATFORM-ENGINE.md).
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

// wrongID marks the request id that the fault WrongID names.
const wrongID = "-wrong"

// Options are the fixed traits of a service.
type Options struct {
	Slots int           // calls that run at once; 0 means 16, more are declined
	Delay time.Duration // per call
	Clock backend.Clock // nil means the machine's
}

// Receipt is the answer to a call.
type Receipt struct {
	ID        string `json:"id"`        // the Request-Id
	Key       string `json:"key"`       // the Idempotency-Key, "" if none
	Path      string `json:"path"`      // below /v1/call/
	Execution int    `json:"execution"` // how often this key, or id, has run
	Body      []byte `json:"body"`      // as it came, base64
}

// Status is the service's report of its work.
type Status struct {
	Running int `json:"running"`
	Slots   int `json:"slots"`
}

// Counters are what the service did since New.
type Counters struct {
	ExecutionsByKey backend.Counts `json:"executions_by_key"`
	ExecutionsByID  backend.Counts `json:"executions_by_id"`
	Completed       int            `json:"completed"`
	NotRun          int            `json:"not_run"`
	Cancelled       int            `json:"cancelled"` // the caller went away; it ran all the same
	Aborted         int            `json:"cut"`       // by a fault
}

// Service is one plain service. Its methods may be called at once.
type Service struct {
	backend.Server
	options  Options
	mux      *http.ServeMux
	injector backend.FaultInjector

	mu       sync.Mutex
	running  int
	counters Counters
}

// New returns a service. It serves HTTP; Start gives it an address of its own.
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

// AdminHandler serves the harness: counters and faults.
func (s *Service) AdminHandler() http.Handler {
	return backend.Admin[backend.Faults]{
		Counters: func() any { return s.Counters() },
		Faults:   s.SetFaults,
	}.Handler()
}

// SetFaults replaces all faults.
func (s *Service) SetFaults(faults backend.Faults) { s.injector.Set(faults) }

// Counters returns a copy of the counts.
func (s *Service) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.counters
	c.ExecutionsByKey = c.ExecutionsByKey.Clone()
	c.ExecutionsByID = c.ExecutionsByID.Clone()
	return c
}

// Status returns what GET /v1/status answers.
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
		s.decline(w, http.StatusBadRequest, "the header Request-Id is missing")
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, backend.MaxBody))
	if err != nil {
		s.decline(w, http.StatusRequestEntityTooLarge, err.Error())
		return
	}
	receipt := Receipt{ID: id, Key: r.Header.Get(backend.HeaderIdempotencyKey), Path: r.PathValue("path"), Body: body}
	if !s.start(&receipt) {
		s.decline(w, http.StatusServiceUnavailable, "every slot is taken")
		return
	}
	defer s.finish()
	s.answer(w, r, receipt)
}

func (s *Service) decline(w http.ResponseWriter, status int, reason string) {
	s.mu.Lock()
	s.counters.NotRun++
	s.mu.Unlock()
	backend.WriteNotRun(w, status, reason)
}

// start takes a slot and counts the execution; false if no slot is free.
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

// answer sends the receipt in two halves, the faults between them.
func (s *Service) answer(w http.ResponseWriter, r *http.Request, receipt Receipt) {
	ctx := r.Context()
	s.pause(ctx)
	if s.injector.TakeWrongID() {
		receipt.ID += wrongID
	}
	raw, err := json.Marshal(receipt)
	if err != nil {
		backend.WriteError(w, http.StatusInternalServerError, err.Error())
		return
	}
	sent := s.injector.Swap(ctx, backend.Job{ID: receipt.ID, Body: raw})
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(backend.HeaderRequestID, sent.ID)
	half := len(sent.Body) / 2
	_, _ = w.Write(sent.Body[:half])
	_ = http.NewResponseController(w).Flush()
	if s.injector.TakeAbort() {
		s.cut(&s.counters.Aborted)
	}
	s.injector.WaitStall(ctx)
	if ctx.Err() != nil {
		s.cut(&s.counters.Cancelled)
	}
	s.mu.Lock()
	s.counters.Completed++
	s.mu.Unlock()
	_, _ = w.Write(sent.Body[half:])
}

func (s *Service) pause(ctx context.Context) {
	pause := s.options.Delay + s.injector.StepDelay()
	if pause <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-s.options.Clock.After(pause):
	}
}

// cut counts the call and closes its connection, so that the caller cannot
// take half an answer for a whole one.
func (s *Service) cut(counter *int) {
	s.mu.Lock()
	*counter++
	s.mu.Unlock()
	panic(http.ErrAbortHandler)
}
