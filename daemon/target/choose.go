package target

import (
	"container/heap"
	"context"
	"slices"
	"time"

	"maststage.dev/lib/errkind"
)

const (
	maxRetryTokens     = 20.0 // cap of the retry budget
	maxFailures        = 2    // consecutive failures after which a target is ejected
	slowGapFactor      = 4.0  // a target is slow if its gap between tokens exceeds this multiple of the pool's median
	slowPenalty        = 3.0  // added to the load of a slow target
	prefixBonus        = 0.5  // subtracted from the load of a target that has the prefix cached
	otherDomainPenalty = 0.05 // added to the load of a target in another failure domain
	shareFactor        = 1.5  // multiple of its even share of the slots that a host may use
	maxTargetQueue     = 0.25 // requests per slot that may be queued at a target
	urgentPriority     = 8    // requests of at least this priority ignore the target's own queue, because targets honour priorities
	smoothing          = 0.1  // weight of the newest sample in a moving average
	minRetryAfter      = time.Second / 2
)

// Want says what a request requires of a pool.
type Want struct {
	Pool     string
	Priority int
	Prefix   uint64          // hash of the prompt's prefix, 0: none
	Exclude  map[string]bool // targets already tried
}

// pool is the queue of requests that wait for a target of one pool.
type pool struct {
	queue          waiters
	seq            uint64
	serviceSeconds map[int]float64 // moving average of the time that a request holds its slot, by priority
}

// waiter is a queued request.
type waiter struct {
	want     Want
	seq      uint64
	assigned chan *Target // buffer of 1
	index    int
}

// waiters is a heap: highest priority first, then in order of arrival.
type waiters []*waiter

func (w waiters) Len() int { return len(w) }
func (w waiters) Less(i, j int) bool {
	if w[i].want.Priority != w[j].want.Priority {
		return w[i].want.Priority > w[j].want.Priority
	}
	return w[i].seq < w[j].seq
}
func (w waiters) Swap(i, j int) {
	w[i], w[j] = w[j], w[i]
	w[i].index = i
	w[j].index = j
}

// Push adds a *waiter.
func (w *waiters) Push(x any) {
	e := x.(*waiter)
	e.index = len(*w)
	*w = append(*w, e)
}

// Pop takes the last *waiter.
func (w *waiters) Pop() any {
	old := *w
	e := old[len(old)-1]
	*w = old[:len(old)-1]
	e.index = -1
	return e
}

func (r *Registry) pool(name string) *pool {
	p := r.pools[name]
	if p == nil {
		p = &pool{serviceSeconds: map[int]float64{}}
		r.pools[name] = p
	}
	return p
}

// Admit reports whether a request can be expected to get a slot in time. If not, the
// error is of kind Unavailable, or Overloaded with the time after which to retry.
func (r *Registry) Admit(w Want, within time.Duration) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.admit(w, within)
}

func (r *Registry) admit(w Want, within time.Duration) error {
	p := r.pool(w.Pool)
	slots := r.slots(w)
	if slots == 0 {
		return errkind.New(errkind.Unavailable, "pool %q has no target", w.Pool)
	}
	ahead := 0
	for _, q := range p.queue {
		if q.want.Priority >= w.Priority {
			ahead++
		}
	}
	// Other hosts have queued requests too: assume an even share of the slots.
	share := float64(slots) / float64(r.sharers())
	service := p.serviceSeconds[w.Priority]
	wait := seconds(service * (float64(ahead)/share + 1))
	if len(p.queue) >= r.cfg.Queue || wait > within {
		return errkind.New(errkind.Overloaded, "pool %q: %d requests wait for this host's share of %d slots", w.Pool, ahead, slots).
			Retry(max(wait-within, minRetryAfter))
	}
	return nil
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// sharers returns the number of hosts that send to the targets.
func (r *Registry) sharers() int { return max(len(r.hosts), 1) }

// slots returns the total slots of the targets that a request may go to.
func (r *Registry) slots(w Want) int {
	n := 0
	for _, t := range r.targets {
		if t.Pool == w.Pool && !w.Exclude[t.Name] && r.usable(t) {
			n += t.Slots
		}
	}
	return n
}

// Acquire waits for a slot at a target. Errors are of kind Overloaded or Unavailable.
// The deadline of ctx is the latest start.
func (r *Registry) Acquire(ctx context.Context, w Want) (*Target, error) {
	r.mu.Lock()
	if t := r.best(w); t != nil {
		t.outstanding++
		r.mu.Unlock()
		return t, nil
	}
	within := time.Minute
	if d, ok := ctx.Deadline(); ok {
		within = time.Until(d)
	}
	if err := r.admit(w, within); err != nil {
		r.mu.Unlock()
		return nil, err
	}
	p := r.pool(w.Pool)
	p.seq++
	e := &waiter{want: w, seq: p.seq, assigned: make(chan *Target, 1)}
	heap.Push(&p.queue, e)
	r.mu.Unlock()
	return r.await(ctx, p, e)
}

func (r *Registry) await(ctx context.Context, p *pool, e *waiter) (*Target, error) {
	again := time.NewTicker(r.cfg.LoadInterval)
	defer again.Stop()
	for {
		select {
		case t := <-e.assigned:
			return t, nil
		case <-again.C:
			if r.tooLate(ctx, p, e) {
				return r.abandon(p, e)
			}
		case <-ctx.Done():
			return r.abandon(p, e)
		}
	}
}

// tooLate dispatches the queue once more and reports whether a request that still
// waits can no longer complete before its deadline.
func (r *Registry) tooLate(ctx context.Context, p *pool, e *waiter) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dispatch(p)
	deadline, ok := ctx.Deadline()
	return ok && e.index >= 0 && time.Until(deadline) < seconds(p.serviceSeconds[e.want.Priority])
}

