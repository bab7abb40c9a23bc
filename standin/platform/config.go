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
	// RevisionHeader carries the revision of a configuration answer.
	RevisionHeader = "Config-Revision"
	// keptRevisions is how many states of the text stay for SetStale.
	keptRevisions = 64
	// maxWait is the longest time that a watch may wait.
	maxWait = 10 * time.Minute
)

// ConfigOptions shapes a ConfigService. The zero value has no ceiling.
type ConfigOptions struct {
	// CallsPerSecond is the ceiling over all readers, beyond which a call is
	// answered 429; 0 is none.
	CallsPerSecond int
	// Now is the clock that calls are counted by; nil is time.Now.
	Now func() time.Time
}

// ConfigService is a stand-in of the platform's configuration service. It
// holds revision 1 with an empty text until SetText.
type ConfigService struct {
	mux     *http.ServeMux
	outage  *outage
	ceiling int
	calls   *callCounter // every call that arrived
	granted *callCounter // calls below the ceiling
	sent    atomic.Uint64

	mu      sync.Mutex
	kept    []revision.Document // oldest first, never empty
	stale   revision.Revision   // 0: answer the newest
	waiting int
	changed chan struct{} // closed and replaced at each change of the text
}

// NewConfigService returns a service that answers at once.
func NewConfigService(options ConfigOptions) *ConfigService {
	now := clockOrDefault(options.Now)
	s := &ConfigService{
		outage:  newOutage(),
		mux:     http.NewServeMux(),
		ceiling: options.CallsPerSecond,
		calls:   newCallCounter(now),
		granted: newCallCounter(now),
		kept:    []revision.Document{{Revision: 1}},
		changed: make(chan struct{}),
	}
	s.mux.HandleFunc("GET /v1/config", s.get)
	return s
}

// ServeHTTP implements http.Handler.
func (s *ConfigService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

// SetText holds text under the next revision, which it returns, and wakes the
// waiting watches unless the service is stale.
func (s *ConfigService) SetText(text []byte) revision.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := s.kept[len(s.kept)-1].Revision + 1
	s.put(revision.Document{Revision: next, Text: slices.Clone(text)})
	return next
}

// SetTextAt holds text under a revision of the caller's choice, as a platform
// restored from an old copy does: it may repeat or fall below a revision that
// was given before.
func (s *ConfigService) SetTextAt(at revision.Revision, text []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(revision.Document{Revision: at, Text: slices.Clone(text)})
}

func (s *ConfigService) put(document revision.Document) {
	s.kept = append(s.kept, document)
	if len(s.kept) > keptRevisions {
		s.kept = slices.Delete(s.kept, 0, 1)
	}
	s.announce()
}

// SetStale makes the service answer with an older revision until
// SetStale(0). failure.NotFound if that revision is not kept any more.
func (s *ConfigService) SetStale(to revision.Revision) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if to != 0 && s.find(to) < 0 {
		return failure.NotFound.New("revision %d is not kept", to)
	}
	s.stale = to
	s.announce()
	return nil
}

// SetDown makes every call, waiting watches too, end with 503 until
// SetDown(false).
func (s *ConfigService) SetDown(down bool) { s.outage.setDown(down) }

// SetSilent makes the service take calls and leave them, and waiting watches
// too, without an answer until SetSilent(false).
func (s *ConfigService) SetSilent(silent bool) { s.outage.setSilent(silent) }

// Calls returns the number of calls so far: each read and each watch is one,
// also those that were refused or met an outage.
func (s *ConfigService) Calls() uint64 { return s.calls.sum() }

// CallsLastSecond returns the calls of the last second.
func (s *ConfigService) CallsLastSecond() int { return s.calls.lastWindow() }

// PeakCallsPerSecond returns the most calls that any one second held.
func (s *ConfigService) PeakCallsPerSecond() int { return s.calls.peakWindow() }

// BytesSent returns the body bytes of texts given to the network so far.
func (s *ConfigService) BytesSent() uint64 { return s.sent.Load() }

// Waiting returns the number of watches that wait now.
func (s *ConfigService) Waiting() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.waiting
}

// Revision returns the revision that the service answers with now.
func (s *ConfigService) Revision() revision.Revision {
	document, _ := s.current()
	return document.Revision
}

func (s *ConfigService) announce() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *ConfigService) find(at revision.Revision) int {
	for i := len(s.kept) - 1; i >= 0; i-- {
		if s.kept[i].Revision == at {
			return i
		}
	}
	return -1
}

// current returns the document to answer with and a channel that closes when
// another may be due.
func (s *ConfigService) current() (revision.Document, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at := s.find(s.stale); s.stale != 0 && at >= 0 {
		return s.kept[at], s.changed
	}
	return s.kept[len(s.kept)-1], s.changed
}

func (s *ConfigService) get(w http.ResponseWriter, r *http.Request) {
	s.calls.add()
	if !s.granted.addBelow(s.ceiling) {
		refuseRate(w, callWindow)
		return
	}
	watch, err := parseWatch(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if watch.asked && !s.await(r, watch) {
		return
	}
	if !s.outage.admit(w, r) {
		return
	}
	document, _ := s.current()
	w.Header().Set(RevisionHeader, strconv.FormatUint(uint64(document.Revision), 10))
	if watch.asked && document.Revision == watch.after {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set("Content-Length", strconv.Itoa(len(document.Text)))
	s.sent.Add(writeBody(w, document.Text))
}

// await returns when the answer of a watch is due, false if its client left.
func (s *ConfigService) await(r *http.Request, watch watchQuery) bool {
	s.addWaiting(1)
	defer s.addWaiting(-1)
	timer := time.NewTimer(watch.wait)
	defer timer.Stop()
	for {
		document, textChanged := s.current()
		down, silent, outageChanged := s.outage.state()
		if down && !silent {
			return true
		}
		if document.Revision != watch.after && !silent {
			return true
		}
		select {
		case <-textChanged:
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

// watchQuery is the query of a watch; asked is false for a plain read.
type watchQuery struct {
	asked bool
	after revision.Revision
	wait  time.Duration
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
	return watchQuery{asked: true, after: revision.Revision(after), wait: wait}, nil
}
