package rig

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	"chivespindle.example/platform/standin"
)

// Weights of the model servers.
const (
	Model      = "m1"
	chunks     = 12
	chunkBytes = 8 << 10
)

const (
	heartbeat = 1200 * time.Millisecond
	// loadTime is how long a model server takes to load the staged weights.
	loadTime = 300 * time.Millisecond
)

// EngineConfig returns the services of a configuration with model servers and the origin of
// their weights at an address.
func EngineConfig(service, origin string) string {
	return fmt.Sprintf(`{"name":%q,"healthPath":"/health","maxConns":424,"protocol":"h1","tls":false,"engine":{"slots":16,"kvCapacity":317000,`+
		`"kvTokenBytes":262144,"stride":5,"models":[{"name":%q,"pace":1.0,"loadS":4.0,"warmS":0.3}],"mb":149000.0,"step_ms":9.27,"per_seq_ms":0.0232,`+
		`"context_per_k":0.0322,"read_per_s":20700.0,"pairs_per_m":1.18,"chunk":2048,"report_lag_ms":200.0,"usual":{"prompt":979,"answer":92},`+
		`"layers":16,"chunks":%d,"chunkBytes":%d}},{"name":"weights","origin":%q,"zone":%q,"linkMbps":15.0,"maxConns":48}`,
		service, Model, chunks, chunkBytes, origin, Zone)
}

// StartOrigin starts the service that serves the weights, and returns its address.
func (r *Rig) StartOrigin() (string, error) {
	o := &standin.Origin{Model: Model, Chunks: chunks, ChunkBytes: chunkBytes}
	o.Publish(1)
	l, err := net.Listen("tcp", Host(201)+":0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(l, o) }()
	return l.Addr().String(), nil
}

// Engine is a model server on a machine of its own: the project's stand-in, with the
// registration, the start time and the restarts that the users' pages tell of.
type Engine struct {
	ID, Service, Addr string
	// CrashPart is the part of prompts that crashes the server as it begins to write an answer;
	// empty for none. DownTime is how long it is down then.
	CrashPart string
	DownTime  time.Duration
	// OnCrash and OnRun are called with the ID of the request; they may be nil.
	OnCrash, OnRun func(server, request string)

	rig    *Rig
	server *standin.Server
	mu     sync.Mutex
	http   *http.Server
	born   int64
	seqNo  int
}

// StartEngine starts a model server with loaded and staged weights on machine n.
func (r *Rig) StartEngine(n int, service string) (*Engine, error) {
	e := &Engine{ID: fmt.Sprintf("i-%d", n), Service: service, rig: r, DownTime: 3 * time.Second}
	e.server = standin.NewServer(e.ID, Model, chunks, chunkBytes, 1)
	e.server.LoadTime = loadTime
	e.server.Events, e.server.EventInterval = 8, 50*time.Millisecond
	for number := range chunks { // the weights are staged
		request := httptest.NewRequest(http.MethodPut, fmt.Sprintf("%s%s?number=%d", Wire("staging"), Model, number),
			strings.NewReader(string(standin.Chunk(1, number, chunkBytes))))
		e.server.ServeHTTP(httptest.NewRecorder(), request)
	}
	if err := e.listen(Host(n) + ":0"); err != nil {
		return nil, err
	}
	go e.beat()
	return e, nil
}

func (e *Engine) listen(addr string) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.Addr = l.Addr().String()
	e.born = time.Now().UnixMilli()
	e.http = &http.Server{Handler: http.HandlerFunc(e.serveHTTP)}
	go func(s *http.Server) { _ = s.Serve(l) }(e.http)
	return nil
}

// beat writes the server's registration, as long as it lives.
func (e *Engine) beat() {
	for {
		e.register()
		time.Sleep(heartbeat)
	}
}

func (e *Engine) register() {
	loaded, _ := e.server.Loaded()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.http == nil {
		return
	}
	e.seqNo++
	item := map[string]any{"service": e.Service, "address": e.Addr, "zone": Zone, "version": "v1", "slots": 16, "state": "ready",
		"coldLeftMs": 0, "seqNo": e.seqNo, "born": e.born, "layers": nil, "models": []any{}}
	if loaded > 0 {
		item["layers"] = map[string]any{"from": 0, "target": 16, "version": loaded}
		item["models"] = []any{map[string]any{"name": Model, "version": loaded, "adapters": []any{}}}
	}
	e.rig.Store.Put("servers/"+e.ID, item)
}

func (e *Engine) serveHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	switch {
	case r.URL.Path == "/report":
		e.report(w, r)
		return
	case strings.HasPrefix(r.URL.Path, "/stage-") || r.URL.Path == "/order":
		e.server.ServeHTTP(w, r)
		return
	}
	loaded, _ := e.server.Loaded()
	runs := r.Header.Get(Wire("instance")) == e.ID && (r.Header.Get(Wire("version")) == "" || r.Header.Get(Wire("version")) == fmt.Sprint(loaded))
	if runs && e.hasCrashPart(r) {
		time.Sleep(40 * time.Millisecond) // it reads the prompt
		if e.OnCrash != nil {
			e.OnCrash(e.ID, id)
		}
		e.Crash()
		panic(http.ErrAbortHandler)
	}
	if runs && e.OnRun != nil {
		e.OnRun(e.ID, id)
	}
	e.server.ServeHTTP(w, r)
}

func (e *Engine) hasCrashPart(r *http.Request) bool {
	if e.CrashPart == "" {
		return false
	}
	for _, part := range strings.Split(r.Header.Get(Wire("parts")), ",") {
		if id, _, _ := strings.Cut(part, ":"); id == e.CrashPart {
			return true
		}
	}
	return false
}

func (e *Engine) report(w http.ResponseWriter, r *http.Request) {
	recorder := httptest.NewRecorder()
	e.server.ServeHTTP(recorder, r)
	var report map[string]any
	if err := json.Unmarshal(recorder.Body.Bytes(), &report); err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	e.mu.Lock()
	report["born"] = e.born
	e.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(report)
}

// Crash ends the server's process: its connections break, and new ones are refused. After
// DownTime it starts again under its ID, with what was staged and without layers.
func (e *Engine) Crash() {
	e.mu.Lock()
	server := e.http
	e.http = nil
	e.mu.Unlock()
	if server == nil {
		return // it has crashed already
	}
	_ = server.Close()
	e.rig.Log("%s is down", e.ID)
	time.AfterFunc(e.DownTime, func() {
		e.server.Restart(false)
		if err := e.listen(e.Addr); err != nil {
			e.rig.Log("%s does not start again: %v", e.ID, err)
			return
		}
		e.rig.Log("%s is back", e.ID)
		e.register()
	})
}
