package engine

import (
	"encoding/json"
	"fmt"
	"net/http"

	"chivespindle.example/core/fleet"
	"chivespindle.example/core/serving"
	"chivespindle.example/standin/engine/backend"
)

// maxOrder bounds an order's JSON in bytes.
const maxOrder = 1 << 20

func (e *Engine) postOrder(w http.ResponseWriter, r *http.Request) {
	var order serving.Order
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxOrder)).Decode(&order); err != nil {
		backend.WriteProblem(w, http.StatusBadRequest, err.Error())
		return
	}
	if status, reason := e.accept(order); status != http.StatusOK {
		backend.WriteProblem(w, status, reason)
		return
	}
	backend.WriteJSON(w, http.StatusOK, struct{}{})
}

// accept checks an order and starts to carry it out. All of it is refused or
// none.
func (e *Engine) accept(order serving.Order) (status int, reason string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	checks := e.options.CheckFence && !e.faults.IgnoreFence
	if checks && order.Fence < e.fence {
		e.counters.OrdersRefused++
		return http.StatusConflict, "a higher fencing number was seen"
	}
	if e.changes(order.Version) {
		if missing := e.startLoad(order.Version); missing != "" {
			return http.StatusUnprocessableEntity, missing
		}
	}
	if e.options.CheckFence {
		e.fence = max(e.fence, order.Fence)
	}
	if order.Adapters != nil {
		e.adapters = append([]string{}, order.Adapters...)
	}
	if order.Role != "" {
		e.role = order.Role
	}
	return http.StatusOK, ""
}

// changes reports whether an order for version needs a load. A repeated order
// does not, so that a giver who does not know whether the first arrived may
// send it again.
func (e *Engine) changes(version fleet.Version) bool {
	if version.IsZero() {
		return false
	}
	if e.loading {
		return version != e.target
	}
	return version != e.loaded
}

// startLoad ends what runs and loads version. A load that goes on already is
// given up. It does nothing and tells what is missing if not all is staged.
func (e *Engine) startLoad(version fleet.Version) (missing string) {
	whole, missing := e.takeStaged(version.Manifest)
	if missing != "" {
		return missing
	}
	if !e.life.over() {
		close(e.life.ended)
	}
	e.loaded = fleet.Version{}
	e.loading = true
	e.target = version
	current := newLife()
	e.life = current
	if e.options.LoadTime <= 0 {
		e.finishLoad(version, whole)
		return ""
	}
	done := e.options.Clock.After(e.options.LoadTime)
	go func() {
		select {
		case <-done:
		case <-current.ended:
			return
		}
		e.mu.Lock()
		defer e.mu.Unlock()
		if !current.over() {
			e.finishLoad(version, whole)
		}
	}()
	return ""
}

func (e *Engine) finishLoad(version fleet.Version, whole bool) {
	e.loading = false
	e.target = fleet.Version{}
	e.loaded = version
	e.whole = whole
	e.counters.Loads++
}

// takeStaged reports whether the staged bytes match the manifest, or what is
// missing. Like a real engine it loads bytes that do not match;
// the requests that run on them are counted as Mixed.
func (e *Engine) takeStaged(manifest fleet.Digest) (whole bool, missing string) {
	staged := e.staged[manifest]
	if staged == nil || staged.manifest == nil {
		return false, "the manifest is not staged"
	}
	whole = true
	for _, chunk := range staged.manifest.Chunks {
		data, ok := staged.chunks[chunk.Index]
		if !ok {
			return false, fmt.Sprintf("chunk %d is not staged", chunk.Index)
		}
		if chunk.Verify(data) != nil {
			whole = false
		}
	}
	return whole, ""
}
