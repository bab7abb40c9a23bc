// Manifest shows what becomes of a service of model servers when one answer of the origin, a
// manifest, is spoilt and comes a second time.
package main

import (
	"fmt"
	"sync"
	"time"

	"chivespindle.example/review2/internal/rig"
)

const (
	models = 10
	// streamsPerSecond is what the sheet has for so many model servers: 203 for 16.
	streamsPerSecond = 126
	plainPerSecond   = 15
	// settled is how long after the naming of the version requests are counted: the time for
	// the version (8 s), contactMs (3 s) and some seconds.
	settled = 14 * time.Second
	counted = 15 * time.Second
)

func main() {
	r := rig.New()
	entries := []string{r.Entry(1), r.Entry(2)}
	origin := r.NewOrigin(rig.Loopback(90))
	for n := range 2 {
		r.NewPlain(fmt.Sprintf("w-%d", n), rig.Workshop, rig.Loopback(95+n))
	}
	var servers []*rig.ModelServer
	for n := range models {
		servers = append(servers, r.NewModelServer(fmt.Sprintf("e-%d", n), 101+n))
	}
	first := rig.Route("parts-lookup", "/parts/", "unsafe", rig.Workshop, 2)
	r.Config(1, origin.Address, first)
	r.AwaitReady(entries...)
	time.Sleep(2 * time.Second)
	r.Config(2, origin.Address, first, rig.StreamRoute())
	time.Sleep(5 * time.Second)
	for _, entry := range entries {
		if got := r.Do(entry, stream("before")); got.Status != 200 {
			r.End(rig.CouldNot)
		}
	}
	spoilt := 0
	if r.Trouble {
		spoilt = 1
	}
	origin.Publish(2, spoilt)
	r.NameVersion(2)
	time.Sleep(settled)
	r.Note("counted from here on")
	plain, streams := drive(r, entries)
	noteState(r, origin, servers)
	r.Note("served: %d of %d on the first route, %d of %d on the route that was added", plain.served, plain.sent, streams.served, streams.sent)
	switch {
	case plain.served*2 < plain.sent:
		r.End(rig.CouldNot)
	case streams.sent >= 20 && streams.served*plain.sent*4 < plain.served*streams.sent:
		r.End(rig.Broken)
	default:
		r.End(rig.Held)
	}
}

func noteState(r *rig.Rig, origin *rig.Origin, servers []*rig.ModelServer) {
	answers, bad := origin.Counts()
	loaded := 0
	for _, s := range servers {
		if version, isWhole := s.Loaded(); version == 2 && isWhole {
			loaded++
		}
	}
	r.Note("the origin sent %d answers, %d of them spoilt and sent twice; %d of %d model servers have version 2", answers, bad, loaded, models)
}

func stream(id string) rig.Call {
	return rig.Call{Method: "POST", Host: "relay.example", Path: "/read/1", ID: id, Body: "a fault log", DeadlineMS: 6000}
}

func part(id string) rig.Call {
	return rig.Call{Method: "POST", Host: "jobs.example", Path: "/parts/7", ID: id, Body: "x", DeadlineMS: 3000}
}

// count is what became of the requests on a route.
type count struct {
	mu           sync.Mutex
	sent, served int
}

func (c *count) add(answer rig.Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent++
	if answer.Status == 200 {
		c.served++
	}
}

// drive sends requests on both routes at steady rates and counts them.
func drive(r *rig.Rig, entries []string) (plain, streams *count) {
	plain, streams = &count{}, &count{}
	var wg sync.WaitGroup
	start := func(c *count, call func(id string) rig.Call, name string, perSecond int) {
		defer wg.Done()
		ticker := time.NewTicker(time.Second / time.Duration(perSecond))
		defer ticker.Stop()
		for n := range perSecond * int(counted/time.Second) {
			<-ticker.C
			wg.Add(1)
			go func() {
				defer wg.Done()
				c.add(r.Do(entries[n%len(entries)], call(fmt.Sprintf("%s-%04d", name, n))))
			}()
		}
	}
	wg.Add(2)
	go start(plain, part, "part", plainPerSecond)
	go start(streams, stream, "stream", streamsPerSecond)
	wg.Wait()
	return plain, streams
}
