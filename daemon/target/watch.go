// Package target knows the back ends: which there are, how they do, and which
// one takes a request.
package target

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	log "github.com/sirupsen/logrus"

	platformv1 "maststage.dev/api/platform/v1"
	"maststage.dev/api/platform/v1/platformv1connect"
	"maststage.dev/daemon/settings"
	"maststage.dev/lib/guard"
)

// Roles of the platform's membership list.
const (
	RoleHost    = "host"
	RoleEngine  = "engine"
	RoleService = "service"
)

const (
	loadTimeout = time.Second
	avoidFor    = 5 * time.Second // how long a peer's word that a target leaves counts
)

// Target is one back end as this host sees it. Fields below mu are guarded by
// the registry's lock.
type Target struct {
	Name   string
	Addr   string
	Pool   string
	Domain string
	Slots  int
	Client platformv1connect.TargetClient

	listed      bool // in the membership list
	listLeaves  bool // by the list
	ownLeaves   bool // by its own last word
	avoidUntil  time.Time
	ejected     time.Time // until when
	failures    int       // in a row
	outstanding int       // ours
	running     int       // last report
	waiting     int
	prefixes    map[uint64]bool
	gap         float64 // smoothed seconds between tokens
	busy        bool    // a load call is on its way
}

// Registry holds the targets.
type Registry struct {
	cfg     settings.Targets
	domain  string
	members platformv1connect.MembersClient
	every   time.Duration
	timeout time.Duration
	http    *http.Client

	mu      sync.Mutex
	targets map[string]*Target
	hosts   []*platformv1.Member // of the list, with role host
	listed  time.Time            // last good read of the list
	pools   map[string]*pool
	tokens  float64 // of the retry budget
}

// NewRegistry makes an empty registry; Run starts it. domain is this host's
// failure domain, every and timeout are those of the membership list.
func NewRegistry(cfg settings.Targets, domain string, members platformv1connect.MembersClient, every, timeout time.Duration, client *http.Client) *Registry {
	return &Registry{
		cfg: cfg, domain: domain, members: members, every: every, timeout: timeout, http: client,
		targets: map[string]*Target{},
		pools:   map[string]*pool{},
		tokens:  retryBurst,
	}
}

// Run watches list and targets until ctx ends.
func (r *Registry) Run(ctx context.Context) {
	guard.Go("membership list", func() { every(ctx, r.every, func() { r.readList(ctx) }) })
	every(ctx, r.cfg.LoadInterval, func() { r.round(ctx) })
}

func every(ctx context.Context, d time.Duration, f func()) {
	tick := time.NewTicker(d)
	defer tick.Stop()
	for {
		f()
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

func (r *Registry) readList(ctx context.Context) {
	c, cancel := context.WithTimeout(ctx, r.timeout)
	defer cancel()
	res, err := r.members.List(c, connect.NewRequest(&platformv1.ListRequest{}))
	if err != nil {
		log.WithError(err).Debug("can't read the membership list")
		return
	}
	r.take(res.Msg.Members)
}

// take brings the registry in line with the list.
func (r *Registry) take(members []*platformv1.Member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listed = time.Now()
	r.hosts = r.hosts[:0]
	seen := map[string]bool{}
	for _, m := range members {
		if m.Role == RoleHost {
			r.hosts = append(r.hosts, m)
			continue
		}
		seen[m.Name] = true
		r.takeOne(m)
	}
	for name, t := range r.targets {
		t.listed = seen[name]
		if !t.listed && t.outstanding == 0 {
			delete(r.targets, name)
		}
	}
}

func (r *Registry) takeOne(m *platformv1.Member) {
	t := r.targets[m.Name]
	if t == nil || t.Addr != m.Address {
		t = &Target{
			Name: m.Name, Addr: m.Address, Pool: m.Pool, Domain: m.Domain, Slots: int(max(m.Slots, 1)),
			Client: platformv1connect.NewTargetClient(r.http, "http://"+m.Address),
		}
		r.targets[m.Name] = t
	}
	t.listed = true
	t.listLeaves = m.Leaving
}

// HostDelisted says whether a fresh membership list no longer has a host.
func (r *Registry) HostDelisted(host string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Since(r.listed) > 4*r.every+r.timeout {
		return false
	}
	return !slices.ContainsFunc(r.hosts, func(m *platformv1.Member) bool { return m.Name == host })
}

// Hosts lists the peer addresses that the platform knows.
func (r *Registry) Hosts() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	addrs := make([]string, 0, len(r.hosts))
	for _, m := range r.hosts {
		addrs = append(addrs, m.Address)
	}
	return addrs
}

// round asks each target for its load.
func (r *Registry) round(ctx context.Context) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range r.targets {
		if t.busy {
			continue
		}
		t.busy = true
		guard.Go("load report", func() { r.askLoad(ctx, t) })
	}
	for _, p := range r.pools {
		r.serve(p)
	}
}

func (r *Registry) askLoad(ctx context.Context, t *Target) {
	c, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	res, err := t.Client.Load(c, connect.NewRequest(&platformv1.LoadRequest{}))
	r.mu.Lock()
	defer r.mu.Unlock()
	t.busy = false
	if err != nil {
		return
	}
	t.running = int(res.Msg.Running)
	t.waiting = int(res.Msg.Waiting)
	t.ownLeaves = res.Msg.Leaving
	t.prefixes = make(map[uint64]bool, len(res.Msg.Prefixes))
	for _, p := range res.Msg.Prefixes {
		t.prefixes[p] = true
	}
}

// Avoid takes a peer's word that targets are leaving.
func (r *Registry) Avoid(names []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, n := range names {
		if t := r.targets[n]; t != nil {
			t.avoidUntil = time.Now().Add(avoidFor)
		}
	}
}

// Leaving lists the targets that this host itself knows to be leaving.
func (r *Registry) Leaving() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var names []string
	for _, t := range r.targets {
		if t.leaving() {
			names = append(names, t.Name)
		}
	}
	return names
}

func (t *Target) leaving() bool { return t.listLeaves || t.ownLeaves }
