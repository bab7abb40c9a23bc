package backend

import (
	"encoding/json"
	"maps"
	"net/http"
)

// Counts maps names to counts.
type Counts map[string]int

// Clone returns a copy, never nil.
func (c Counts) Clone() Counts {
	if c == nil {
		return Counts{}
	}
	return maps.Clone(c)
}

// Max returns the largest count, or 0 if there is none.
func (c Counts) Max() int {
	largest := 0
	for _, n := range c {
		largest = max(largest, n)
	}
	return largest
}

// Admin holds the admin calls that a stand-in offers over HTTP. F is its type
// of faults.
type Admin[F any] struct {
	Counters func() any // encoded as JSON
	Faults   func(F)    // replaces all faults
	Restart  func()     // simulates a restart of the process; nil if not supported
}

// Handler serves GET /admin/counters, POST /admin/faults and POST
// /admin/restart.
func (a Admin[F]) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /admin/counters", func(w http.ResponseWriter, _ *http.Request) {
		WriteJSON(w, http.StatusOK, a.Counters())
	})
	mux.HandleFunc("POST /admin/faults", a.setFaults)
	if a.Restart != nil {
		mux.HandleFunc("POST /admin/restart", func(w http.ResponseWriter, _ *http.Request) {
			a.Restart()
			w.WriteHeader(http.StatusNoContent)
		})
	}
	return mux
}

func (a Admin[F]) setFaults(w http.ResponseWriter, r *http.Request) {
	var faults F
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, MaxBody))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&faults); err != nil {
		WriteError(w, http.StatusBadRequest, err.Error())
		return
	}
	a.Faults(faults)
	WriteJSON(w, http.StatusOK, faults)
}
