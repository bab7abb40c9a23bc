package rig

// Config writes a configuration with one plain service. routes are its routes as JSON values.
func (r *Rig) Config(version int, routes ...map[string]any) {
	r.Store.Put("op/config", map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{
			{"name": "workshop-api", "healthPath": "/health", "maxConns": 96, "protocol": "h1", "tls": false},
			{"name": "portal", "healthPath": "/health", "maxConns": 48, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{},
	})
}

// Route returns a route with the figures of the sheet.
func Route(name, prefix, kind, service string, attempts int) map[string]any {
	return map[string]any{"name": name, "host": "jobs.example", "prefix": prefix, "kind": kind, "timeoutMs": 3000,
		"targetLatencyMs": 300, "priority": 2, "service": service, "maxAttempts": attempts, "public": true}
}
