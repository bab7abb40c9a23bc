package platform

import (
	"net/http"
	"sync"
)

// outage is the availability of a service: up, down or silent (it accepts
// requests and does not respond).
type outage struct {
	mu      sync.Mutex
	down    bool
	silent  bool
	changed chan struct{} // closed and replaced at each change
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

func (o *outage) setSilent(silent bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.silent = silent
	o.notifyWaiters()
}

func (o *outage) notifyWaiters() {
	close(o.changed)
	o.changed = make(chan struct{})
}

func (o *outage) state() (down, silent bool, changed <-chan struct{}) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.down, o.silent, o.changed
}

// admit waits while the service is silent and reports whether the request may
// be processed. If not, the error response has been written or the client has
// disconnected.
func (o *outage) admit(w http.ResponseWriter, r *http.Request) bool {
	for {
		down, silent, changed := o.state()
		if silent {
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
