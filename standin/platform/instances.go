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

// InstanceListOptions configure an InstanceList. The zero value has no lag.
type InstanceListOptions struct {
	// Lag is the time until a change becomes visible; see SetLag.
	Lag time.Duration
	// Now is the clock that measures the lag; nil means time.Now.
	Now func() time.Time
}

// instanceChange is a change that is not visible yet.
type instanceChange struct {
	at       time.Time
	instance fleet.Instance
	removed  bool
}

// InstanceList is a stand-in of the platform's list of instances. Clients see
// the list as it was one lag ago.
type InstanceList struct {
	mux       *http.ServeMux
	outage    *outage
	now       func() time.Time
	calls     *callCounter
	sentBytes atomic.Uint64

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

// Set adds an instance or replaces the instance with the same ID.
func (l *InstanceList) Set(instance fleet.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.set(instance)
}

// SetLeaving sets whether an instance is reported as leaving. It returns false
// if the list does not contain the instance.
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

// Remove removes an instance. It returns false if the list does not contain it.
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

// SetLag changes the time until a change becomes visible. A shorter lag also
// applies to pending changes. A longer lag does not hide changes that are
// visible already.
func (l *InstanceList) SetLag(lag time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.applyDue()
	l.lag = lag
}

// SetDown makes all calls fail with 503 until SetDown(false).
func (l *InstanceList) SetDown(down bool) { l.outage.setDown(down) }

// SetUnresponsive makes the list accept calls without responding until
// SetUnresponsive(false).
func (l *InstanceList) SetUnresponsive(unresponsive bool) { l.outage.setUnresponsive(unresponsive) }

// Calls returns the total number of calls, including those that failed in an
// outage.
func (l *InstanceList) Calls() uint64 { return l.calls.totalCalls() }

// BytesSent returns the number of body bytes of lists sent so far.
func (l *InstanceList) BytesSent() uint64 { return l.sentBytes.Load() }

// Visible returns the list that clients currently see, ordered by ID.
func (l *InstanceList) Visible() []fleet.Instance {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.applyDue()
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

// applyDue applies the pending changes that are at least one lag old.
func (l *InstanceList) applyDue() {
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
	l.sentBytes.Add(writeBody(w, body))
}
