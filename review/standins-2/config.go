package main

// config writes the operator's configuration.
func (h *harness) config(version int, routes, backends []map[string]any) {
	h.configWithKeys(version, routes, backends, []string{"key-of-t2"})
}

func (h *harness) configWithKeys(version int, routes, backends []map[string]any, keysOfT2 []string) {
	h.store.put("op/config", map[string]any{
		"version": version, "routes": routes, "backends": backends,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{
			{"name": "t1", "api_keys": []string{"key-of-t1"}, "priority_class": 1}, {"name": "t2", "api_keys": keysOfT2, "priority_class": 1},
		},
	})
}

func route(name, kind, backend string, timeoutMS, attempts int) map[string]any {
	return map[string]any{
		"name": name, "hostname": "h.example", "prefix": "/" + name + "/", "route_type": kind, "backend": backend,
		"timeout_ms": timeoutMS, "target_latency_ms": 300, "priority_class": 2, "max_attempts": attempts, "anonymous": false,
	}
}
