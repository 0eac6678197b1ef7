// Package routing is the fleet's configuration: which request goes to which service, who may send it and how long
// it may take. It does no I/O.
package routing

import (
	"encoding/json"
	"errors"
	"fmt"
	"sort"
	"strings"
	"time"
)

// Kind says whether requests of a route may be sent again.
type Kind string

// The kinds of a route.
const (
	Safe      Kind = "safe"      // may run more than once
	Unsafe    Kind = "unsafe"    // runs at most once
	Streaming Kind = "streaming" // an event stream; may be sent again if the route is resumable
)

// Config is one version of the configuration. It must not be changed after Index.
type Config struct {
	Version       int64          `json:"version"`
	Routes        []Route        `json:"routes"`
	Services      []Service      `json:"services"`
	Limits        Limits         `json:"limits"`
	Organisations []Organisation `json:"organisations"`

	byHost             map[string][]*Route // longest prefix first
	byKey              map[string]*Organisation
	byOrganisation     map[string]*Organisation
	byService          map[string]*Service
	leastRoutePriority int  // the least urgent priority of all routes
	restricted         bool // some route or organisation restricts the regions
}

// Route maps a host name and a path prefix to a service. Times are in milliseconds.
type Route struct {
	Name            string   `json:"name"`
	Host            string   `json:"host"`
	PathPrefix      string   `json:"path_prefix"`
	Kind            Kind     `json:"kind"`
	TimeoutMs       float64  `json:"timeout_ms"`
	TargetLatencyMs float64  `json:"target_latency_ms"`
	GapTargetMs     float64  `json:"gap_target_ms"`
	Priority        int      `json:"priority"` // 0 is the most urgent
	Service         string   `json:"service"`  // used if Split is empty
	Split           []Weight `json:"split"`
	MaxAttempts     int      `json:"max_attempts"`
	Public          bool     `json:"public"` // needs no key
	Resumable       bool     `json:"resumable"`
	Sticky          bool     `json:"sticky"` // prompts share parts, so affinity helps
	// AllowedRegions are the only regions in which its requests may be served; empty means any.
	AllowedRegions []string `json:"allowed_regions"`
}

// Weight is the share of one service in a weighted split.
type Weight struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

// Service is a set of equivalent targets.
type Service struct {
	Name       string  `json:"name"`
	HealthPath string  `json:"health_path"`
	MaxConns   int     `json:"max_conns"` // per target, from all hosts together
	Engine     *Engine `json:"engine"`    // nil unless the targets are model engines
	// ColdPerS is how many requests per second a target accepts from all hosts together while it is cold,
	// for ColdS seconds after its start; 0 means no limit.
	ColdPerS float64 `json:"cold_per_s"`
	ColdS    float64 `json:"cold_s"`
}

type Engine struct {
	Slots  int     `json:"slots"`  // requests processed in one batch
	Stride float64 `json:"stride"` // maximum tokens in one event of a stream
	// KVCapacity is the size of one target's key-value cache in tokens.
	KVCapacity int64 `json:"kv_capacity"`
}

// Limits bound the requests of callers.
type Limits struct {
	MaxHeaderBytes  int     `json:"max_header_bytes"`
	MaxBodyBytes    int64   `json:"max_body_bytes"`
	HeaderTimeoutMs float64 `json:"header_timeout_ms"`
	IdleTimeoutMs   float64 `json:"idle_timeout_ms"`
}

// Organisation is a customer with keys and a prepaid budget.
type Organisation struct {
	Name     string   `json:"name"`
	Keys     []string `json:"keys"`
	Priority int      `json:"priority"` // 0 is the most urgent
	// Prepaid is the number of tokens that the organisation may use; nil means no limit.
	Prepaid *int64 `json:"prepaid"`
	// AllowedRegions are the only regions in which its requests may be served; empty means any.
	AllowedRegions []string `json:"allowed_regions"`
}

// Milliseconds converts a configured number of milliseconds to a duration.
func Milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// Timeout is the maximum duration of the route's requests; 0 means no limit.
func (r *Route) Timeout() time.Duration { return Milliseconds(r.TimeoutMs) }

// Repeatable reports whether the route's requests may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Safe || r.Kind == Streaming && r.Resumable
}

// Attempts is the maximum number of targets that one request may be sent to.
func (r *Route) Attempts() int { return max(r.MaxAttempts, 1) }

// Parse decodes and indexes a configuration in the product's own JSON format.
func Parse(data []byte) (*Config, error) {
	c := &Config{}
	if err := json.Unmarshal(data, c); err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	if err := c.Index(); err != nil {
		return nil, err
	}
	return c, nil
}

