// Escapedpath shows which route the system selects for a path with an escaped slash, and
// whether an unsafe request of it is repeated when its answer is lost.
package main

import (
	"fmt"

	"chivespindle.example/review2/internal/rig"
)

const (
	requests = 200
	// every is the distance between two lost answers of a server: 5 in 100.
	every = 20
)

func main() {
	r := rig.New()
	entry := r.Entry(1)
	// Half of the servers of each service lose answers.
	workshop := []*rig.Plain{r.NewPlain("w-1", rig.Workshop, rig.Loopback(101)), r.NewPlain("w-2", rig.Workshop, rig.Loopback(102))}
	portal := []*rig.Plain{r.NewPlain("p-1", rig.Portal, rig.Loopback(103)), r.NewPlain("p-2", rig.Portal, rig.Loopback(104))}
	if r.Trouble {
		for _, s := range []*rig.Plain{workshop[0], portal[0]} {
			s.LosesAnswer = func(n int) bool { return n%every == 0 }
		}
	}
	r.Config(1, "",
		rig.Route("job-orders", "/", "unsafe", rig.Workshop, 2),
		rig.Route("job-status", "/status/", "safe", rig.Portal, 2))
	r.AwaitReady(entry)
	for n := range requests {
		// The only prefix that begins this path is "/".
		r.Do(entry, rig.Call{Method: "POST", Host: "jobs.example", Path: "/status%2F17", ID: fmt.Sprintf("req-%04d", n), Body: "done", DeadlineMS: 3000})
	}
	runs := rig.CountRuns(append(workshop, portal...)...)
	twice := 0
	for id, n := range runs {
		if n > 1 {
			twice++
			r.Note("TWICE: %s ran %d times", id, n)
		}
	}
	elsewhere := len(rig.CountRuns(portal...))
	r.Note("of %d unsafe requests %d ran, %d of them twice; %d ran at the service of the route /status/", requests, len(runs), twice, elsewhere)
	switch {
	case twice > 0:
		r.End(rig.Broken)
	case len(runs) < requests*9/10:
		r.End(rig.CouldNot)
	default:
		r.End(rig.Held)
	}
}
