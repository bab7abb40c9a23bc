package engine

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/joomcode/errorx"

	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
	"chivespindle.example/standin/engine/backend"
)

// maxTokens bounds the number of tokens of a response.
const maxTokens = 1 << 16

// changedVersionSuffix is appended to the version in the last line by the fault
// ChangeVersion.
const changedVersionSuffix = "-changed"

// wrongIDSuffix is appended to the request ID of a response by the fault
// WrongID.
const wrongIDSuffix = "-wrong"

var (
	notLoaded      = failure.Namespace.NewType("not_loaded")
	loadScopeEnded = failure.Namespace.NewType("life_ended")
)

type prompt struct {
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
}

// Lines of a response, one JSON object each.
type (
	firstLine struct {
		ID      string        `json:"id"`
		Version fleet.Version `json:"version"`
	}
	tokenLine struct {
		ID    string `json:"id"`
		Seq   int    `json:"seq"`
		Token string `json:"token"`
	}
	lastLine struct {
		ID      string        `json:"id"`
		Done    bool          `json:"done"`
		Tokens  int           `json:"tokens"`
		Version fleet.Version `json:"version"`
	}
)

// execution is a running request.
type execution struct {
	job          backend.Job
	version      fleet.Version // named in the first line
	finalVersion fleet.Version // named in the last line
	computedFrom fleet.Version // the version that the tokens are computed from
}

func (e *Engine) generate(w http.ResponseWriter, r *http.Request) {
	job, reason := readJob(w, r)
	if reason != "" {
		e.reject(w, http.StatusBadRequest, reason)
		return
	}
	ctx, scope, release := e.requestContext(r.Context())
	defer release()
	if !e.canServe(scope) {
		e.reject(w, http.StatusServiceUnavailable, "no version is loaded")
		return
	}
	if err := e.batch.acquire(ctx, backend.ParseUrgency(r.Header.Get(backend.HeaderPriority))); err != nil {
		e.handleAcquireError(w, r, err)
		return
	}
	defer e.batch.release()
	run, err := e.start(scope, r.Header.Get(backend.HeaderIdempotencyKey), job)
	if err != nil {
		e.reject(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	run.job = e.injector.Swap(ctx, run.job)
	if result := e.stream(ctx, w, run); result != completed {
		e.recordResult(result, run)
		// Abort the connection, so that the caller cannot mistake the received
		// part for a complete response.
		panic(http.ErrAbortHandler)
	}
}

// readJob parses a request. The reason is empty if the request is valid.
func readJob(w http.ResponseWriter, r *http.Request) (job backend.Job, reason string) {
	id := r.Header.Get(backend.HeaderRequestID)
	if id == "" {
		return job, "the header Request-Id is missing"
	}
	var p prompt
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, backend.MaxBody)).Decode(&p); err != nil {
		return job, err.Error()
	}
	if p.MaxTokens < 1 || p.MaxTokens > maxTokens {
		return job, "max_tokens is out of range"
	}
	return backend.Job{ID: id, Prompt: p.Prompt, Tokens: p.MaxTokens}, ""
}

// requestContext returns a context that ends with the request or with the
// current loadScope, that loadScope, and a function that releases the context.
func (e *Engine) requestContext(ctx context.Context) (context.Context, *loadScope, func()) {
	e.mu.Lock()
	scope := e.scope
	e.mu.Unlock()
	ctx, cancel := context.WithCancelCause(ctx)
	finished := make(chan struct{})
	go func() {
		select {
		case <-scope.ended:
			cancel(loadScopeEnded.New("the loaded version went"))
		case <-finished:
		}
	}()
	return ctx, scope, func() {
		close(finished)
		cancel(nil)
	}
}

func (e *Engine) handleAcquireError(w http.ResponseWriter, r *http.Request, err error) {
	if r.Context().Err() != nil {
		e.mu.Lock()
		e.counters.Cancelled++
		e.mu.Unlock()
		return
	}
	e.reject(w, http.StatusServiceUnavailable, err.Error())
}

