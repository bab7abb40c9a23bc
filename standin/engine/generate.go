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

// maxTokens bounds one answer.
const maxTokens = 1 << 16

// versionChanged marks the version that the fault ChangeVersion names.
const versionChanged = "-changed"

// wrongID marks the request id that the fault WrongID names.
const wrongID = "-wrong"

var (
	notLoaded = failure.Namespace.NewType("not_loaded")
	lifeEnded = failure.Namespace.NewType("life_ended")
)

type prompt struct {
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
}

// The lines of an answer, one JSON object each.
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

// execution is one request that runs.
type execution struct {
	job     backend.Job
	version fleet.Version // what the answer names
	last    fleet.Version // what its last line names
	bytes   fleet.Version // what its tokens are computed from
}

func (e *Engine) generate(w http.ResponseWriter, r *http.Request) {
	job, reason := readJob(w, r)
	if reason != "" {
		e.decline(w, http.StatusBadRequest, reason)
		return
	}
	ctx, current, end := e.lifeContext(r.Context())
	defer end()
	if !e.serves(current) {
		e.decline(w, http.StatusServiceUnavailable, "no version is loaded")
		return
	}
	if err := e.batch.enter(ctx, backend.Urgency(r.Header.Get(backend.HeaderPriority))); err != nil {
		e.notEntered(w, r, err)
		return
	}
	defer e.batch.leave()
	run, err := e.start(current, r.Header.Get(backend.HeaderIdempotencyKey), job)
	if err != nil {
		e.decline(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	run.job = e.injector.Swap(ctx, run.job)
	if how := e.send(ctx, w, run); how != completed {
		e.record(how, run)
		// The connection is cut, so that the caller cannot take what came for
		// a whole answer.
		panic(http.ErrAbortHandler)
	}
}

// readJob reads a request; reason is empty if it is sound.
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

// lifeContext returns a context that ends with the request or the loaded
// version.
func (e *Engine) lifeContext(ctx context.Context) (context.Context, *life, func()) {
	e.mu.Lock()
	current := e.life
	e.mu.Unlock()
	ctx, cancel := context.WithCancelCause(ctx)
	finished := make(chan struct{})
	go func() {
		select {
		case <-current.ended:
			cancel(lifeEnded.New("the loaded version went"))
		case <-finished:
		}
	}()
	return ctx, current, func() {
		close(finished)
		cancel(nil)
	}
}

func (e *Engine) notEntered(w http.ResponseWriter, r *http.Request, err error) {
	if r.Context().Err() != nil {
		e.mu.Lock()
		e.counters.Cancelled++
		e.mu.Unlock()
		return
	}
	e.decline(w, http.StatusServiceUnavailable, err.Error())
}

func (e *Engine) decline(w http.ResponseWriter, status int, reason string) {
	e.mu.Lock()
	e.counters.NotRun++
	e.mu.Unlock()
	backend.WriteNotRun(w, status, reason)
}

// start counts an execution and fixes the version that it is computed from.
func (e *Engine) start(current *life, key string, job backend.Job) (*execution, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.servesLocked(current) {
		return nil, notLoaded.New("the loaded version went")
	}
	if e.counters.ExecutionsByID == nil {
		e.counters.ExecutionsByID = backend.Counts{}
		e.counters.ExecutionsByKey = backend.Counts{}
		e.counters.AnswersByVersion = backend.Counts{}
	}
	e.counters.ExecutionsByID[job.ID]++
	if key != "" {
		e.counters.ExecutionsByKey[key]++
	}
	run := &execution{job: job, version: e.loaded, last: e.loaded, bytes: e.loaded}
	if !e.whole {
		e.counters.Mixed++
		run.bytes.Manifest = fleet.Digest{}
	}
	if e.faults.ChangeVersion > 0 {
		e.faults.ChangeVersion--
		run.last.Name += versionChanged
	}
	return run, nil
}

func (e *Engine) serves(current *life) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.servesLocked(current)
}

func (e *Engine) servesLocked(current *life) bool {
	return !current.over() && !e.loading && !e.loaded.IsZero()
}

// ending is how an execution ended.
type ending int

const (
	completed ending = iota
	cancelled        // the caller went away
	cut              // by a load, a restart or a fault
)

func endingOf(ctx context.Context) ending {
	if errorx.IsOfType(context.Cause(ctx), lifeEnded) {
		return cut
	}
	return cancelled
}

// send streams the answer.
func (e *Engine) send(ctx context.Context, w http.ResponseWriter, run *execution) ending {
	id := run.job.ID
	if e.injector.TakeWrongID() {
		id += wrongID
	}
	dies := e.injector.TakeDie()
	tokens := newSampler(run.job.Prompt, run.bytes)
	w.Header().Set("Content-Type", "application/x-ndjson")
	out := lineWriter{w: w, control: http.NewResponseController(w)}
	if !out.write(firstLine{ID: id, Version: run.version}) {
		return cancelled
	}
	for seq := range run.job.Tokens {
		if seq == run.job.Tokens/2 {
			if dies {
				return cut
			}
			e.injector.WaitStall(ctx)
		}
		e.pause(ctx)
		if ctx.Err() != nil {
			return endingOf(ctx)
		}
		if !out.write(tokenLine{ID: id, Seq: seq, Token: tokens.token(seq)}) {
			return cancelled
		}
	}
	// Recorded first, so that a caller who has the last line finds it counted.
	e.record(completed, run)
	out.write(lastLine{ID: id, Done: true, Tokens: run.job.Tokens, Version: run.last})
	return completed
}

// pause takes the time of one token, less if ctx ends.
func (e *Engine) pause(ctx context.Context) {
	pause := e.options.TokenTime + e.injector.Slow()
	if pause <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-e.options.Clock.After(pause):
	}
}

func (e *Engine) record(how ending, run *execution) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch how {
	case completed:
		e.counters.Completed++
		e.counters.AnswersByVersion[run.version.String()]++
	case cancelled:
		e.counters.Cancelled++
	case cut:
		e.counters.Cut++
	}
}

type lineWriter struct {
	w       http.ResponseWriter
	control *http.ResponseController
}

// write sends one line at once; false if the connection is gone.
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
