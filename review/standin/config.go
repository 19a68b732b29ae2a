package main

// config is the operator's first configuration: the routes of the small site mizuchi-hokkaido that the
// cases use.
func config() map[string]any {
	return map[string]any{
		"version": 7,
		"routes": []map[string]any{
			{"name": "r-sweep", "host": "ficu95.example", "pathPrefix": "/sweep/", "type": "streaming", "timeoutMs": 5000, "sloMs": 200, "priority": 0,
				"service": "agent", "attempts": 2, "retained": true, "retentionS": 60.0, "sticky": true, "resumable": false, "gapSloMs": 250},
			{"name": "r-sync", "host": "ficu95.example", "pathPrefix": "/sync/", "type": "unsafe", "timeoutMs": 6000, "sloMs": 800, "priority": 2,
				"service": "app", "attempts": 1},
			{"name": "r-order", "host": "ficu95.example", "pathPrefix": "/order/", "type": "unsafe", "timeoutMs": 3000, "sloMs": 600, "priority": 2,
				"service": "app", "attempts": 2},
		},
		"services": []map[string]any{
			{"name": "agent", "healthPath": "/healthz", "maxConns": 300, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": 48, "kvCapacityTokens": 260150, "kvBytes": 131072, "linkMbps": 550000.0, "moves": true, "backups": true,
				"chunkTokens": 3, "most": 12, "pinMs": 4000.0, "holdMs": 2000.0, "handle_s": 5.0, "models": []map[string]any{{"name": "m"}}}},
			{"name": "app", "healthPath": "/healthz", "maxConns": 100, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}