func (e *Engine) reject(w http.ResponseWriter, status int, reason string) {
	e.mu.Lock()
	e.counters.NotRun++
	e.mu.Unlock()
	backend.WriteNotRun(w, status, reason)
}

// start counts an execution and determines the version that its tokens are
// computed from.
func (e *Engine) start(scope *loadScope, key string, job backend.Job) (*execution, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.canServeLocked(scope) {
		return nil, notLoaded.New("the loaded version went")
	}
	if e.counters.ExecutionsByID == nil {
		e.counters.ExecutionsByID = backend.Counts{}
		e.counters.ExecutionsByKey = backend.Counts{}
		e.counters.ResponsesByVersion = backend.Counts{}
	}
	e.counters.ExecutionsByID[job.ID]++
	if key != "" {
		e.counters.ExecutionsByKey[key]++
	}
	run := &execution{job: job, version: e.loaded, finalVersion: e.loaded, computedFrom: e.loaded}
	if !e.verified {
		e.counters.WeightMismatches++
		run.computedFrom.Manifest = fleet.Digest{}
	}
	if e.faults.ChangeVersion > 0 {
		e.faults.ChangeVersion--
		run.finalVersion.Name += changedVersionSuffix
	}
	return run, nil
}

func (e *Engine) canServe(scope *loadScope) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.canServeLocked(scope)
}

func (e *Engine) canServeLocked(scope *loadScope) bool {
	return !scope.hasEnded() && !e.loading && !e.loaded.IsZero()
}

// executionResult is how an execution ended.
type executionResult int

const (
	completed executionResult = iota
	cancelled                 // the caller disconnected
	aborted                   // aborted by a load, a restart or a fault
)

func abortResult(ctx context.Context) executionResult {
	if errorx.IsOfType(context.Cause(ctx), loadScopeEnded) {
		return aborted
	}
	return cancelled
}

// stream sends the response.
func (e *Engine) stream(ctx context.Context, w http.ResponseWriter, run *execution) executionResult {
	id := run.job.ID
	if e.injector.TakeWrongID() {
		id += wrongIDSuffix
	}
	aborts := e.injector.TakeAbort()
	tokenSampler := newSampler(run.job.Prompt, run.computedFrom)
	w.Header().Set("Content-Type", "application/x-ndjson")
	out := lineWriter{w: w, control: http.NewResponseController(w)}
	if !out.write(firstLine{ID: id, Version: run.version}) {
		return cancelled
	}
	for seq := range run.job.Tokens {
		if seq == run.job.Tokens/2 {
			if aborts {
				return aborted
			}
			e.injector.WaitStall(ctx)
		}
		e.pause(ctx)
		if ctx.Err() != nil {
			return abortResult(ctx)
		}
		if !out.write(tokenLine{ID: id, Seq: seq, Token: tokenSampler.token(seq)}) {
			return cancelled
		}
	}
	// Recorded before the last line is sent, so that a caller who has received
	// it finds the request counted.
	e.recordResult(completed, run)
	out.write(lastLine{ID: id, Done: true, Tokens: run.job.Tokens, Version: run.finalVersion})
	return completed
}

// pause waits for the time of one token or until ctx ends.
func (e *Engine) pause(ctx context.Context) {
	delay := e.options.TokenTime + e.injector.StepDelay()
	if delay <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-e.options.Clock.After(delay):
	}
}

func (e *Engine) recordResult(result executionResult, run *execution) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch result {
	case completed:
		e.counters.Completed++
		e.counters.ResponsesByVersion[run.version.String()]++
	case cancelled:
		e.counters.Cancelled++
	case aborted:
		e.counters.Aborted++
	}
}

type lineWriter struct {
	w       http.ResponseWriter
	control *http.ResponseController
}

// write sends and flushes one line. It returns false if the connection is
// closed.
func (l lineWriter) write(line any) bool {
	raw, err := json.Marshal(line)
	if err != nil {
		return false
	}
	if _, err := l.w.Write(append(raw, '\n')); err != nil {
		return false
	}
	return l.control.Flush() == nil
}
