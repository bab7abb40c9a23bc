package placement

import (
	"time"

	"chivespindle.example/core/enginemodel"
	"chivespindle.example/core/fleet"
)

// leftFor is the longest time for which a place that another entry's request has left
// is left to that entry: several of its calls under a load that fills the engines.
const leftFor = 800 * time.Millisecond

// freedPlaces are the places that requests of other entries have left at each server.
//
// The load it answers: more work than the engines have places for. Each place that
// falls free is reported to all entries, and all that have a call to place in that
// moment would take it, since they hear of each other's choices too late: the calls
// wait behind one another and are late. The entry whose request has ended
// knows of the place at once and fills it; to the others it counts as taken for a
// random time, so that a place that is not filled is found by one of them.
type freedPlaces struct {
	rand Rand
	off  bool
	at   map[fleet.InstanceID]freedPlace
}

// freedPlace is the number of requests of others that a server counts as running
// until a moment.
type freedPlace struct {
	running int
	until   time.Time
}

func newFreedPlaces(r Rand, off bool) freedPlaces {
	return freedPlaces{rand: r, off: off, at: make(map[fleet.InstanceID]freedPlace)}
}

// note takes that others had so many requests at a server and now have fewer.
func (f *freedPlaces) note(now time.Time, server fleet.InstanceID, before int) {
	known := f.at[server]
	if f.off || now.Before(known.until) && known.running >= before {
		return
	}
	wait := time.Duration(f.rand.Float64() * float64(leftFor))
	f.at[server] = freedPlace{running: before, until: now.Add(wait)}
}

// with returns the work of others at a server with the places that are left to them.
func (f *freedPlaces) with(now time.Time, server fleet.InstanceID, w enginemodel.Work) enginemodel.Work {
	if known := f.at[server]; now.Before(known.until) {
		w.Running = max(w.Running, known.running)
	}
	return w
}

func (f *freedPlaces) forget(server fleet.InstanceID) { delete(f.at, server) }
