package main

import "fmt"

// The operator's configuration of a small deployment with a service of model runners and a plain one.

// Names in the configuration.
const (
	modelService = "nutri-llm"
	plainService = "orders"
	apiKey       = "n2ctnfzs989anu6wsjnb"
	tenant       = "hule930"

	dietPlan  = "/lohu930/" // streaming, may be resumed
	ownerChat = "/pufi791/" // streaming, may not be resumed
	renew     = "/puxa403/" // unsafe
)

type routeDocument struct {
	Name            string
	Host            string
	PathPrefix      string
	Kind            string
	TimeoutMs       float64
	TargetLatencyMs float64
	Priority        int
	Service         string
	MaxAttempts     int
	Public          bool
	Sticky          bool
	Resumable       bool
	GapTargetMs     float64 `json:",omitempty"`
}

// stride is how many tokens an event of a stream holds.
const stride = 5

// keyOf returns the key of a tenant by its number.
func keyOf(n int) string { return fmt.Sprintf("%s%d", apiKey, n) }

// putConfig writes a configuration with tenants that have the same budget each, prepaid.
func (w *world) putConfig(tenants int, prepaid int64) {
	var list []map[string]any
	for n := range tenants {
		list = append(list, map[string]any{"Name": fmt.Sprintf("%s%d", tenant, n), "ApiKeys": []string{keyOf(n)}, "Priority": 1, "Prepaid": prepaid})
	}
	w.store.put("keyed.op", "config", map[string]any{
		"Version": 1,
		"Routes": []routeDocument{
			{Name: "diet-plan", Host: host, PathPrefix: dietPlan, Kind: "streaming", TimeoutMs: 15000, TargetLatencyMs: 800, Service: modelService, MaxAttempts: 2, Sticky: true, Resumable: true, GapTargetMs: 400},
			{Name: "owner-chat", Host: host, PathPrefix: ownerChat, Kind: "streaming", TimeoutMs: 15000, TargetLatencyMs: 800, Priority: 1, Service: modelService, MaxAttempts: 1, Sticky: true, GapTargetMs: 400},
			{Name: "renew", Host: host, PathPrefix: renew, Kind: "unsafe", TimeoutMs: 4000, TargetLatencyMs: 300, Priority: 2, Service: plainService, MaxAttempts: 1},
		},
		"Services": []map[string]any{
			{"Name": modelService, "HealthPath": "/health", "MaxConns": 360, "Protocol": "h1", "Tls": false, "Engine": map[string]any{
				"Slots": 64, "KvCapacityTokens": kvTokens, "Stride": stride, "Models": []map[string]string{{"Name": "m"}},
			}},
			{"Name": plainService, "HealthPath": "/health", "MaxConns": 96, "Protocol": "h1", "Tls": false},
		},
		"Limits":  map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants": list,
	})
}

// kvTokens is a model runner's memory in tokens.
const kvTokens = 562615
