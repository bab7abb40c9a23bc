package main

import (
	"encoding/json"
	"io"
	"net/http"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/revision"
	"chivespindle.example/standin/platform"
)

const (
	// maxConfigBytes is the size of the largest configuration that the platform
	// stores.
	maxConfigBytes = 1 << 20
	// maxInstanceBytes limits the size of one instance as JSON.
	maxInstanceBytes = 64 << 10
)

// admin is the interface for people and tests to control the stand-ins.
type admin struct {
	*services
	log *zap.Logger
}

// newAdmin returns the handler of the admin interface. It writes one line to the
// log for each change and each request that fails.
func newAdmin(services *services, log *zap.Logger) http.Handler {
	a := &admin{services: services, log: log}
	mux := http.NewServeMux()
	handle := func(pattern string, action func(r *http.Request) (any, error)) {
		mux.Handle(pattern, a.newHandler(pattern, action))
	}
	handle("POST /admin/config", a.setConfig)
	handle("PUT /admin/instances/{id}", a.putInstance)
	handle("DELETE /admin/instances/{id}", a.deleteInstance)
	handle("POST /admin/models", a.addModel)
	handle("POST /admin/faults", a.setFault)
	handle("GET /admin/counters", a.counters)
	return mux
}

// newHandler returns a handler that runs an action and writes its result as JSON,
// or its error as one line of text.
func (a *admin) newHandler(pattern string, action func(r *http.Request) (any, error)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		result, err := action(r)
		if err != nil {
			a.log.Warn("admin_refused", zap.String("request", pattern), zap.Error(err))
			http.Error(w, err.Error(), statusOf(err))
			return
		}
		if r.Method != http.MethodGet {
			a.log.Info("admin_done", zap.String("request", pattern), zap.String("target", r.URL.RequestURI()))
		}
		if result == nil {
			w.WriteHeader(http.StatusNoContent)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		// A write fails only if the client has disconnected.
		_ = json.NewEncoder(w).Encode(result)
	})
}

func statusOf(err error) int {
	switch {
	case errorx.IsOfType(err, failure.Invalid):
		return http.StatusBadRequest
	case errorx.IsOfType(err, failure.NotFound):
		return http.StatusNotFound
	default:
		return http.StatusInternalServerError
	}
}

// configResponse reports the revision that the configuration received.
type configResponse struct {
	Revision revision.Revision `json:"revision"`
}

func (a *admin) setConfig(r *http.Request) (any, error) {
	text, err := readBody(r, maxConfigBytes)
	if err != nil {
		return nil, err
	}
	return configResponse{Revision: a.config.SetConfig(text)}, nil
}

func (a *admin) putInstance(r *http.Request) (any, error) {
	body, err := readBody(r, maxInstanceBytes)
	if err != nil {
		return nil, err
	}
	var instance fleet.Instance
	if err := json.Unmarshal(body, &instance); err != nil {
		return nil, failure.Invalid.Wrap(err, "instance")
	}
	id := fleet.InstanceID(r.PathValue("id"))
	if instance.ID != "" && instance.ID != id {
		return nil, failure.Invalid.New("instance has id %q, the path %q", instance.ID, id)
	}
	instance.ID = id
	if instance.Role != fleet.RoleEntry && instance.Role != fleet.RoleAgent {
		return nil, failure.Invalid.New("role is %q, want %q or %q", instance.Role, fleet.RoleEntry, fleet.RoleAgent)
	}
	if !instance.PeerAddr.IsValid() {
		return nil, failure.Invalid.New("peer_addr is missing")
	}
	a.list.Set(instance)
	return nil, nil
}

func (a *admin) deleteInstance(r *http.Request) (any, error) {
	id := fleet.InstanceID(r.PathValue("id"))
	if !a.list.Remove(id) {
		return nil, failure.NotFound.New("there is no instance %q", id)
	}
	return nil, nil
}

// modelResponse describes a model version that was added to the origin and the
// store.
type modelResponse struct {
	Name     string       `json:"name"`
	Manifest fleet.Digest `json:"manifest"`
	Bytes    int64        `json:"bytes"`
	Chunks   int          `json:"chunks"`
}

func (a *admin) addModel(r *http.Request) (any, error) {
	values := newQuery(r)
	spec := platform.ModelSpec{
		Name:       values.text("name"),
		Bytes:      values.number("bytes"),
		ChunkBytes: int(values.number("chunk_bytes")),
		Seed:       uint64(values.number("seed")),
	}
	if err := values.finish(); err != nil {
		return nil, err
	}
	model, err := platform.NewModel(spec)
	if err != nil {
		return nil, err
	}
	for _, server := range []*platform.WeightServer{a.origin, a.store} {
		if _, err := server.Add(model.Manifest, model.Chunks); err != nil {
			return nil, err
		}
	}
	return modelResponse{
		Name:     spec.Name,
		Manifest: model.Version.Manifest,
		Bytes:    spec.Bytes,
		Chunks:   len(model.Chunks),
	}, nil
}

// counters are the values of the stand-ins' counters and gauges.
type counters struct {
	ConfigRevision           revision.Revision `json:"config_revision"`
	ConfigCalls              uint64            `json:"config_calls"`
	ConfigCallsLastSecond    int               `json:"config_calls_last_second"`
	ConfigPeakCallsPerSecond int               `json:"config_peak_calls_per_second"`
	ConfigWaiting            int               `json:"config_waiting"`
	ConfigBytes              uint64            `json:"config_bytes"`
	InstancesCalls           uint64            `json:"instances_calls"`
	InstancesBytes           uint64            `json:"instances_bytes"`
	OriginRequests           uint64            `json:"origin_requests"`
	OriginBytes              uint64            `json:"origin_bytes"`
	OriginTransfers          int               `json:"origin_transfers"`
	OriginStalled            int               `json:"origin_stalled"`
	StoreRequests            uint64            `json:"store_requests"`
	StoreBytes               uint64            `json:"store_bytes"`
	StoreTransfers           int               `json:"store_transfers"`
	StoreStalled             int               `json:"store_stalled"`
}

func (a *admin) counters(*http.Request) (any, error) {
	return counters{
		ConfigRevision:           a.config.Revision(),
		ConfigCalls:              a.config.Calls(),
		ConfigCallsLastSecond:    a.config.CallsLastSecond(),
		ConfigPeakCallsPerSecond: a.config.PeakCallsPerSecond(),
		ConfigWaiting:            a.config.WaitingWatches(),
		ConfigBytes:              a.config.BytesSent(),
		InstancesCalls:           a.list.Calls(),
		InstancesBytes:           a.list.BytesSent(),
		OriginRequests:           a.origin.Requests(),
		OriginBytes:              a.origin.BytesSent(),
		OriginTransfers:          a.origin.Transfers(),
		OriginStalled:            a.origin.Stalled(),
		StoreRequests:            a.store.Requests(),
		StoreBytes:               a.store.BytesSent(),
		StoreTransfers:           a.store.Transfers(),
		StoreStalled:             a.store.Stalled(),
	}, nil
}

// readBody reads the body of a request, which may have at most limit bytes.
func readBody(r *http.Request, limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err != nil {
		return nil, failure.Invalid.Wrap(err, "read the body")
	}
	if int64(len(body)) > limit {
		return nil, failure.Invalid.New("the body has more than %d bytes", limit)
	}
	return body, nil
}
