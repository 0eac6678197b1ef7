package claim

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	peerv1 "maststage.dev/api/peer/v1"
	"maststage.dev/daemon/store"
	"maststage.dev/fold/fact"
	"maststage.dev/fold/view"
	"maststage.dev/lib/errkind"
	"maststage.dev/lib/guard"
)

// Pauses between tries of a claim.
const (
	pauseMin = 5 * time.Millisecond
	pauseMax = 40 * time.Millisecond
)

// Hosts asks members of the view; this host's own register among them.
type Hosts interface {
	ClaimAt(ctx context.Context, m view.Member, r *peerv1.ClaimRequest) (Answer, error)
}

// Coordinator gets claims for one incarnation.
type Coordinator struct {
	inc    string
	region string
	store  *store.Store
	hosts  Hosts
	reg    *Register
	out    Outbox
	logUp  func() bool
	tries  atomic.Uint64

	mu       sync.Mutex
	released map[string]string // token of the last claim given up, by id

	spawn func(duty string, f func()) // guard.Go, but for tests
}

// NewCoordinator makes the coordinator of incarnation inc.
func NewCoordinator(inc, region string, s *store.Store, h Hosts, reg *Register, out Outbox, logUp func() bool) *Coordinator {
	return &Coordinator{inc: inc, region: region, store: s, hosts: h, reg: reg, out: out, logUp: logUp, released: map[string]string{}, spawn: guard.Go}
}

// Taken says that another incarnation has the request.
type Taken struct{ Incarnation string }

func (t *Taken) Error() string { return "taken by " + t.Incarnation }

// Grant is a claim that was won: the holder, and only it, may dispatch.
type Grant struct {
	c      *Coordinator
	id     string
	token  string
	epoch  uint64
	logged bool
	wide   bool // members other than the replicas were asked
}

// tally is what the replicas said to one try.
type tally struct {
	granted int
	others  map[string]int // by token
	need    int
}

// Claim gets the right to run id. The error is a *Taken, or of kind
// Unavailable: then this incarnation has not run it and won't under this claim.
func (c *Coordinator) Claim(ctx context.Context, id string, wait time.Duration) (*Grant, error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		members, epoch, settled := c.store.Replicas(id, c.region)
		if _, in := c.store.Member(c.inc); settled && in && len(members) > 0 {
			g, err := c.try(ctx, id, members, epoch)
			if g != nil || err != nil {
				return g, err
			}
		}
		t := time.NewTimer(pauseMin + rand.N(pauseMax-pauseMin))
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return nil, errkind.New(errkind.Unavailable, "no majority of the replicas of the request could be reached")
		}
	}
}

// try asks all replicas once. Nil and nil: neither won nor taken, try again.
func (c *Coordinator) try(ctx context.Context, id string, members []view.Member, epoch uint64) (*Grant, error) {
	// The store is settled, so it has every claim of before that any host knows
	// of; a replica may not have read as far yet.
	f, _ := c.store.Fact(id)
	if other := f.Other(c.inc); other != "" {
		return nil, &Taken{Incarnation: fact.Incarnation(other)}
	}
	g := &Grant{c: c, id: id, token: fact.Token(c.inc, c.tries.Add(1)), epoch: epoch}
	t := c.ask(ctx, members, g.request(), len(members)/2+1)
	if t.granted >= t.need {
		return g, nil
	}
	c.release(members, id, g.token)
	for token, n := range t.others {
		if n >= t.need || c.inLog(id, token) {
			return nil, &Taken{Incarnation: fact.Incarnation(token)}
		}
	}
	return nil, nil
}

func (c *Coordinator) inLog(id, token string) bool {
	f, _ := c.store.Fact(id)
	return slices.Contains(f.Claims, token)
}

func (g *Grant) request() *peerv1.ClaimRequest {
	return &peerv1.ClaimRequest{Id: g.id, Claimant: g.token, Epoch: g.epoch}
}

