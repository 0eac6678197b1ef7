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

// Bounds of the random pause between attempts at a claim.
const (
	pauseMin = 5 * time.Millisecond
	pauseMax = 40 * time.Millisecond
)

// Hosts sends claims to members of the view, including this host's own register.
type Hosts interface {
	ClaimAt(ctx context.Context, m view.Member, r *peerv1.ClaimRequest) (Answer, error)
}

// Coordinator acquires claims for one incarnation.
type Coordinator struct {
	inc      string
	region   string
	store    *store.Store
	hosts    Hosts
	reg      *Register
	out      Outbox
	logUp    func() bool
	attempts atomic.Uint64

	mu       sync.Mutex
	released map[string]string // token of the last released claim, by id

	spawn func(duty string, f func()) // guard.Go except in tests
}

// NewCoordinator returns the coordinator of incarnation inc.
func NewCoordinator(inc, region string, s *store.Store, h Hosts, reg *Register, out Outbox, logUp func() bool) *Coordinator {
	return &Coordinator{inc: inc, region: region, store: s, hosts: h, reg: reg, out: out, logUp: logUp, released: map[string]string{}, spawn: guard.Go}
}

// Taken is the error for a request that another incarnation holds.
type Taken struct{ Incarnation string }

func (t *Taken) Error() string { return "taken by " + t.Incarnation }

// Grant is an acquired claim: only its holder may dispatch the request.
type Grant struct {
	c           *Coordinator
	id          string
	token       string
	epoch       uint64
	logged      bool
	askedRegion bool // all members of the region were asked, not just the replicas
}

// tally counts the replicas' answers to one attempt.
type tally struct {
	granted int
	others  map[string]int // by token
	need    int
}

// Claim acquires the right to run id. The error is a *Taken or of kind
// Unavailable; in both cases this incarnation has not run it and will not under this claim.
func (c *Coordinator) Claim(ctx context.Context, id string, wait time.Duration) (*Grant, error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		members, epoch, settled := c.store.Replicas(id, c.region)
		if _, in := c.store.Member(c.inc); settled && in && len(members) > 0 {
			g, err := c.attempt(ctx, id, members, epoch)
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

// attempt asks all replicas once. It returns nil and nil if the claim is neither granted nor
// taken; the caller then retries.
func (c *Coordinator) attempt(ctx context.Context, id string, members []view.Member, epoch uint64) (*Grant, error) {
	// The store is settled, so it has every earlier claim that any host knows
	// of; a replica may lag behind it.
	f, _ := c.store.Fact(id)
	if other := f.Other(c.inc); other != "" {
		return nil, &Taken{Incarnation: fact.Incarnation(other)}
	}
	g := &Grant{c: c, id: id, token: fact.Token(c.inc, c.attempts.Add(1)), epoch: epoch}
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

// ask sends a claim to members and counts their answers until need of them have granted it.
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

// members returns the members of this region.
func (c *Coordinator) members() []view.Member {
	var here []view.Member
	for _, m := range c.store.Members() {
		if m.Region == c.region {
			here = append(here, m)
		}
	}
	return here
}

// release withdraws a claim that was not granted. A lost message is harmless: the
// token then only blocks a replica that other claimants can do without.
func (c *Coordinator) release(members []view.Member, id, token string) {
	r := &peerv1.ClaimRequest{Id: id, Claimant: token, Release: true}
	for _, m := range members {
		c.spawn("release", func() {
			_, _ = c.hosts.ClaimAt(context.Background(), m, r)
		})
	}
}

// Secure makes the claim durable before it is used: it waits until the claim is
// in the log. While the log is unavailable, or does not show the claim within wait,
// a majority of the region's members must grant it too, at the epoch of the claim:
// any majority that evicts its holders then includes a member that knows it. The
// error is a *Taken, or of kind Unavailable or Overloaded (the outbox is full); the
// caller must then release the claim.
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
		if first != "" && !sameIncarnation(first, g.token) {
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

// majority asks all members of the region for the claim; more than half must grant it.
func (g *Grant) majority(ctx context.Context) error {
	members := g.c.members()
	need := len(members)/2 + 1
	g.askedRegion = true
	t := g.c.ask(ctx, members, g.request(), need)
	if t.granted >= need && g.c.store.Epoch() == g.epoch {
		return nil
	}
	return errkind.New(errkind.Unavailable, "the log is down, and %d of %d hosts grant the claim where %d must", t.granted, len(members), need)
}

// maxReleased bounds the remembered releases. A retry of a forgotten one gets
// 'unknown' until the release is in the log.
const maxReleased = 10_000

// GaveUp reports whether a claim of this incarnation that the log still shows has
// been released.
func (c *Coordinator) GaveUp(id, token string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.released[id] == token
}

func (c *Coordinator) noteReleased(id, token string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.released) >= maxReleased {
		clear(c.released)
	}
	c.released[id] = token
}

// Release gives up the claim: the request has not been run under it and will not be.
func (g *Grant) Release() {
	g.c.noteReleased(g.id, g.token)
	members, _, _ := g.c.store.Replicas(g.id, g.c.region)
	if g.askedRegion {
		members = g.c.members()
	}
	g.c.release(members, g.id, g.token)
	if g.logged {
		rec := &peerv1.Release{Id: g.id, Claimant: g.token}
		_ = g.c.out.Put(&peerv1.Record{Kind: &peerv1.Record_Release{Release: rec}})
	}
}

// Token returns the token that identifies the claim.
func (g *Grant) Token() string { return g.token }