// abandon removes a request from the queue, unless it has just been assigned a target.
func (r *Registry) abandon(p *pool, e *waiter) (*Target, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e.index < 0 {
		return <-e.assigned, nil
	}
	heap.Remove(&p.queue, e.index)
	return nil, errkind.New(errkind.Overloaded, "pool %q: no slot in time", e.want.Pool).Retry(seconds(p.serviceSeconds[e.want.Priority]))
}

// dispatch assigns free slots to waiters in order; r.mu is held. A waiter that
// excludes targets and finds no other free one does not block those behind it.
func (r *Registry) dispatch(p *pool) {
	var passed []*waiter
	for p.queue.Len() > 0 {
		e := heap.Pop(&p.queue).(*waiter)
		t := r.best(e.want)
		if t == nil {
			passed = append(passed, e)
			if len(e.want.Exclude) == 0 {
				break
			}
			continue
		}
		t.outstanding++
		e.assigned <- t
	}
	for _, e := range passed {
		heap.Push(&p.queue, e)
	}
}

// recordService adds the time that a request held its slot to the moving average.
func (p *pool) recordService(priority int, held time.Duration) {
	before, known := p.serviceSeconds[priority]
	if !known {
		p.serviceSeconds[priority] = held.Seconds()
		return
	}
	p.serviceSeconds[priority] = before + smoothing*(held.Seconds()-before)
}

// Result is the outcome of an attempt at a target.
type Result struct {
	Priority int
	Failed   bool          // no response, a broken stream or an invalid response
	Left     bool          // the target reported that it is leaving
	Held     time.Duration // time for which the attempt held the slot
	Gap      time.Duration // mean time between tokens, 0: unknown
}

// Release returns a slot and records the outcome.
func (r *Registry) Release(t *Target, res Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t.outstanding--
	t.reportedLeaving = t.reportedLeaving || res.Left
	p := r.pool(t.Pool)
	if res.Failed {
		t.failures++
		if t.failures >= maxFailures {
			r.eject(t)
		}
	} else if !res.Left {
		t.failures = 0
		p.recordService(res.Priority, res.Held)
	}
	if res.Gap > 0 {
		t.gap += smoothing * (res.Gap.Seconds() - t.gap)
	}
	r.dispatch(p)
}

// eject takes a target out of selection for EjectFor, unless more than MaxEjected percent
// of its pool would then be ejected.
func (r *Registry) eject(t *Target) {
	now := time.Now()
	all, out := 0, 0
	for _, o := range r.targets {
		if o.Pool != t.Pool {
			continue
		}
		all++
		if o.ejected.After(now) {
			out++
		}
	}
	if (out+1)*100 > all*r.cfg.MaxEjected {
		return
	}
	t.ejected = now.Add(r.cfg.EjectFor)
	t.failures = 0
}

// SpendRetry takes one retry from the retry budget and reports false if it is exhausted.
func (r *Registry) SpendRetry() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.retryTokens < 1 {
		return false
	}
	r.retryTokens--
	return true
}

// EarnRetry credits the retry budget for one request.
func (r *Registry) EarnRetry() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.retryTokens = min(r.retryTokens+float64(r.cfg.RetryBudget)/100, maxRetryTokens)
}

// usable reports whether a target may get new requests.
func (r *Registry) usable(t *Target) bool {
	now := time.Now()
	return t.listed && !t.leaving() && now.After(t.avoidUntil) && now.After(t.ejected)
}

// best returns the least loaded target that has room, or nil.
func (r *Registry) best(w Want) *Target {
	var best *Target
	var least float64
	median := r.medianGap(w.Pool)
	for _, t := range r.targets {
		if t.Pool != w.Pool || w.Exclude[t.Name] || !r.usable(t) {
			continue
		}
		if !t.hasRoom(w.Priority, r.sharers()) {
			continue
		}
		load := r.load(t, w, median)
		if best == nil || load < least || load == least && t.Name < best.Name {
			best, least = t, load
		}
	}
	return best
}

// hasRoom reports whether a target can take one more request of this host. Hosts have no
// control over a queue at the target, so non-urgent requests wait here while that queue is
// long, and beyond this host's share of the slots that the load report shows as free.
func (t *Target) hasRoom(priority, sharers int) bool {
	if t.outstanding >= t.Slots {
		return false
	}
	if priority >= urgentPriority {
		return true
	}
	if float64(t.waiting) > maxTargetQueue*float64(t.Slots) {
		return false
	}
	free := max(t.Slots-t.running-t.waiting, 0)
	share := (shareFactor*float64(t.Slots) + float64(free)) / float64(sharers)
	return t.outstanding < max(int(share), 1)
}

// load estimates the load of a target from this host's open requests, which are exact,
// and from the last load report, which is stale but counts those of all hosts.
func (r *Registry) load(t *Target, w Want, median float64) float64 {
	busy := max(t.outstanding, t.running) + t.waiting
	load := float64(busy) / float64(t.Slots)
	if w.Prefix != 0 && t.prefixes[w.Prefix] {
		load -= prefixBonus
	}
	if t.Domain != r.domain {
		load += otherDomainPenalty
	}
	if median > 0 && t.gap > slowGapFactor*median {
		load += slowPenalty
	}
	return load
}

func (r *Registry) medianGap(pool string) float64 {
	var gaps []float64
	for _, t := range r.targets {
		if t.Pool == pool && t.gap > 0 {
			gaps = append(gaps, t.gap)
		}
	}
	if len(gaps) < 3 {
		return 0
	}
	slices.Sort(gaps)
	return gaps[len(gaps)/2]
}
