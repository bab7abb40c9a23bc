package engine

import (
	"encoding/json"
	"fmt"
	"net/http"

	"chivespindle.example/core/fleet"
	"chivespindle.example/core/serving"
	"chivespindle.example/standin/engine/backend"
)

// maxOrderBytes bounds the JSON of an order.
const maxOrderBytes = 1 << 20

func (e *Engine) postOrder(w http.ResponseWriter, r *http.Request) {
	var order serving.Order
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxOrderBytes)).Decode(&order); err != nil {
		backend.WriteError(w, http.StatusBadRequest, err.Error())
		return
	}
	if status, reason := e.applyOrder(order); status != http.StatusOK {
		backend.WriteError(w, status, reason)
		return
	}
	backend.WriteJSON(w, http.StatusOK, struct{}{})
}

// applyOrder checks an order and starts to execute it. An order is accepted or
// refused as a whole.
func (e *Engine) applyOrder(order serving.Order) (status int, reason string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	checksFence := e.options.CheckFence && !e.faults.IgnoreFence
	if checksFence && order.Fence < e.highestFence {
		e.counters.OrdersRefused++
		return http.StatusConflict, "a higher fencing number was seen"
	}
	if e.needsLoad(order.Version) {
		if missing := e.startLoad(order.Version); missing != "" {
			return http.StatusUnprocessableEntity, missing
		}
	}
	if e.options.CheckFence {
		e.highestFence = max(e.highestFence, order.Fence)
	}
	if order.Adapters != nil {
		e.adapters = append([]string{}, order.Adapters...)
	}
	if order.Role != "" {
		e.role = order.Role
	}
	return http.StatusOK, ""
}

// needsLoad reports whether an order for version requires a load. A retried
// order does not, so that a sender who does not know whether the first one
// arrived can retry it safely.
func (e *Engine) needsLoad(version fleet.Version) bool {
	if version.IsZero() {
		return false
	}
	if e.loading {
		return version != e.loadTarget
	}
	return version != e.loaded
}

// startLoad aborts the running requests and loads version. A load in progress
// is abandoned. If not everything is staged, startLoad does nothing and returns
// what is missing.
func (e *Engine) startLoad(version fleet.Version) (missing string) {
	verified, missing := e.verifyStaged(version.Manifest)
	if missing != "" {
		return missing
	}
	if !e.scope.hasEnded() {
		close(e.scope.ended)
	}
	e.loaded = fleet.Version{}
	e.loading = true
	e.loadTarget = version
	scope := newLoadScope()
	e.scope = scope
	if e.options.LoadTime <= 0 {
		e.finishLoad(version, verified)
		return ""
	}
	done := e.options.Clock.After(e.options.LoadTime)
	go func() {
		select {
		case <-done:
		case <-scope.ended:
			return
		}
		e.mu.Lock()
		defer e.mu.Unlock()
		if !scope.hasEnded() {
			e.finishLoad(version, verified)
		}
	}()
	return ""
}

func (e *Engine) finishLoad(version fleet.Version, verified bool) {
	e.loading = false
	e.loadTarget = fleet.Version{}
	e.loaded = version
	e.verified = verified
	e.counters.Loads++
}

// verifyStaged reports whether the staged chunks match the manifest, or what is
// missing. Like a real engine, the stand-in loads chunks that do not match; the
// requests that run on them are counted as WeightMismatches.
func (e *Engine) verifyStaged(manifest fleet.Digest) (verified bool, missing string) {
	staged := e.staged[manifest]
	if staged == nil || staged.manifest == nil {
		return false, "the manifest is not staged"
	}
	verified = true
	for _, chunk := range staged.manifest.Chunks {
		data, ok := staged.chunks[chunk.Index]
		if !ok {
			return false, fmt.Sprintf("chunk %d is not staged", chunk.Index)
		}
		if chunk.Verify(data) != nil {
			verified = false
		}
	}
	return verified, ""
}
