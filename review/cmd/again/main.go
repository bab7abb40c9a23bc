// Command again plays the case of servers that are shut down and started again under their
// IDs, one after the other.
package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"chivespindle.example/core/failure"
	"chivespindle.example/review/rig"
)

const (
	entries   = 3
	clients   = 45
	slots     = 24
	heartbeat = 1200 * time.Millisecond
	drain     = 2 * time.Second // drainMs
	linger    = time.Second     // "a little longer"
	downTime  = 2 * time.Second
	pause     = 150 * time.Millisecond // of a client between two requests, on average
)

var workTimes = map[string]time.Duration{portal: 20 * time.Millisecond, workshop: 250 * time.Millisecond}

const (
	portal   = "member-portal"
	workshop = "workshop-api"
)

// config returns a configuration, with or without the route that is added later.
func config(version int, withLater bool) json.RawMessage {
	later := ""
	if withLater {
		later = `,{"name":"r-later","host":"jobs.example","prefix":"/later/","kind":"safe","timeoutMs":3000,"targetLatencyMs":1000,"priority":2,"service":"workshop-api","maxAttempts":2,"public":false}`
	}
	return json.RawMessage(fmt.Sprintf(`{"version":%d,"routes":[
{"name":"r-portal","host":"jobs.example","prefix":"/portal/","kind":"safe","timeoutMs":3000,"targetLatencyMs":1000,"priority":2,"service":"member-portal","maxAttempts":2,"public":false},
{"name":"r-parts","host":"jobs.example","prefix":"/parts/","kind":"unsafe","timeoutMs":3000,"targetLatencyMs":1000,"priority":2,"service":"workshop-api","maxAttempts":1,"public":false}%s],
"services":[{"name":"workshop-api","healthPath":"/health","maxConns":96,"protocol":"h1","tls":false},{"name":"member-portal","healthPath":"/health","maxConns":48,"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"dock","apiKeys":["key-1"],"priority":1}]}`, version, later))
}

// server is a plain server.
type server struct {
	id, service string
	r           *rig.Rig

	mu      sync.Mutex
	addr    string
	http    *http.Server // nil while it is down
	born    int64
	seqNo   int
	leaving bool
}

func newServer(r *rig.Rig, n int, service string) (*server, error) {
	s := &server{id: fmt.Sprintf("i-%d", n), service: service, r: r}
	if err := s.listen(rig.Host(100+n) + ":0"); err != nil {
		return nil, err
	}
	go func() {
		for {
			s.register()
			time.Sleep(heartbeat)
		}
	}()
	return s, nil
}

func (s *server) listen(addr string) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addr, s.born, s.leaving, s.seqNo = l.Addr().String(), time.Now().UnixMilli(), false, 0
	s.http = &http.Server{Handler: http.HandlerFunc(s.serveHTTP)}
	go func(h *http.Server) { _ = h.Serve(l) }(s.http)
	return nil
}

func (s *server) register() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.http == nil {
		return
	}
	state := "ready"
	if s.leaving {
		state = "draining"
	}
	s.r.Store.Put("servers/"+s.id, map[string]any{"service": s.service, "address": s.addr, "zone": rig.Zone, "version": "v1", "slots": slots,
		"state": state, "coldLeftMs": 0, "seqNo": s.seqNo, "born": s.born})
}

func (s *server) serveHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	expected := r.Header.Get(rig.Wire("instance")) == s.id
	if expected {
		s.r.Log("%s runs %s", s.id, id)
		time.Sleep(workTimes[s.service])
	}
	s.mu.Lock()
	if s.leaving {
		w.Header().Set("Server-Leaving", "1")
		w.Header().Set("Connection", "close")
	}
	s.mu.Unlock()
	if !expected {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.Header().Set(rig.Wire("stamp"), "stamp-"+s.id)
	_, _ = fmt.Fprintf(w, "done %s", r.URL.Path)
}

