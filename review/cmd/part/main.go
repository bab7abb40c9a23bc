// Command part plays the case of a part of prompts that crashes servers, after a restart of
// all entries.
package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"chivespindle.example/core/failure"
	"chivespindle.example/review/rig"
)

const (
	engines = 10
	entries = 3
	service = "pool"
	// badPart crashes each server that begins to write an answer on it. commonPart stands in
	// all prompts of the tenant.
	badPart    = "bad00001"
	commonPart = "c0000001"
	contact    = 3 * time.Second // contactMs
	// soundEvery is the time between two sound requests, badEvery that between two with the bad
	// part.
	soundEvery = 2 * time.Second
	badEvery   = 110 * time.Millisecond
	soundCount = 21 // before and after
	// killAfter is how long after a sound request was sent all entries are killed: it has its
	// answer by then. downTime is how long they are down; those of the site's days are 0.57 s
	// to 1.6 s.
	killAfter = 50 * time.Millisecond
	downTime  = 600 * time.Millisecond
)

const config = `{"version":3,"routes":[
{"name":"r-stream","host":"relay.example","prefix":"/read/","kind":"streaming","timeoutMs":6000,"targetLatencyMs":500,"priority":1,"service":"pool","maxAttempts":2,"public":false,"sticky":true,"resumable":true,"gapAimMs":400}],
"services":[%s],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"dock","apiKeys":["key-1"],"priority":1}]}`

type tally struct {
	mu      sync.Mutex
	runs    map[string]int // of sound requests, by ID
	crashes []time.Time
}

func main() { rig.Main(run) }

func run(r *rig.Rig, trouble bool) (bool, error) {
	origin, err := r.StartOrigin()
	if err != nil {
		return false, err
	}
	r.Store.Put(rig.Wire("config"), json.RawMessage(fmt.Sprintf(config, rig.EngineConfig(service, origin))))
	r.Store.Put(rig.Wire("wanted")+rig.Model, map[string]any{"model": rig.Model, "version": 1})
	t := &tally{runs: make(map[string]int)}
	if err := startEngines(r, t); err != nil {
		return false, err
	}
	fronts, err := r.StartEntries(entries)
	if err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)

	sound := &sender{r: r, t: t, fronts: fronts, client: rig.NewClient(4)}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() { sound.run(stop) })
	sound.waitFor(soundCount)
	before := sound.count(0)
	time.Sleep(killAfter)
	if trouble {
		if err := killAll(r, fronts); err != nil {
			return false, err
		}
	}
	r.Log("-- requests with the part that crashes servers come")
	wg.Go(func() { bad(r, fronts, stop) })
	for t.lastCrashAgo() < 2*contact {
		time.Sleep(50 * time.Millisecond)
	}
	r.Log("-- 2 x contactMs after the fifth crash, or the last if there are fewer")
	from := sound.sentSoFar()
	sound.waitFor(from + soundCount)
	after := sound.count(from)
	close(stop)
	wg.Wait()
	t.mu.Lock()
	crashes := len(t.crashes)
	t.mu.Unlock()
	text := fmt.Sprintf("sound requests that began at the first attempt: before %d of %d, after %d of %d; crashes %d",
		before.began, before.sent, after.began, after.sent, crashes)
	r.Result(text)
	if before.sent < 20 || after.sent < 20 || before.began == 0 {
		return false, failure.Unavailable.New("too few sound requests")
	}
	return 2*after.began*before.sent < before.began*after.sent, nil
}

// startEngines starts the model servers and their agents.
func startEngines(r *rig.Rig, t *tally) error {
	for n := 1; n <= engines; n++ {
		e, err := r.StartEngine(20+n, service)
		if err != nil {
			return err
		}
		e.CrashPart = badPart
		e.OnCrash = func(server, id string) {
			t.mu.Lock()
			defer t.mu.Unlock()
			t.crashes = append(t.crashes, time.Now())
			r.Log("%s begins to write on %s and crashes (crash %d)", server, id, len(t.crashes))
		}
		e.OnRun = func(server, id string) {
			t.mu.Lock()
			defer t.mu.Unlock()
			t.runs[id]++
			r.Log("%s runs %s", server, id)
		}
		if _, err := r.StartAgent(20+n, e.Addr, service); err != nil {
			return err
		}
	}
	return nil
}

// killAll kills all entries at once and starts them again.
func killAll(r *rig.Rig, fronts []*rig.Process) error {
	r.Log("-- all entries are killed at once")
	var wg sync.WaitGroup
	for _, p := range fronts {
		wg.Go(p.Kill)
	}
	wg.Wait()
	time.Sleep(downTime)
	for _, p := range fronts {
		if err := p.Run(); err != nil {
			return err
		}
	}
	return r.WaitReady(15*time.Second, fronts...)
}

// lastCrashAgo returns the time since the fifth crash, or since the last one if there are fewer.
func (t *tally) lastCrashAgo() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := min(5, len(t.crashes))
	if n == 0 {
		return 0
	}
	return time.Since(t.crashes[n-1])
}

type count struct{ sent, began int }

// sender sends sound requests at a steady pace.
type sender struct {
	r      *rig.Rig
	t      *tally
	fronts []*rig.Process
	client *http.Client

	mu  sync.Mutex
	ids []string
}

func (s *sender) run(stop chan struct{}) {
	ticker := time.NewTicker(soundEvery)
	defer ticker.Stop()
	for n := 0; ; n++ {
		id := rig.NewID()
		s.mu.Lock()
		s.ids = append(s.ids, id)
		s.mu.Unlock()
		go func() {
			entry := s.fronts[n%len(s.fronts)]
			a := rig.SendID(s.client, entry, id, request(id, commonPart+":40"))
			s.r.Log("sound %s at %s: %d, %v", id, entry.Name, a.Status, a.Err)
		}()
		select {
		case <-ticker.C:
		case <-stop:
			return
		}
	}
}

func (s *sender) sentSoFar() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.ids)
}

// waitFor waits until so many requests were sent and the last of them had the time to begin.
func (s *sender) waitFor(count int) {
	for s.sentSoFar() < count {
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(500 * time.Millisecond)
}

// count counts the requests from a number on, and how many of them began at a server. A request
// is one attempt of a client, and none is sent again.
func (s *sender) count(from int) count {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.t.mu.Lock()
	defer s.t.mu.Unlock()
	c := count{sent: len(s.ids) - from}
	for _, id := range s.ids[from:] {
		if s.t.runs[id] > 0 {
			c.began++
		}
	}
	return c
}

// bad sends requests with the bad part, no two alike, at any entry.
func bad(r *rig.Rig, fronts []*rig.Process, stop chan struct{}) {
	client := rig.NewClient(0)
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		id := rig.NewID()
		go func() {
			a := rig.SendID(client, fronts[n%len(fronts)], id, request(id, badPart+":10,"+commonPart+":40"))
			r.Log("with the bad part %s at %s: %d, %v", id, fronts[n%len(fronts)].Name, a.Status, a.Err)
		}()
		time.Sleep(badEvery)
	}
}

// request returns a request whose prompt has the given shared parts and one of its own.
func request(id, shared string) rig.Request {
	return rig.Request{
		Method: http.MethodPost, Host: "relay.example", Path: "/read/1", Key: "key-1", Deadline: 6 * time.Second,
		Body:   []byte("a fault log " + id),
		Header: map[string]string{"X-Model": rig.Model, rig.Wire("tokens"): "200,40", rig.Wire("parts"): shared + "," + id[:8] + ":100"},
	}
}
