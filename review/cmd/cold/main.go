// Command cold plays the case of a server that crashes and starts again, cold, under the ID
// that it had.
package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"chivespindle.example/review/rig"
)

const (
	service   = "stock"
	servers   = 3
	entries   = 3
	clients   = 30
	slots     = 12
	workTime  = 15 * time.Millisecond
	heartbeat = 1200 * time.Millisecond
	// coldStart, coldPerS, overage and slack are those of the site.
	coldStart = 3 * time.Second
	coldPerS  = 17.0
	overage   = 1.5
	slack     = 5.0
	// clientPause is the pause of each client between two requests.
	clientPause = 150 * time.Millisecond
	downTime    = 700 * time.Millisecond
	storeDown   = 8 * time.Second
	// crashPerS is "well above" the rate that a cold server tolerates: three times of it.
	crashPerS = 3 * coldPerS
)

const config = `{"version":3,"routes":[
{"name":"r-reserve","host":"parts.example","prefix":"/reserve/","kind":"unsafe","timeoutMs":1200,"targetLatencyMs":120,"priority":2,"service":"stock","maxAttempts":1,"public":false},
{"name":"r-stock","host":"parts.example","prefix":"/stock/","kind":"safe","timeoutMs":1000,"targetLatencyMs":120,"priority":2,"service":"stock","maxAttempts":2,"public":false}],
"services":[{"name":"stock","healthPath":"/health","maxConns":600,"protocol":"h1","tls":false,"coldStartS":3.0,"coldPerS":17.0}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"dealer","apiKeys":["key-1"],"priority":1}]}`

// server is a plain server. It is cold for coldStart after a start during traffic.
type server struct {
	id string
	r  *rig.Rig

	mu        sync.Mutex
	addr      string
	http      *http.Server // nil while it is down
	born      int64
	coldUntil time.Time
	arrivals  []time.Time // while it was cold
	seqNo     int
	storeUp   func() bool
}

func (s *server) listen(addr string, cold bool) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.addr, s.born = l.Addr().String(), now.UnixMilli()
	if cold {
		s.coldUntil = now.Add(coldStart)
	}
	s.http = &http.Server{Handler: http.HandlerFunc(s.serveHTTP)}
	go func(h *http.Server) { _ = h.Serve(l) }(s.http)
	return nil
}

func (s *server) beat() {
	for {
		s.register()
		time.Sleep(heartbeat)
	}
}

// register writes the server's registration, if the server and the store are up.
func (s *server) register() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.http == nil || !s.storeUp() {
		return
	}
	s.seqNo++
	s.r.Store.Put("servers/"+s.id, map[string]any{"service": service, "address": s.addr, "zone": rig.Zone, "version": "v1", "slots": slots,
		"state": "ready", "coldLeftMs": max(0, time.Until(s.coldUntil).Milliseconds()), "seqNo": s.seqNo, "born": s.born})
}

func (s *server) serveHTTP(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	_, _ = io.Copy(io.Discard, r.Body)
	s.mu.Lock()
	left := s.coldUntil.Sub(now)
	s.mu.Unlock()
	if r.URL.Path == "/health" {
		w.Header().Set("X-Instance-Id", s.id)
		w.Header().Set("X-Cold-Ms", fmt.Sprint(max(0, left.Milliseconds())))
		return
	}
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if r.Header.Get(rig.Wire("instance")) != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if left > 0 && !s.bears(now, left, id) {
		s.r.Log("%s gets too many requests while it is cold", s.id)
		s.crash()
		panic(http.ErrAbortHandler)
	}
	time.Sleep(workTime)
	w.Header().Set(rig.Wire("stamp"), "stamp-"+s.id)
	_, _ = fmt.Fprintf(w, "stock of %s", r.URL.Path)
}

// bears records a request to the cold server and reports whether the server bears it.
func (s *server) bears(now time.Time, left time.Duration, id string) bool {
	s.r.Log("%s, cold for %v more, gets %s", s.id, left.Round(time.Millisecond), id)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrivals = append(s.arrivals, now)
	inSecond := 0
	for _, at := range s.arrivals {
		if now.Sub(at) <= time.Second {
			inSecond++
		}
	}
	return float64(inSecond) <= crashPerS
}

