// Command hot plays the case of a request that many clients send alike, when all servers of
// its service crash at once.
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
	clients   = 60
	slots     = 24
	heartbeat = 1200 * time.Millisecond
	downTime  = 3 * time.Second
	pause     = 150 * time.Millisecond // of a client between two requests, on average
)

var workTimes = map[string]time.Duration{portal: 20 * time.Millisecond, workshop: 200 * time.Millisecond}

const (
	portal   = "member-portal"
	workshop = "workshop-api"
)

// config returns the configuration with and without the route that is added later.
func config(version int, withBoard bool) json.RawMessage {
	board := ""
	if withBoard {
		board = `,
{"name":"r-board","host":"jobs.example","prefix":"/board/","kind":"safe","timeoutMs":1500,"targetLatencyMs":1000,"priority":2,"service":"workshop-api","maxAttempts":2,"public":false}`
	}
	return json.RawMessage(fmt.Sprintf(`{"version":%d,"routes":[
{"name":"r-portal","host":"jobs.example","prefix":"/portal/","kind":"safe","timeoutMs":1500,"targetLatencyMs":1000,"priority":2,"service":"member-portal","maxAttempts":2,"public":false},
{"name":"r-parts","host":"jobs.example","prefix":"/parts/","kind":"unsafe","timeoutMs":1500,"targetLatencyMs":1000,"priority":2,"service":"workshop-api","maxAttempts":1,"public":false}%s],
"services":[{"name":"workshop-api","healthPath":"/health","maxConns":96,"protocol":"h1","tls":false},{"name":"member-portal","healthPath":"/health","maxConns":48,"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"dock","apiKeys":["key-1"],"priority":1}]}`, version, board))
}

// server is a plain server.
type server struct {
	id, service string
	r           *rig.Rig

	mu   sync.Mutex
	addr string
	http *http.Server // nil while it is down
	born int64
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
	s.addr, s.born = l.Addr().String(), time.Now().UnixMilli()
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
	s.r.Store.Put("servers/"+s.id, map[string]any{"service": s.service, "address": s.addr, "zone": rig.Zone, "version": "v1", "slots": slots,
		"state": "ready", "coldLeftMs": 0, "seqNo": 0, "born": s.born})
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
	if !expected {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.Header().Set(rig.Wire("stamp"), "stamp-"+s.id)
	_, _ = fmt.Fprintf(w, "done %s", r.URL.Path)
}

// crash ends the server's process, and starts it again under its ID after downTime.
func (s *server) crash() {
	s.mu.Lock()
	h, addr := s.http, s.addr
	s.http = nil
	s.mu.Unlock()
	_ = h.Close()
	s.r.Log("%s crashes", s.id)
	time.AfterFunc(downTime, func() {
		if err := s.listen(addr); err != nil {
			s.r.Log("%s does not start again: %v", s.id, err)
			return
		}
		s.register()
		s.r.Log("%s is back", s.id)
	})
}

func main() { rig.Main(run) }

func run(r *rig.Rig, trouble bool) (bool, error) {
	r.Store.Put(rig.Wire("config"), config(3, false))
	var crashing []*server
	for n := 1; n <= 7; n++ {
		service := workshop
		if n == 7 {
			service = portal
		}
		s, err := newServer(r, n, service)
		if err != nil {
			return false, err
		}
		if service == workshop {
			crashing = append(crashing, s)
		}
	}
	time.Sleep(100 * time.Millisecond)
	fronts, err := r.StartEntries(entries)
	if err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	r.Store.Put(rig.Wire("config"), config(9, true))
	r.Log("the route /board/ is added")
	time.Sleep(3 * time.Second) // configMs is 2 s
	t := &tally{r: r, fronts: fronts, counts: make(map[string]map[int]int)}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for n := range clients {
		wg.Go(func() { t.client(n, stop) })
	}
	time.Sleep(10 * time.Second)
	t.print("before")
	if trouble {
		for _, s := range crashing {
			go s.crash()
		}
	}
	time.Sleep(downTime + 5*time.Second) // they are back, and contactMs
	t.reset()
	time.Sleep(30 * time.Second)
	close(stop)
	wg.Wait()
	t.print("after")
	servedBoard, sentBoard := t.share("/board/today")
	servedPortal, sentPortal := t.share("/portal/1")
	servedParts, sentParts := t.share("/parts/1")
	first, served := sentPortal+sentParts, servedPortal+servedParts
	if sentBoard < 20 || first < 20 {
		return false, failure.Unavailable.New("too few requests")
	}
	text := fmt.Sprintf("once all servers are back: added route: board %d of %d served; first routes: parts %d of %d, portal %d of %d",
		servedBoard, sentBoard, servedParts, sentParts, servedPortal, sentPortal)
	r.Result(text)
	return 4*servedBoard*first < served*sentBoard, nil
}

// tally counts the answers by path and status.
type tally struct {
	r      *rig.Rig
	fronts []*rig.Process

	mu     sync.Mutex
	counts map[string]map[int]int
}

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
		q := rig.Request{Method: http.MethodGet, Host: "jobs.example", Path: "/portal/1", Key: "key-1", Deadline: 3 * time.Second}
		switch i % 3 {
		case 1:
			q.Method, q.Path, q.Body = http.MethodPost, "/parts/1", []byte(rig.NewID())
		case 2:
			q.Path = "/board/today"
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
