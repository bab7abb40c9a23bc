package platform

import (
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"chivespindle.example/core/failure"
	"chivespindle.example/core/revision"
)

const (
	// RevisionHeader carries the revision of a configuration response.
	RevisionHeader = "Config-Revision"
	// maxKeptRevisions is the number of configurations that are retained for
	// SetStale.
	maxKeptRevisions = 64
	// maxWait bounds the wait of a watch.
	maxWait = 10 * time.Minute
)

// ConfigOptions configure a ConfigService. The zero value has no rate limit.
type ConfigOptions struct {
	// CallsPerSecond limits the calls of all clients together. Calls beyond it
	// get 429; 0 means no limit.
	CallsPerSecond int
	// Now is the clock of the rate limit; nil means time.Now.
	Now func() time.Time
}

// ConfigService is a stand-in of the platform's configuration service. It
// starts with an empty configuration at revision 1.
type ConfigService struct {
	mux       *http.ServeMux
	outage    *outage
	callLimit int
	calls     *callCounter // all received calls
	admitted  *callCounter // calls within the rate limit
	sentBytes atomic.Uint64

	mu        sync.Mutex
	documents []revision.Document // oldest first, never empty
	stale     revision.Revision   // 0: serve the newest
	waiting   int
	changed   chan struct{} // closed and replaced at each change of the configuration
}

// NewConfigService returns a service without faults.
func NewConfigService(options ConfigOptions) *ConfigService {
	now := clockOrDefault(options.Now)
	s := &ConfigService{
		outage:    newOutage(),
		mux:       http.NewServeMux(),
		callLimit: options.CallsPerSecond,
		calls:     newCallCounter(now),
		admitted:  newCallCounter(now),
		documents: []revision.Document{{Revision: 1}},
		changed:   make(chan struct{}),
	}
	s.mux.HandleFunc("GET /v1/config", s.get)
	return s
}

// ServeHTTP implements http.Handler.
func (s *ConfigService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

// SetConfig stores the configuration under the next revision, which it returns,
// and ends the waiting watches unless the service is stale.
func (s *ConfigService) SetConfig(config []byte) revision.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := s.documents[len(s.documents)-1].Revision + 1
	s.appendDocument(revision.Document{Revision: next, Text: slices.Clone(config)})
	return next
}

// SetConfigAt stores the configuration under the given revision, as a platform
// restored from a backup does: the revision may be the same as or lower than an
// earlier one.
func (s *ConfigService) SetConfigAt(at revision.Revision, config []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.appendDocument(revision.Document{Revision: at, Text: slices.Clone(config)})
}

func (s *ConfigService) appendDocument(document revision.Document) {
	s.documents = append(s.documents, document)
	if len(s.documents) > maxKeptRevisions {
		s.documents = slices.Delete(s.documents, 0, 1)
	}
	s.notifyWaiters()
}

// SetStale makes the service serve an older revision until SetStale(0). It
// returns failure.NotFound if that revision is no longer retained.
func (s *ConfigService) SetStale(to revision.Revision) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if to != 0 && s.indexOf(to) < 0 {
		return failure.NotFound.New("revision %d is not kept", to)
	}
	s.stale = to
	s.notifyWaiters()
	return nil
}

// SetDown makes all calls, including waiting watches, fail with 503 until
// SetDown(false).
func (s *ConfigService) SetDown(down bool) { s.outage.setDown(down) }

// SetUnresponsive makes the service accept calls without responding, including
// waiting watches, until SetUnresponsive(false).
func (s *ConfigService) SetUnresponsive(unresponsive bool) { s.outage.setUnresponsive(unresponsive) }

// Calls returns the total number of calls. Each read and each watch is one
// call, including those that were refused or failed in an outage.
func (s *ConfigService) Calls() uint64 { return s.calls.totalCalls() }

// CallsLastSecond returns the number of calls within the last second.
func (s *ConfigService) CallsLastSecond() int { return s.calls.windowCalls() }

// PeakCallsPerSecond returns the highest number of calls within one second.
func (s *ConfigService) PeakCallsPerSecond() int { return s.calls.peakCalls() }

// BytesSent returns the number of body bytes of configurations sent so far.
func (s *ConfigService) BytesSent() uint64 { return s.sentBytes.Load() }

// WaitingWatches returns the number of waiting watches.
func (s *ConfigService) WaitingWatches() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.waiting
}

// Revision returns the revision that the service currently serves.
func (s *ConfigService) Revision() revision.Revision {
	document, _ := s.current()
	return document.Revision
}

func (s *ConfigService) notifyWaiters() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *ConfigService) indexOf(at revision.Revision) int {
	for i := len(s.documents) - 1; i >= 0; i-- {
		if s.documents[i].Revision == at {
			return i
		}
	}
	return -1
}

// current returns the document to serve and a channel that is closed at the
// next change.
func (s *ConfigService) current() (revision.Document, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at := s.indexOf(s.stale); s.stale != 0 && at >= 0 {
		return s.documents[at], s.changed
	}
	return s.documents[len(s.documents)-1], s.changed
}

func (s *ConfigService) get(w http.ResponseWriter, r *http.Request) {
	s.calls.add()
	if !s.admitted.addIfBelow(s.callLimit) {
		writeTooManyRequests(w, rateWindow)
		return
	}
	watch, err := parseWatch(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if watch.isWatch && !s.awaitChange(r, watch) {
		return
	}
	if !s.outage.admit(w, r) {
		return
	}
	document, _ := s.current()
	w.Header().Set(RevisionHeader, strconv.FormatUint(uint64(document.Revision), 10))
	if watch.isWatch && document.Revision == watch.after {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set("Content-Length", strconv.Itoa(len(document.Text)))
	s.sentBytes.Add(writeBody(w, document.Text))
}

// awaitChange waits until the response to a watch is due. It returns false if the
// client has disconnected.
func (s *ConfigService) awaitChange(r *http.Request, watch watchQuery) bool {
	s.addWaiting(1)
	defer s.addWaiting(-1)
	timer := time.NewTimer(watch.wait)
	defer timer.Stop()
	for {
		document, configChanged := s.current()
		down, unresponsive, outageChanged := s.outage.state()
		if down && !unresponsive {
			return true
		}
		if document.Revision != watch.after && !unresponsive {
			return true
		}
		select {
		case <-configChanged:
		case <-outageChanged:
		case <-timer.C:
			return true
		case <-r.Context().Done():
			return false
		}
	}
}

func (s *ConfigService) addWaiting(change int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting += change
}

// watchQuery holds the query parameters of a watch; isWatch is false for a plain
// read.
type watchQuery struct {
	isWatch bool
	after   revision.Revision
	wait    time.Duration
}

func parseWatch(r *http.Request) (watchQuery, error) {
	query := r.URL.Query()
	if !query.Has("after") {
		return watchQuery{}, nil
	}
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	if err != nil {
		return watchQuery{}, failure.Invalid.Wrap(err, "after=%q", query.Get("after"))
	}
	wait, err := time.ParseDuration(query.Get("wait"))
	if err != nil {
		return watchQuery{}, failure.Invalid.Wrap(err, "wait=%q", query.Get("wait"))
	}
	if wait < 0 || wait > maxWait {
		return watchQuery{}, failure.Invalid.New("wait=%s is not within 0s and %s", wait, maxWait)
	}
	return watchQuery{isWatch: true, after: revision.Revision(after), wait: wait}, nil
}