// ErrNoVersion reports a configuration without a version.
var ErrNoVersion = errors.New("configuration: version is missing")

// Index builds the lookup tables and validates what they rely on. It must be called once, before the
// configuration is shared between goroutines.
func (c *Config) Index() error {
	if c.Version <= 0 {
		return ErrNoVersion
	}
	c.byHost = map[string][]*Route{}
	c.byKey = map[string]*Organisation{}
	c.byOrganisation = map[string]*Organisation{}
	c.byService = map[string]*Service{}
	for i := range c.Services {
		service := &c.Services[i]
		if !isDuration(service.ColdS * millisecondsPerSecond) {
			return fmt.Errorf("configuration: service %q: a cold start of %v s is not a valid duration", service.Name, service.ColdS)
		}
		c.byService[service.Name] = service
	}
	for i := range c.Organisations {
		organisation := &c.Organisations[i]
		c.byOrganisation[organisation.Name] = organisation
		c.restricted = c.restricted || len(organisation.AllowedRegions) > 0
		for _, key := range organisation.Keys {
			c.byKey[key] = organisation
		}
	}
	for i := range c.Routes {
		route := &c.Routes[i]
		if !strings.HasPrefix(route.PathPrefix, "/") {
			return fmt.Errorf("configuration: route %q: path prefix %q does not begin with a slash", route.Name, route.PathPrefix)
		}
		for name, ms := range map[string]float64{"timeout": route.TimeoutMs, "target latency": route.TargetLatencyMs, "gap target": route.GapTargetMs} {
			if !isDuration(ms) {
				return fmt.Errorf("configuration: route %q: a %s of %v ms is not a valid duration", route.Name, name, ms)
			}
		}
		host := strings.ToLower(route.Host)
		c.byHost[host] = append(c.byHost[host], route)
		c.restricted = c.restricted || len(route.AllowedRegions) > 0
		c.leastRoutePriority = max(c.leastRoutePriority, route.Priority)
	}
	for _, routes := range c.byHost {
		sort.SliceStable(routes, func(i, j int) bool {
			return len(routes[i].PathPrefix) > len(routes[j].PathPrefix)
		})
	}
	return nil
}

const (
	// maxMilliseconds bounds the durations of a configuration. Larger numbers overflow a time.Duration, alone or in sums.
	maxMilliseconds       = 1e12
	millisecondsPerSecond = 1000
)

// isDuration reports whether a number of milliseconds is a valid duration.
func isDuration(ms float64) bool { return ms >= 0 && ms <= maxMilliseconds }

// Match returns the route for a host name and a path, or nil if there is none. The path is as received, without
// its query.
func (c *Config) Match(host, path string) *Route {
	for _, route := range c.byHost[hostName(host)] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route
		}
	}
	return nil
}

// hostName strips the port from a Host header and lowers its case.
func hostName(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// ByKey returns the organisation that has the key, or nil.
func (c *Config) ByKey(key string) *Organisation { return c.byKey[key] }

// Organisation returns the organisation with the name, or nil.
func (c *Config) Organisation(name string) *Organisation { return c.byOrganisation[name] }

// Service returns the service with the name, or nil.
func (c *Config) Service(name string) *Service { return c.byService[name] }

// leastEnginePriority is the least urgent priority that an engine accepts.
const leastEnginePriority = 9

// RequestPriority is the priority of a request at an engine, from 0 (most urgent) to 9. The organisation's
// priority takes precedence over the route's.
func (c *Config) RequestPriority(organisation *Organisation, route *Route) int {
	priority := route.Priority
	if organisation != nil {
		priority += organisation.Priority * (c.leastRoutePriority + 1)
	}
	return min(max(priority, 0), leastEnginePriority)
}

// PickService chooses the service of a request by the weights of the route's split. draw is a random number in
// [0, 1).
func (r *Route) PickService(draw float64) string {
	if len(r.Split) == 0 {
		return r.Service
	}
	total := 0.0
	for _, part := range r.Split {
		total += part.Weight
	}
	rest := draw * total
	for _, part := range r.Split {
		if rest < part.Weight {
			return part.Service
		}
		rest -= part.Weight
	}
	return r.Split[len(r.Split)-1].Service
}

// Services lists the services that may run the requests of the route.
func (r *Route) Services() []string {
	if len(r.Split) == 0 {
		return []string{r.Service}
	}
	var services []string
	for _, part := range r.Split {
		if part.Weight > 0 {
			services = append(services, part.Service)
		}
	}
	return services
}
