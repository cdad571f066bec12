package stand

// Hosts, paths and keys of the configuration that the cases use.
const (
	Host       = "desk.example"
	CheckPath  = "/check/"
	BookPath   = "/book/"
	StatusPath = "/status/"
	Model      = "desk-model"
	ModelPool  = "model-desk"
	AppPool    = "member-desk"
)

// Tenant returns a tenant of a configuration. Its limit is in tokens a second.
func Tenant(name, key string, rate float64) map[string]any {
	return map[string]any{
		"name": name, "api_keys": []string{key}, "priority": 1, "unit": "tokens", "plain_tokens": 200, "isolated": false,
		"rate_per_s": rate, "burst": rate,
	}
}

func route(name, path, kind, service string, timeout, aim, attempts int) map[string]any {
	return map[string]any{
		"name": name, "host": Host, "path_prefix": path, "route_type": kind, "timeout_ms": timeout, "target_latency_ms": aim,
		"priority": 1, "service": service, "attempts": attempts, "anonymous": false, "session_affinity": kind == "stream",
		"can_resume": false, "gap_aim_ms": 300,
	}
}

// Config returns a configuration like that of the small sites: a service with a model, and an
// application.
func Config(version int, tenants ...map[string]any) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{
			route("check", CheckPath, "stream", ModelPool, 4000, 500, 1),
			route("book", BookPath, "non_idempotent", AppPool, 4000, 1000, 1),
			route("status", StatusPath, "idempotent", AppPool, 4000, 1000, 2),
		},
		"services": []any{
			map[string]any{
				"name": ModelPool, "health_check": "/healthz", "max_connections": 620, "protocol": "h1", "tls": false,
				"engine": map[string]any{
					"capacity": 128, "kv_capacity_tokens": 159933, "kv_token_bytes": 18432, "link_mbps": 370000.0, "moves": true, "backups": true,
					"stride": 5, "max_in_flight": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0,
					"models": []any{map[string]any{"name": Model}},
				},
			},
			map[string]any{"name": AppPool, "health_check": "/healthz", "max_connections": 620, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": tenants,
	}
}
