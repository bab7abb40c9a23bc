// Manifest shows what becomes of a service of model servers when one answer of the origin, a
// manifest, is spoilt and comes a second time.
package main

import (
	"time"

	"chivespindle.example/review2/internal/rig"
)

const (
	models = 10
	// streamsPerSecond is what the sheet has for so many model servers: 203 for 16.
	streamsPerSecond = 126
	partsPerSecond   = 15
	// settled is how long after the naming of the version requests are counted: the time for
	// the version (8 s), contactMs (3 s) and some seconds.
	settled = 14 * time.Second
	counted = 15 * time.Second
)

func main() {
	r := rig.New()
	entries := []string{r.Entry(1), r.Entry(2)}
	origin := r.NewOrigin(rig.Loopback(90))
	r.AddPlain()
	servers := r.AddModelServers(models)
	r.Config(1, origin.Address, rig.PartRoute())
	r.AwaitReady(entries...)
	time.Sleep(2 * time.Second)
	r.Config(2, origin.Address, rig.PartRoute(), rig.StreamRoute())
	time.Sleep(5 * time.Second)
	for _, entry := range entries {
		if got := r.Do(entry, rig.Stream("before")); got.Status != 200 {
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
	code := r.CompareRoutes(entries, streamsPerSecond, partsPerSecond, counted)
	answers, bad := origin.Counts()
	r.Note("the origin sent %d answers, %d of them spoilt and sent twice", answers, bad)
	r.NoteLoaded(servers, 2)
	r.End(code)
}
