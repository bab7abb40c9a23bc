// Seedsdown shows what becomes of model servers whose agents are restarted after the machines
// that are named as seeds have left as planned, once a new version of the weights is named.
package main

import (
	"time"

	"chivespindle.example/review2/internal/rig"
)

const (
	fronts = 6
	seeds  = 3 // the first of the fronts
	models = 6
	// betweenStops is the pause between two planned stops, as on the standard days.
	betweenStops = 1300 * time.Millisecond
	// settled is how long after the naming of the version requests are counted: the time for
	// the version (8 s), contactMs (3 s) and some seconds.
	settled   = 16 * time.Second
	counted   = 15 * time.Second
	perSecond = 20
)

func main() {
	r := rig.New()
	var entries []string
	for n := range fronts {
		entries = append(entries, r.Entry(1+n))
	}
	origin := r.NewOrigin(rig.Loopback(90))
	r.AddPlain()
	servers := r.AddModelServers(models)
	r.Config(1, origin.Address, rig.PartRoute())
	r.AwaitReady(entries...)
	time.Sleep(2 * time.Second)
	r.Config(2, origin.Address, rig.PartRoute(), rig.StreamRoute())
	time.Sleep(5 * time.Second)
	if r.Trouble {
		for _, p := range r.Processes("entry")[:seeds] {
			r.Remove(p)
			time.Sleep(betweenStops)
		}
		time.Sleep(4 * time.Second)
	}
	entries = entries[seeds:]
	for _, p := range r.Processes("agent") {
		r.Restart(p)
		time.Sleep(betweenStops)
	}
	time.Sleep(4 * time.Second)
	for _, entry := range entries {
		if got := r.Do(entry, rig.Stream("before")); got.Status != 200 {
			r.End(rig.CouldNot)
		}
	}
	origin.Publish(2, 0)
	r.NameVersion(2)
	time.Sleep(settled)
	code := r.CompareRoutes(entries, perSecond, perSecond, counted)
	r.NoteLoaded(servers, 2)
	r.End(code)
}
