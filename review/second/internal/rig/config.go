package rig

// Names of the services.
const (
	Workshop = "workshop-api"
	Portal   = "portal"
	Pool     = "spindle-pool"
)

// Config writes a configuration with the given routes. origin is the address of the origin of
// weights, empty for none.
func (r *Rig) Config(version int, origin string, routes ...map[string]any) {
	services := []map[string]any{
		{"name": Workshop, "healthPath": "/health", "maxConns": 96, "protocol": "h1", "tls": false},
		{"name": Portal, "healthPath": "/health", "maxConns": 48, "protocol": "h1", "tls": false},
		{"name": Pool, "healthPath": "/health", "maxConns": 424, "protocol": "h1", "tls": false, "engine": engine()},
	}
	if origin != "" {
		services = append(services, map[string]any{"name": "member-portal", "origin": origin, "zone": "apapa-hall", "linkMbps": 15.0, "maxConns": 48})
	}
	r.Store.Put(configKey, map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{},
	})
}

// engine returns the figures of the engines of ffsan-relay.
func engine() map[string]any {
	return map[string]any{
		"slots": 16, "kvCapacity": 317000, "kvTokenBytes": 262144, "stride": 5, "mb": 149000.0,
		"models":  []map[string]any{{"name": Model, "pace": 1.0, "warmS": 0.3}},
		"step_ms": 9.27, "per_seq_ms": 0.0232, "context_per_k": 0.0322, "read_per_s": 20700.0, "pairs_per_m": 1.18,
		"chunk": 2048, "report_lag_ms": 200.0, "usual": map[string]any{"prompt": 979, "answer": 92},
		"layers": 16, "chunks": Chunks, "chunkBytes": ChunkBytes,
	}
}

// Route returns a route of a plain service with the figures of the sheet.
func Route(name, prefix, kind, service string, attempts int) map[string]any {
	return map[string]any{"name": name, "host": "jobs.example", "prefix": prefix, "kind": kind, "timeoutMs": 3000,
		"targetLatencyMs": 300, "priority": 2, "service": service, "maxAttempts": attempts, "public": true}
}

// StreamRoute returns the route of the fault logs.
func StreamRoute() map[string]any {
	return map[string]any{"name": "fault-log", "host": "relay.example", "prefix": "/read/", "kind": "streaming", "timeoutMs": 6000,
		"targetLatencyMs": 500, "priority": 1, "service": Pool, "maxAttempts": 2, "public": true, "sticky": true, "gapAimMs": 400}
}
