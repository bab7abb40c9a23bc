// Escapedpath shows which route the system selects for a path with an escaped slash, and
// whether an unsafe request of it is repeated when its answer is lost.
package main

import (
	"fmt"

	"chivespindle.example/review2/internal/rig"
)

const (
	requests = 120
	// every is the distance between two lost answers of a server: 5 in 100.
	every = 20
)

func main() {
	r := rig.New()
	entry := r.Entry(1)
	all := make([]*rig.Plain, 0, 4)
	for i, service := range []string{"workshop-api", "workshop-api", "portal", "portal"} {
		all = append(all, r.NewPlain(fmt.Sprintf("s-%d", i+1), service, rig.Loopback(101+i)))
	}
	r.Config(1,
		rig.Route("orders", "/", "unsafe", "workshop-api", 2),
		rig.Route("job-status", "/status/", "safe", "portal", 2))
	if r.Trouble {
		for _, s := range all {
			s.LosesAnswer = func(n int) bool { return n%every == 0 }
		}
	}
	r.AwaitReady(entry)
	for n := range requests {
		r.Do(entry, rig.Call{Method: "POST", Host: "jobs.example", Path: "/status%2Forder", ID: fmt.Sprintf("req-%04d", n), Body: "x", DeadlineMS: 3000})
	}
	runs := make(map[string]int)
	atPortal := 0
	for i, s := range all {
		for id, n := range s.Runs() {
			runs[id] += n
			if i >= 2 {
				atPortal += n
			}
		}
	}
	twice := 0
	for id, n := range runs {
		if n > 1 {
			twice++
			r.Note("TWICE: %s ran %d times", id, n)
		}
	}
	r.Note("of %d requests %d ran, %d twice, %d at the service of the route /status/", requests, len(runs), twice, atPortal)
	if twice > 0 {
		r.End(rig.Broken)
	}
	r.End(rig.Held)
}