// crash ends the server's process, and starts it again after downTime.
func (s *server) crash() {
	s.mu.Lock()
	h, addr := s.http, s.addr
	s.http = nil
	s.mu.Unlock()
	if h == nil {
		return // it has crashed already
	}
	_ = h.Close()
	s.r.Log("%s crashes", s.id)
	time.AfterFunc(downTime, func() {
		if err := s.listen(addr, true); err != nil {
			s.r.Log("%s does not start again: %v", s.id, err)
			return
		}
		s.r.Log("%s is back under its ID, cold for %v", s.id, coldStart)
		s.register()
	})
}

// most returns the largest number of arrivals in one second while the server was cold.
func (s *server) most() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	most := 0
	for i := range s.arrivals {
		for j := i; j < len(s.arrivals) && s.arrivals[j].Sub(s.arrivals[i]) <= time.Second; j++ {
			most = max(most, j-i+1)
		}
	}
	return most
}

func startServers(r *rig.Rig, storeUp func() bool) ([]*server, error) {
	var all []*server
	for n := 1; n <= servers; n++ {
		s := &server{id: fmt.Sprintf("i-%d", n), r: r, storeUp: storeUp}
		if err := s.listen(rig.Host(100+n)+":0", false); err != nil {
			return nil, err
		}
		go s.beat()
		all = append(all, s)
	}
	return all, nil
}

// client sends requests to an entry until stop is closed.
func client(r *rig.Rig, n int, entry *rig.Process, stop chan struct{}, got func(status int)) {
	connection := rig.NewClient(1)
	for {
		select {
		case <-stop:
			return
		default:
		}
		q := rig.Request{Method: http.MethodGet, Host: "parts.example", Path: "/stock/7", Key: "key-1", Deadline: time.Second}
		if n%2 == 1 {
			q.Method, q.Path, q.Body = http.MethodPost, "/reserve/7", []byte("a part")
		}
		a := rig.Send(connection, entry, q)
		if a.Status != http.StatusOK {
			r.Log("%s %s %s at %s: %d, %v", q.Method, q.Path, a.ID, entry.Name, a.Status, a.Err)
		}
		got(a.Status)
		time.Sleep(clientPause)
	}
}

func main() { rig.Main(run) }

func run(r *rig.Rig, trouble bool) (bool, error) {
	r.Bounds["coldOverage"], r.Bounds["coldSlack"] = overage, slack
	withStore := os.Getenv("STORE") != "up"
	var mu sync.Mutex
	var downUntil time.Time
	storeUp := func() bool {
		mu.Lock()
		defer mu.Unlock()
		return time.Now().After(downUntil)
	}
	r.Store.SetFault(func(w http.ResponseWriter, q *http.Request) bool {
		if storeUp() {
			return false
		}
		w.WriteHeader(http.StatusServiceUnavailable)
		return true
	})
	r.Store.Put(rig.Wire("config"), json.RawMessage(config))
	all, err := startServers(r, storeUp)
	if err != nil {
		return false, err
	}
	fronts, err := r.StartEntries(entries)
	if err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	counts := make(map[int]int)
	for n := range clients {
		wg.Go(func() {
			client(r, n, fronts[n%len(fronts)], stop, func(status int) {
				mu.Lock()
				defer mu.Unlock()
				counts[status]++
			})
		})
	}
	time.Sleep(15 * time.Second)
	if trouble {
		if withStore {
			mu.Lock()
			downUntil = time.Now().Add(storeDown)
			mu.Unlock()
			r.Log("the store answers 503 for %v", storeDown)
			time.Sleep(500 * time.Millisecond)
		}
		all[0].crash()
	}
	time.Sleep(20 * time.Second)
	close(stop)
	wg.Wait()
	bound := coldPerS*overage + slack
	text := fmt.Sprintf("answered %v; most requests in one second at the cold server: %d, the bound is %.1f", counts, all[0].most(), bound)
	r.Result(text)
	return float64(all[0].most()) > bound, nil
}