// ask sends a claim to members and counts until need of them have granted it.
func (c *Coordinator) ask(ctx context.Context, members []view.Member, r *peerv1.ClaimRequest, need int) tally {
	answers := make(chan Answer, len(members))
	for _, m := range members {
		c.spawn("claim", func() {
			a, err := c.hosts.ClaimAt(ctx, m, r)
			if err != nil {
				a = Answer{}
			}
			answers <- a
		})
	}
	t := tally{others: map[string]int{}, need: need}
	for range members {
		a := <-answers
		switch {
		case a.Granted:
			t.granted++
		case a.Claimant != "":
			t.others[a.Claimant]++
		}
		if t.granted >= t.need {
			break
		}
	}
	return t
}

// members lists those of this region.
func (c *Coordinator) members() []view.Member {
	var here []view.Member
	for _, m := range c.store.Members() {
		if m.Region == c.region {
			here = append(here, m)
		}
	}
	return here
}

// release takes back a claim that was not won. It is safe if it is lost: the
// token then only blocks a place that others don't need.
func (c *Coordinator) release(members []view.Member, id, token string) {
	r := &peerv1.ClaimRequest{Id: id, Claimant: token, Release: true}
	for _, m := range members {
		c.spawn("release", func() {
			_, _ = c.hosts.ClaimAt(context.Background(), m, r)
		})
	}
}

// Secure makes the claim outlive hosts before it is used: it waits until the
// claim is in the log. While the log is down, or does not show it within wait,
// a majority of the region's members must grant it too, at the epoch of the
// claim: those that evict the holders of a claim can then not be without it.
// The error is a *Taken, or of kind Unavailable or Overloaded (the outbox is
// full); the claim must be released then.
func (g *Grant) Secure(ctx context.Context, wait time.Duration) error {
	if err := g.c.reg.Log(g.id, g.token); err != nil {
		return err
	}
	g.logged = true
	if g.c.logUp() {
		inLog, err := g.awaitLog(ctx, wait)
		if inLog || err != nil {
			return err
		}
	}
	return g.majority(ctx)
}

// awaitLog waits until the claim is read back from the log.
func (g *Grant) awaitLog(ctx context.Context, wait time.Duration) (bool, error) {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		changed := g.c.store.Changed()
		f, _ := g.c.store.Fact(g.id)
		first := f.First()
		if first == g.token {
			return true, nil
		}
		if first != "" && !same(first, g.token) {
			return false, &Taken{Incarnation: fact.Incarnation(first)}
		}
		select {
		case <-changed:
		case <-timeout.C:
			return false, nil
		case <-ctx.Done():
			return false, nil
		}
	}
}

// majority gets the claim granted by most members of the region.
func (g *Grant) majority(ctx context.Context) error {
	members := g.c.members()
	need := len(members)/2 + 1
	g.wide = true
	t := g.c.ask(ctx, members, g.request(), need)
	if t.granted >= need && g.c.store.Epoch() == g.epoch {
		return nil
	}
	return errkind.New(errkind.Unavailable, "the log is down, and %d of %d hosts grant the claim where %d must", t.granted, len(members), need)
}

// maxReleased bounds what is remembered of claims given up; forgetting one makes
// a retry 'unknown' until its release is in the log.
const maxReleased = 10_000

// GaveUp says whether a claim of this incarnation that the log still shows was
// given up.
func (c *Coordinator) GaveUp(id, token string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.released[id] == token
}

func (c *Coordinator) gaveUp(id, token string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.released) >= maxReleased {
		clear(c.released)
	}
	c.released[id] = token
}

// Release gives the claim up: the request was not run under it and won't be.
func (g *Grant) Release() {
	g.c.gaveUp(g.id, g.token)
	members, _, _ := g.c.store.Replicas(g.id, g.c.region)
	if g.wide {
		members = g.c.members()
	}
	g.c.release(members, g.id, g.token)
	if g.logged {
		rec := &peerv1.Release{Id: g.id, Claimant: g.token}
		_ = g.c.out.Put(&peerv1.Record{Kind: &peerv1.Record_Release{Release: rec}})
	}
}

// Token names the claim.
func (g *Grant) Token() string { return g.token }
