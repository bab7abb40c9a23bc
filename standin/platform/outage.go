package platform

import (
	"net/http"
	"sync"
)

// outage is the availability of a service: up, down or unresponsive (it accepts
// requests and does not respond).
type outage struct {
	mu           sync.Mutex
	down         bool
	unresponsive bool
	changed      chan struct{} // closed and replaced at each change
}

func newOutage() *outage {
	return &outage{changed: make(chan struct{})}
}

func (o *outage) setDown(down bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.down = down
	o.notifyWaiters()
}

func (o *outage) setUnresponsive(unresponsive bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.unresponsive = unresponsive
	o.notifyWaiters()
}

func (o *outage) notifyWaiters() {
	close(o.changed)
	o.changed = make(chan struct{})
}

func (o *outage) state() (down, unresponsive bool, changed <-chan struct{}) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.down, o.unresponsive, o.changed
}

// admit waits while the service is unresponsive and reports whether the request
// may be processed. If not, the error response has been written or the client
// has disconnected.
func (o *outage) admit(w http.ResponseWriter, r *http.Request) bool {
	for {
		down, unresponsive, changed := o.state()
		if unresponsive {
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return false
			}
		}
		if down {
			http.Error(w, "service is down", http.StatusServiceUnavailable)
			return false
		}
		return true
	}
}
