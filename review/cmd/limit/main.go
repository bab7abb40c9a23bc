// Command limit plays the case of entries that start again while the machines that their
// settings name as seeds are down.
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

	"chivespindle.example/review/rig"
)

const (
	entries   = 6
	seeds     = 3 // the first ones
	slots     = 12
	heartbeat = 1200 * time.Millisecond
	workTime  = 20 * time.Millisecond
	clients   = 12
	pause     = 100 * time.Millisecond // of a client between two requests, on average
	perSecond = 4.0                    // the limit that the server names
	contact   = 3 * time.Second
	window    = 4 * time.Second
	limitTime = 25 * time.Second
	workshop  = "workshop-api"
)

const config = `{"version":3,"routes":[
{"name":"r-parts","host":"jobs.example","prefix":"/parts/","kind":"unsafe","timeoutMs":1500,"targetLatencyMs":300,"priority":2,"service":"workshop-api","maxAttempts":1,"public":false}],
"services":[{"name":"workshop-api","healthPath":"/health","maxConns":96,"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"dock","apiKeys":["key-1"],"priority":1}]}`

// server is a plain server.
type server struct {
	id, service string
	r           *rig.Rig

	mu       sync.Mutex
	addr     string
	http     *http.Server
	born     int64
	limited  bool
	namedAt  time.Time // when it first named its limit
	arrivals []time.Time
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
	if r.Header.Get(rig.Wire("instance")) != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	now := time.Now()
	s.mu.Lock()
	s.arrivals = append(s.arrivals, now)
	if s.limited {
		if s.namedAt.IsZero() {
			s.namedAt = now
		}
		w.Header().Set("Server-Limit", fmt.Sprint(perSecond))
	}
	s.mu.Unlock()
	s.r.Log("%s runs %s", s.id, id)
	time.Sleep(workTime)
	w.Header().Set(rig.Wire("stamp"), "stamp-"+s.id)
	_, _ = fmt.Fprintf(w, "done %s", r.URL.Path)
}

func (s *server) startLimit() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limited = true
	s.r.Log("%s names its limit of %v a second", s.id, perSecond)
}

// most returns the largest number of arrivals in a window from contactMs after the server first
// named its limit.
func (s *server) most() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	most, from := 0, s.namedAt.Add(contact)
	for i, at := range s.arrivals {
		if at.Before(from) {
			continue
		}
		n := 0
		for _, other := range s.arrivals[i:] {
			if other.Sub(at) <= window {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// restart starts entries again after a loss of power.
func restart(left []*rig.Process) error {
	time.Sleep(time.Second)
	for _, p := range left {
		if err := p.Run(); err != nil {
			return err
		}
	}
	return nil
}

func main() { rig.Main(run) }

func run(r *rig.Rig, trouble bool) (bool, error) {
	r.Store.Put(rig.Wire("config"), json.RawMessage(config))
	s, err := newServer(r, 1, workshop)
	if err != nil {
		return false, err
	}
	time.Sleep(100 * time.Millisecond)
	fronts, err := r.StartEntries(entries)
	if err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	left := fronts[seeds:]
	for _, p := range fronts[:seeds] {
		p.Kill() // for good
	}
	if trouble {
		for _, p := range left {
			p.Kill()
		}
		if err := restart(left); err != nil {
			return false, err
		}
	}
	if err := r.WaitReady(15*time.Second, left...); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var mu sync.Mutex
	counts := make(map[int]int)
	for n := range clients {
		wg.Go(func() {
			client := rig.NewClient(1)
			for {
				select {
				case <-stop:
					return
				case <-time.After(rand.N(2 * pause)):
				}
				a := rig.Send(client, left[n%len(left)], rig.Request{Method: http.MethodPost, Host: "jobs.example", Path: "/parts/1", Key: "key-1", Body: []byte("a part"), Deadline: 3 * time.Second})
				mu.Lock()
				counts[a.Status]++
				mu.Unlock()
			}
		})
	}
	time.Sleep(15 * time.Second)
	s.startLimit()
	time.Sleep(limitTime)
	close(stop)
	wg.Wait()
	bound := 1.5*perSecond*window.Seconds() + 5
	text := fmt.Sprintf("answered %v; most requests in 4 s: %d, the bound is %.1f", counts, s.most(), bound)
	r.Result(text)
	return float64(s.most()) > bound, nil
}
