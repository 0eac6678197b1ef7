// Package routing is the configuration of the fleet: which request goes to which
// service, who may send it, and how long it may take. It is pure.
package routing

import (
	"encoding/json"
	"errors"
	"fmt"
	"sort"
	"strings"
	"time"
)

// Kind says what may be repeated.
type Kind string

// The kinds of a route.
const (
	Safe      Kind = "safe"      // may run more than once
	Unsafe    Kind = "unsafe"    // runs at most once
	Streaming Kind = "streaming" // an event stream; may be repeated if it is resumable
)

// Config is one version of the configuration. It is not changed once it is indexed.
type Config struct {
	Version       int64          `json:"version"`
	Routes        []Route        `json:"routes"`
	Services      []Service      `json:"services"`
	Limits        Limits         `json:"limits"`
	Organisations []Organisation `json:"organisations"`

	byHost         map[string][]*Route // longest prefix first
	byKey          map[string]*Organisation
	byOrganisation map[string]*Organisation
	byService      map[string]*Service
	maxRank        int
	restricted     bool // some route or organisation names regions
}

// Route maps a host and a path prefix to a service. Times are milliseconds.
type Route struct {
	Name            string   `json:"name"`
	Host            string   `json:"host"`
	PathPrefix      string   `json:"path_prefix"`
	Kind            Kind     `json:"kind"`
	TimeoutMs       float64  `json:"timeout_ms"`
	TargetLatencyMs float64  `json:"target_latency_ms"`
	GapTargetMs     float64  `json:"gap_target_ms"`
	Priority        int      `json:"priority"` // 0 is the most urgent
	Service         string   `json:"service"`  // when Split is empty
	Split           []Weight `json:"split"`
	MaxAttempts     int      `json:"max_attempts"`
	Public          bool     `json:"public"` // needs no key
	Resumable       bool     `json:"resumable"`
	Sticky          bool     `json:"sticky"` // prompts share parts
	// AllowedRegions are the only regions in which its requests may be served; empty: any.
	AllowedRegions []string `json:"allowed_regions"`
}

// Weight is one part of a weighted split.
type Weight struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

// Service is a set of targets.
type Service struct {
	Name       string  `json:"name"`
	HealthPath string  `json:"health_path"`
	MaxConns   int     `json:"max_conns"` // at one target, from all hosts together
	Engine     *Engine `json:"engine"`    // set for model engines
	// ColdPerS is how many requests a second a target bears that is cold after its start,
	// from all hosts together; 0: any number. It is cold for ColdS seconds.
	ColdPerS float64 `json:"cold_per_s"`
	ColdS    float64 `json:"cold_s"`
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots  int     `json:"slots"`  // requests in a batch
	Stride float64 `json:"stride"` // most tokens in one event of a stream
	// KVCapacity is the memory of one target in tokens.
	KVCapacity int64 `json:"kv_capacity"`
}

// Limits bound what callers may send.
type Limits struct {
	MaxHeaderBytes  int     `json:"max_header_bytes"`
	MaxBodyBytes    int64   `json:"max_body_bytes"`
	HeaderTimeoutMs float64 `json:"header_timeout_ms"`
	IdleTimeoutMs   float64 `json:"idle_timeout_ms"`
}

// Organisation is a customer, with keys and a prepaid budget.
type Organisation struct {
	Name     string   `json:"name"`
	Keys     []string `json:"keys"`
	Priority int      `json:"priority"` // 0 is the most urgent
	// Prepaid is the most tokens that the organisation may use; nil: no limit.
	Prepaid *int64 `json:"prepaid"`
	// AllowedRegions are the only regions in which its requests may be served; empty: any.
	AllowedRegions []string `json:"allowed_regions"`
}

// Milliseconds turns a configured number into a duration.
func Milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// Timeout is the longest time that a request of the route is held; 0: no limit.
func (r *Route) Timeout() time.Duration { return Milliseconds(r.TimeoutMs) }

// Repeatable says whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Safe || r.Kind == Streaming && r.Resumable
}

// Attempts is the largest number of targets that one request may be sent to.
func (r *Route) Attempts() int { return max(r.MaxAttempts, 1) }

// Parse reads a configuration in the product's own format.
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

// ErrNoVersion means that a configuration has no version.
var ErrNoVersion = errors.New("configuration: version is missing")

// Index prepares the lookups and checks what they rely on. It is called once,
// before the configuration is shared.
func (c *Config) Index() error {
	if c.Version <= 0 {
		return ErrNoVersion
	}
	c.byHost = map[string][]*Route{}
	c.byKey = map[string]*Organisation{}
	c.byOrganisation = map[string]*Organisation{}
	c.byService = map[string]*Service{}
	for i := range c.Services {
		c.byService[c.Services[i].Name] = &c.Services[i]
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
		host := strings.ToLower(route.Host)
		c.byHost[host] = append(c.byHost[host], route)
		c.restricted = c.restricted || len(route.AllowedRegions) > 0
		c.maxRank = max(c.maxRank, route.Priority)
	}
	for _, routes := range c.byHost {
		sort.SliceStable(routes, func(i, j int) bool {
			return len(routes[i].PathPrefix) > len(routes[j].PathPrefix)
		})
	}
	return nil
}

// Match finds the route for a host and a path, nil if there is none. The path is
// the one on the wire, without its query.
func (c *Config) Match(host, path string) *Route {
	for _, route := range c.byHost[hostName(host)] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route
		}
	}
	return nil
}

// hostName drops the port of a Host header.
func hostName(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// ByKey finds the organisation that holds a key, nil if none does.
func (c *Config) ByKey(key string) *Organisation { return c.byKey[key] }

// Organisation finds a organisation by name, nil if there is none.
func (c *Config) Organisation(name string) *Organisation { return c.byOrganisation[name] }

// Service finds a service by name, nil if there is none.
func (c *Config) Service(name string) *Service { return c.byService[name] }

// maxPriority is the least urgent priority of an engine.
const maxPriority = 9

// RequestPriority is the priority of a request at an engine, 0 (first) to 9: the organisation's
// priority goes before the route's.
func (c *Config) RequestPriority(organisation *Organisation, route *Route) int {
	rank := route.Priority
	if organisation != nil {
		rank += organisation.Priority * (c.maxRank + 1)
	}
	return min(max(rank, 0), maxPriority)
}

// PickService chooses the service of a request; draw is a random number in [0, 1).
func (r *Route) PickService(draw float64) string {
	if len(r.Split) == 0 {
		return r.Service
	}
	total := 0.0
	for _, part := range r.Split {
		total += part.Weight
	}
	at := draw * total
	for _, part := range r.Split {
		if at < part.Weight {
			return part.Service
		}
		at -= part.Weight
	}
	return r.Split[len(r.Split)-1].Service
}
