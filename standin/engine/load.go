package engine

import (
	"sync"
	"time"

	"chivespindle.example/core/serving"
	"chivespindle.example/standin/engine/backend"
)

// loadHistory reports the load as it was one lag ago, like a real engine that
// publishes its load only from time to time.
type loadHistory struct {
	clock backend.Clock
	lag   time.Duration
	slots int

	mu      sync.Mutex
	samples []loadSample // oldest first
}

type loadSample struct {
	at               time.Time
	running, waiting int
}

func (h *loadHistory) add(running, waiting int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.samples = append(h.samples, loadSample{at: h.clock.Now(), running: running, waiting: waiting})
	h.prune()
}

// prune drops the samples that were superseded before the reported time.
func (h *loadHistory) prune() {
	reported := h.clock.Now().Add(-h.lag)
	for len(h.samples) > 1 && !h.samples[1].at.After(reported) {
		h.samples = h.samples[1:]
	}
}

func (h *loadHistory) current() serving.Load {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.prune()
	load := serving.Load{Slots: h.slots}
	if len(h.samples) == 0 || h.samples[0].at.After(h.clock.Now().Add(-h.lag)) {
		return load
	}
	load.Running = h.samples[0].running
	load.Waiting = h.samples[0].waiting
	load.KVUsed = float64(load.Running) / float64(h.slots)
	return load
}