// restart shuts the server down as it is planned, and starts it again under its ID.
func (s *server) restart() error {
	s.mu.Lock()
	s.leaving = true
	h, addr := s.http, s.addr
	s.mu.Unlock()
	s.register()
	s.r.Log("%s is draining", s.id)
	time.Sleep(drain + linger)
	s.mu.Lock()
	s.http = nil
	s.mu.Unlock()
	s.r.Store.Delete("servers/" + s.id)
	_ = h.Close()
	s.r.Log("%s has left", s.id)
	time.Sleep(downTime)
	if err := s.listen(addr); err != nil {
		return err
	}
	s.register()
	s.r.Log("%s is ready again under its ID", s.id)
	return nil
}

func main() { rig.Main(run) }

func run(r *rig.Rig, trouble bool) (bool, error) {
	r.Store.Put(rig.Wire("config"), config(3, false))
	var restarted []*server
	for n := 1; n <= 3; n++ {
		service := workshop
		if n == 3 {
			service = portal
		}
		s, err := newServer(r, n, service)
		if err != nil {
			return false, err
		}
		if service == workshop {
			restarted = append(restarted, s)
		}
	}
	time.Sleep(100 * time.Millisecond)
	fronts, err := r.StartEntries(entries)
	if err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	t := &tally{r: r, fronts: fronts, counts: make(map[string]map[int]int)}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for n := range clients {
		wg.Go(func() { t.client(n, stop) })
	}
	time.Sleep(10 * time.Second)
	t.print("before")
	if trouble {
		for _, s := range restarted {
			if err := s.restart(); err != nil {
				return false, err
			}
			time.Sleep(3 * time.Second)
		}
	}
	r.Store.Put(rig.Wire("config"), config(9, true))
	r.Log("a route to %s is added", workshop)
	time.Sleep(5 * time.Second) // configMs, and contactMs
	t.reset()
	t.setLater()
	time.Sleep(20 * time.Second)
	close(stop)
	wg.Wait()
	t.print("after")
	laterServed, later := t.share("/later/1")
	servedPortal, sentPortal := t.share("/portal/1")
	servedParts, sentParts := t.share("/parts/1")
	first, served := sentPortal+sentParts, servedPortal+servedParts
	if later < 20 || first < 20 {
		return false, failure.Unavailable.New("too few requests")
	}
	fmt.Printf("added route: %d of %d served; first routes: portal %d of %d, parts %d of %d\n", laterServed, later, servedPortal, sentPortal, servedParts, sentParts)
	return 4*laterServed*first < served*later, nil
}

// tally counts the answers by path and status.
type tally struct {
	r      *rig.Rig
	fronts []*rig.Process

	mu     sync.Mutex
	later  bool
	counts map[string]map[int]int
}

func (t *tally) setLater() { t.mu.Lock(); t.later = true; t.mu.Unlock() }

func (t *tally) reset() { t.mu.Lock(); t.counts = make(map[string]map[int]int); t.mu.Unlock() }

func (t *tally) print(when string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.r.Log("%s: answers by path and status: %v", when, t.counts)
}

// share returns how many requests on a path were served, and how many were sent.
func (t *tally) share(path string) (served, sent int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for status, n := range t.counts[path] {
		sent += n
		if status == http.StatusOK {
			served += n
		}
	}
	return served, sent
}

func (t *tally) client(n int, stop chan struct{}) {
	client := rig.NewClient(1)
	for i := n; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(rand.N(2 * pause)):
		}
		t.mu.Lock()
		later := t.later
		t.mu.Unlock()
		q := rig.Request{Method: http.MethodGet, Host: "jobs.example", Path: "/portal/1", Key: "key-1", Deadline: 3 * time.Second}
		switch {
		case i%3 == 1 || i%3 == 2 && !later:
			q.Method, q.Path, q.Body = http.MethodPost, "/parts/1", []byte("a part")
		case i%3 == 2:
			q.Path = "/later/1"
		}
		a := rig.Send(client, t.fronts[n%len(t.fronts)], q)
		if a.Status != http.StatusOK {
			t.r.Log("%s %s %s at %s: %d, %v", q.Method, q.Path, a.ID, t.fronts[n%len(t.fronts)].Name, a.Status, a.Err)
		}
		t.mu.Lock()
		if t.counts[q.Path] == nil {
			t.counts[q.Path] = make(map[int]int)
		}
		t.counts[q.Path][a.Status]++
		t.mu.Unlock()
	}
}
