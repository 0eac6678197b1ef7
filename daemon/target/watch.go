// Package target tracks the targets: membership, load and failures. It selects the
// target of each request.
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

// Roles in the platform's membership list.
const (
	RoleHost    = "host"
	RoleEngine  = "engine"
	RoleService = "service"
)

const (
	loadTimeout = time.Second
	avoidFor    = 5 * time.Second // how long a peer's report that a target leaves is honoured
)

// Target is one target as this host sees it. The unexported fields are guarded by the
// registry's mutex.
type Target struct {
	Name   string
	Addr   string
	Pool   string
	Domain string
	Slots  int
	Client platformv1connect.TargetClient

	listed          bool // in the membership list
	listedLeaving   bool // the membership list says that it is leaving
	reportedLeaving bool // the target itself last reported that it is leaving
	avoidUntil      time.Time
	ejected         time.Time // end of the ejection
	failures        int       // consecutive
	outstanding     int       // open requests of this host
	running         int       // running, waiting and prefixes are from the last load report
	waiting         int
	prefixes        map[uint64]bool
	gap             float64 // moving average of the seconds between tokens
	loadPending     bool    // a load call is in flight
}

// Registry holds the targets and the queues before them.
type Registry struct {
	cfg          settings.Targets
	domain       string
	members      platformv1connect.MembersClient
	listInterval time.Duration
	listTimeout  time.Duration
	http         *http.Client

	mu          sync.Mutex
	targets     map[string]*Target
	hosts       []*platformv1.Member // members with role host
	listedAt    time.Time            // last successful read of the list
	pools       map[string]*pool
	retryTokens float64 // retries left in the retry budget
}

// NewRegistry returns an empty registry; Run starts it. domain is this host's failure
// domain; every and timeout are the interval and timeout of reads of the membership list.
func NewRegistry(cfg settings.Targets, domain string, members platformv1connect.MembersClient, every, timeout time.Duration, client *http.Client) *Registry {
	return &Registry{
		cfg: cfg, domain: domain, members: members, listInterval: every, listTimeout: timeout, http: client,
		targets:     map[string]*Target{},
		pools:       map[string]*pool{},
		retryTokens: maxRetryTokens,
	}
}

// Run polls the membership list and the targets' load until ctx is done.
func (r *Registry) Run(ctx context.Context) {
	guard.Go("membership list", func() { runEvery(ctx, r.listInterval, func() { r.readList(ctx) }) })
	runEvery(ctx, r.cfg.LoadInterval, func() { r.pollLoads(ctx) })
}

func runEvery(ctx context.Context, d time.Duration, f func()) {
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
	c, cancel := context.WithTimeout(ctx, r.listTimeout)
	defer cancel()
	res, err := r.members.List(c, connect.NewRequest(&platformv1.ListRequest{}))
	if err != nil {
		log.WithError(err).Debug("reading the membership list failed")
		return
	}
	r.applyList(res.Msg.Members)
}

// applyList updates the registry from the membership list.
func (r *Registry) applyList(members []*platformv1.Member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listedAt = time.Now()
	r.hosts = r.hosts[:0]
	seen := map[string]bool{}
	for _, m := range members {
		if m.Role == RoleHost {
			r.hosts = append(r.hosts, m)
			continue
		}
		seen[m.Name] = true
		r.applyMember(m)
	}
	for name, t := range r.targets {
		t.listed = seen[name]
		if !t.listed && t.outstanding == 0 {
			delete(r.targets, name)
		}
	}
}

func (r *Registry) applyMember(m *platformv1.Member) {
	t := r.targets[m.Name]
	if t == nil || t.Addr != m.Address {
		t = &Target{
			Name: m.Name, Addr: m.Address, Pool: m.Pool, Domain: m.Domain, Slots: int(max(m.Slots, 1)),
			Client: platformv1connect.NewTargetClient(r.http, "http://"+m.Address),
		}
		r.targets[m.Name] = t
	}
	t.listed = true
	t.listedLeaving = m.Leaving
}

// HostDelisted reports whether the membership list lacks a host. It is false if the list is stale.
func (r *Registry) HostDelisted(host string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Since(r.listedAt) > 4*r.listInterval+r.listTimeout {
		return false
	}
	return !slices.ContainsFunc(r.hosts, func(m *platformv1.Member) bool { return m.Name == host })
}

// Hosts returns the peer addresses in the membership list.
func (r *Registry) Hosts() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	addrs := make([]string, 0, len(r.hosts))
	for _, m := range r.hosts {
		addrs = append(addrs, m.Address)
	}
	return addrs
}

// pollLoads asks each target for its load and dispatches the queues.
func (r *Registry) pollLoads(ctx context.Context) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range r.targets {
		if t.loadPending {
			continue
		}
		t.loadPending = true
		guard.Go("load report", func() { r.pollLoad(ctx, t) })
	}
	for _, p := range r.pools {
		r.dispatch(p)
	}
}

func (r *Registry) pollLoad(ctx context.Context, t *Target) {
	c, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	res, err := t.Client.Load(c, connect.NewRequest(&platformv1.LoadRequest{}))
	r.mu.Lock()
	defer r.mu.Unlock()
	t.loadPending = false
	if err != nil {
		return
	}
	t.running = int(res.Msg.Running)
	t.waiting = int(res.Msg.Waiting)
	t.reportedLeaving = res.Msg.Leaving
	t.prefixes = make(map[uint64]bool, len(res.Msg.Prefixes))
	for _, p := range res.Msg.Prefixes {
		t.prefixes[p] = true
	}
}

// Avoid takes targets out of selection for a while because a peer reports them as leaving.
func (r *Registry) Avoid(names []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, n := range names {
		if t := r.targets[n]; t != nil {
			t.avoidUntil = time.Now().Add(avoidFor)
		}
	}
}

// Leaving returns the targets that are leaving by the list or by their own report.
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

func (t *Target) leaving() bool { return t.listedLeaving || t.reportedLeaving }
