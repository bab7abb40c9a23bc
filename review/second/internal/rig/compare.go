package rig

import (
	"fmt"
	"sync"
	"time"
)

// Stream returns a request on the route of the model servers, Part one on the first route.
func Stream(id string) Call {
	return Call{Method: "POST", Host: "relay.example", Path: "/read/1", ID: id, Body: "a fault log", DeadlineMS: 6000}
}

// Part returns a request on the route that was there from the start.
func Part(id string) Call {
	return Call{Method: "POST", Host: "jobs.example", Path: "/parts/7", ID: id, Body: "x", DeadlineMS: 3000}
}

// PartRoute returns the route of Part.
func PartRoute() map[string]any { return Route("parts-lookup", "/parts/", "unsafe", Workshop, 2) }

// AddPlain starts the two servers of the route that was there from the start.
func (r *Rig) AddPlain() {
	const servers, firstHost = 2, 95
	for n := range servers {
		r.NewPlain(fmt.Sprintf("w-%d", n), Workshop, Loopback(firstHost+n))
	}
}

// AddModelServers starts model servers with their agents.
func (r *Rig) AddModelServers(count int) []*ModelServer {
	const firstHost = 101
	var servers []*ModelServer
	for n := range count {
		servers = append(servers, r.NewModelServer(fmt.Sprintf("e-%d", n), firstHost+n))
	}
	return servers
}

// count is what became of the requests on a route.
type count struct {
	mu           sync.Mutex
	sent, served int
}

func (c *count) add(answer Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent++
	if answer.Status == 200 {
		c.served++
	}
}

// CompareRoutes sends requests on both routes at steady rates for a time, and returns the exit
// code by the rule CONFIG: broken if the route of the model servers, which was added later, is
// served less than a quarter as often as the first one.
func (r *Rig) CompareRoutes(entries []string, streamsPerSecond, partsPerSecond int, span time.Duration) int {
	const least = 20 // requests on the route that was added
	var parts, streams count
	var wg sync.WaitGroup
	drive := func(c *count, call func(id string) Call, name string, perSecond int) {
		defer wg.Done()
		ticker := time.NewTicker(time.Second / time.Duration(perSecond))
		defer ticker.Stop()
		for n := range perSecond * int(span/time.Second) {
			<-ticker.C
			wg.Add(1)
			go func() {
				defer wg.Done()
				c.add(r.Do(entries[n%len(entries)], call(fmt.Sprintf("%s-%04d", name, n))))
			}()
		}
	}
	r.Note("counted from here on")
	wg.Add(2)
	go drive(&parts, Part, "part", partsPerSecond)
	go drive(&streams, Stream, "stream", streamsPerSecond)
	wg.Wait()
	r.Note("served: %d of %d on the first route, %d of %d on the route that was added", parts.served, parts.sent, streams.served, streams.sent)
	switch {
	case parts.served*2 < parts.sent:
		return CouldNot
	case streams.sent >= least && streams.served*parts.sent*4 < parts.served*streams.sent:
		return Broken
	default:
		return Held
	}
}

// NoteLoaded notes how many model servers have a version with all its pieces intact.
func (r *Rig) NoteLoaded(servers []*ModelServer, want uint64) {
	loaded := 0
	for _, s := range servers {
		if version, isWhole := s.Loaded(); version == want && isWhole {
			loaded++
		}
	}
	r.Note("%d of %d model servers have version %d", loaded, len(servers), want)
}
