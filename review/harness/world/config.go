package world

// Config returns a configuration with one route for resumable streams at service llm, two for whole answers at service
// orders, and one tenant.
func Config() map[string]any {
	return map[string]any{
		"Version": 7,
		"Routes": []map[string]any{
			{
				"Name": "r-stream", "Host": Host, "PathPrefix": "/tile410/zi7/", "Kind": "streaming", "TimeoutMs": 15000, "TargetLatencyMs": 800,
				"Priority": 0, "Service": "llm", "MaxAttempts": 2, "Public": false, "Sticky": true, "Resumable": true, "GapTargetMs": 400,
			},
			{
				"Name": "r-unsafe", "Host": Host, "PathPrefix": "/puxa403/", "Kind": "unsafe", "TimeoutMs": 4000, "TargetLatencyMs": 300,
				"Priority": 2, "Service": "orders", "MaxAttempts": 1, "Public": false,
			},
			{
				"Name": "r-safe", "Host": Host, "PathPrefix": "/cufi504/", "Kind": "safe", "TimeoutMs": 4000, "TargetLatencyMs": 300,
				"Priority": 2, "Service": "orders", "MaxAttempts": 2, "Public": false,
			},
		},
		"Services": []map[string]any{
			{
				"Name": "llm", "HealthPath": "/health", "MaxConns": 360,
				"Engine": map[string]any{"Slots": 64, "KvCapacityTokens": 562615, "KvTokenBytes": 18432, "LinkMbps": 370000.0, "Stride": 5},
			},
			{"Name": "orders", "HealthPath": "/health", "MaxConns": 96},
		},
		"Limits":  map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants": []map[string]any{{"Name": "hule930", "ApiKeys": []string{Key}, "Priority": 0, "Prepaid": 50000000}},
	}
}

// ConfigWithNewRoute returns the next version of the configuration, which adds a safe route.
func ConfigWithNewRoute() map[string]any {
	c := Config()
	c["Version"] = 9
	c["Routes"] = append(c["Routes"].([]map[string]any), map[string]any{
		"Name": "r-added", "Host": Host, "PathPrefix": "/nova771/", "Kind": "safe", "TimeoutMs": 4000, "TargetLatencyMs": 300,
		"Priority": 2, "Service": "orders", "MaxAttempts": 2, "Public": false,
	})
	return c
}
