package platform

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"chivespindle.example/core/fleet"
)

// InstanceListOptions shapes an InstanceList. The zero value has no lag.
type InstanceListOptions struct {
	// Lag is how long a change stays hidden; see SetLag.
	Lag time.Duration
	// Now is the clock that the lag is measured by; nil is time.Now.
	Now func() time.Time
}

// instanceChange is one change that readers may not see yet.
type instanceChange struct {
	at       time.Time
	instance fleet.Instance
	removed  bool
}

// InstanceList is a stand-in of the platform's list of instances. Readers see
// it as it was one lag ago.
type InstanceList struct {
	mux    *http.ServeMux
	outage *outage
	now    func() time.Time
	calls  *callCounter
	sent   atomic.Uint64

	mu      sync.Mutex
	lag     time.Duration
	latest  map[fleet.InstanceID]fleet.Instance
	visible map[fleet.InstanceID]fleet.Instance
	pending []instanceChange // oldest first
}

// NewInstanceList returns an empty list.
func NewInstanceList(options InstanceListOptions) *InstanceList {
	now := clockOrDefault(options.Now)
	l := &InstanceList{
		outage:  newOutage(),
		mux:     http.NewServeMux(),
		now:     now,
		calls:   newCallCounter(now),
		lag:     options.Lag,
		latest:  map[fleet.InstanceID]fleet.Instance{},
		visible: map[fleet.InstanceID]fleet.Instance{},
	}
	l.mux.HandleFunc("GET /v1/instances", l.get)
	return l
}

// ServeHTTP implements http.Handler.
func (l *InstanceList) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l.mux.ServeHTTP(w, r)
}

// Set adds an instance or replaces the one with its id.
func (l *InstanceList) Set(instance fleet.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.set(instance)
}

// SetLeaving changes whether an instance is announced as leaving. It reports
// whether the list holds the instance.
func (l *InstanceList) SetLeaving(id fleet.InstanceID, leaving bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	instance, ok := l.latest[id]
	if !ok {
		return false
	}
	instance.Leaving = leaving
	l.set(instance)
	return true
}

// Remove takes an instance off the list. It reports whether the list held it.
func (l *InstanceList) Remove(id fleet.InstanceID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	instance, ok := l.latest[id]
	if !ok {
		return false
	}
	delete(l.latest, id)
	l.pending = append(l.pending, instanceChange{at: l.now(), instance: instance, removed: true})
	return true
}

// SetLag changes how long a change stays hidden. A shorter lag shows waiting
// changes that are old enough for it; a longer one hides nothing again that
// readers could see.
func (l *InstanceList) SetLag(lag time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.settle()
	l.lag = lag
}

// SetDown makes every call end with 503 until SetDown(false).
func (l *InstanceList) SetDown(down bool) { l.outage.setDown(down) }

// SetSilent makes the list take calls and leave them without an answer until
// SetSilent(false).
func (l *InstanceList) SetSilent(silent bool) { l.outage.setSilent(silent) }

// Calls returns the number of calls so far, also those that met an outage.
func (l *InstanceList) Calls() uint64 { return l.calls.sum() }

// BytesSent returns the body bytes of lists given to the network so far.
func (l *InstanceList) BytesSent() uint64 { return l.sent.Load() }

// Visible returns what a reader sees now, ordered by id.
func (l *InstanceList) Visible() []fleet.Instance {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.settle()
	instances := make([]fleet.Instance, 0, len(l.visible))
	for _, instance := range l.visible {
		instances = append(instances, instance)
	}
	slices.SortFunc(instances, func(a, b fleet.Instance) int { return cmp.Compare(a.ID, b.ID) })
	return instances
}

func (l *InstanceList) set(instance fleet.Instance) {
	l.latest[instance.ID] = instance
	l.pending = append(l.pending, instanceChange{at: l.now(), instance: instance})
}

// settle shows the changes that are at least one lag old.
func (l *InstanceList) settle() {
	now := l.now()
	for len(l.pending) > 0 && now.Sub(l.pending[0].at) >= l.lag {
		change := l.pending[0]
		l.pending = l.pending[1:]
		if change.removed {
			delete(l.visible, change.instance.ID)
			continue
		}
		l.visible[change.instance.ID] = change.instance
	}
}

func (l *InstanceList) get(w http.ResponseWriter, r *http.Request) {
	l.calls.add()
	if !l.outage.admit(w, r) {
		return
	}
	body, err := json.Marshal(l.Visible())
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	etag := strconv.Quote(fleet.DigestOf(body).String())
	w.Header().Set("ETag", etag)
	if r.Header.Get("If-None-Match") == etag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	l.sent.Add(writeBody(w, body))
}
