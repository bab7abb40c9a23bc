// Command seeds plays the case of entries that start again after a loss of power, while the
// machines that their settings name as seeds stay down, and of a request that crashes servers.
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
	servers   = 12
	slots     = 6
	heartbeat = 1200 * time.Millisecond
	workTime  = 60 * time.Millisecond
	clients   = 12
	pause     = 200 * time.Millisecond // of a client between two requests, on average
	contact   = 3 * time.Second        // contactMs
	downTime  = 3 * time.Second        // of a server that has crashed
	// crashEvery is the time between two arrivals of the request that crashes servers.
	crashEvery = 2 * time.Second
	crashBody  = "a request that crashes servers"
	crashSpan  = 40 * time.Second
	workshop   = "workshop-api"
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

	mu      sync.Mutex
	addr    string
	http    *http.Server
	born    int64
	onCrash func(server, request string)
}

func newServer(r *rig.Rig, n int, service string, onCrash func(server, request string)) (*server, error) {
	s := &server{id: fmt.Sprintf("i-%d", n), service: service, r: r, onCrash: onCrash}
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
	body, _ := io.ReadAll(r.Body)
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if r.Header.Get(rig.Wire("instance")) != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.r.Log("%s runs %s", s.id, id)
	if string(body) == crashBody {
		s.onCrash(s.id, id)
		s.crash()
		panic(http.ErrAbortHandler)
	}
	time.Sleep(workTime)
	w.Header().Set(rig.Wire("stamp"), "stamp-"+s.id)
	_, _ = fmt.Fprintf(w, "done %s", r.URL.Path)
}

// crash ends the server's process, and starts it again under its ID after downTime.
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
		if err := s.listen(addr); err != nil {
			s.r.Log("%s does not start again: %v", s.id, err)
			return
		}
		s.register()
		s.r.Log("%s is back", s.id)
	})
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

// soundClient sends sound requests to an entry until stop is closed.
func soundClient(r *rig.Rig, entry *rig.Process, stop chan struct{}, got func(status int)) {
	client := rig.NewClient(1)
	for {
		select {
		case <-stop:
			return
		case <-time.After(rand.N(2 * pause)):
		}
		a := rig.Send(client, entry, rig.Request{Method: http.MethodPost, Host: "jobs.example", Path: "/parts/1", Key: "key-1", Body: []byte("a part " + rig.NewID()), Deadline: 3 * time.Second})
		if a.Status != http.StatusOK {
			r.Log("sound %s at %s: %d, %v", a.ID, entry.Name, a.Status, a.Err)
		}
		got(a.Status)
	}
}

// sendCrashing sends the request that crashes servers to the entries in turn.
func sendCrashing(r *rig.Rig, left []*rig.Process) {
	end := time.Now().Add(crashSpan)
	for n := 0; time.Now().Before(end); n++ {
		entry := left[n%len(left)]
		a := rig.Send(rig.NewClient(0), entry, rig.Request{Method: http.MethodPost, Host: "jobs.example", Path: "/parts/1", Key: "key-1", Body: []byte(crashBody), Deadline: 3 * time.Second})
		r.Log("the request that crashes servers comes as %s to %s: %d, %v", a.ID, entry.Name, a.Status, a.Err)
		time.Sleep(crashEvery)
	}
}

// lateCrashes returns how many crashes came later than contactMs after the third.
func lateCrashes(crashes []time.Time) int {
	late := 0
	for i, at := range crashes {
		if i > 2 && at.After(crashes[2].Add(contact)) {
			late++
		}
	}
	return late
}

func main() { rig.Main(run) }

func run(r *rig.Rig, trouble bool) (bool, error) {
	r.Store.Put(rig.Wire("config"), json.RawMessage(config))
	var mu sync.Mutex
	var crashes []time.Time
	onCrash := func(server, id string) {
		mu.Lock()
		defer mu.Unlock()
		crashes = append(crashes, time.Now())
		r.Log("%s begins to run %s and crashes (crash %d)", server, id, len(crashes))
	}
	for n := 1; n <= servers; n++ {
		if _, err := newServer(r, n, workshop, onCrash); err != nil {
			return false, err
		}
	}
	fronts, err := r.StartEntries(entries)
	if err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	left := fronts[seeds:]
	if trouble {
		r.Log("-- all entries lose power at once; the seeds stay down")
		var off sync.WaitGroup
		for _, p := range fronts {
			off.Go(p.Kill)
		}
		off.Wait()
		if err := restart(left); err != nil {
			return false, err
		}
	}
	if err := r.WaitReady(15*time.Second, left...); err != nil {
		return false, err
	}
	time.Sleep(contact + 2*time.Second)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	counts := make(map[int]int)
	for n := range clients {
		wg.Go(func() {
			soundClient(r, left[n%len(left)], stop, func(status int) {
				mu.Lock()
				defer mu.Unlock()
				counts[status]++
			})
		})
	}
	time.Sleep(3 * time.Second)
	sendCrashing(r, left)
	close(stop)
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	late := lateCrashes(crashes)
	text := fmt.Sprintf("sound requests answered %v; crashes %d, later than contactMs after the third: %d, 3 are allowed", counts, len(crashes), late)
	r.Result(text)
	return late > 3, nil
}
