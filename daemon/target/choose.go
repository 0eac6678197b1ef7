package target

import (
	"container/heap"
	"context"
	"slices"
	"time"

	"maststage.dev/lib/errkind"
)

const (
	retryBurst    = 20.0 // most retries saved up
	failuresMax   = 2    // in a row, then the target is ejected
	slowFactor    = 4.0  // times the pool's median gap between tokens counts as slow
	slowWeight    = 3.0  // added to the load of a slow target
	prefixBonus   = 0.5  // taken from the load of a target that has the prefix
	farWeight     = 0.05 // added to the load of a target in another failure domain
	shareFactor   = 1.5  // times a host's even share of the slots that it may use
	queueThere    = 0.25 // requests per slot that may wait at a target
	urgent        = 8    // priority from which a target's own queue does not matter: targets honour priorities
	serviceWeight = 0.1  // of the newest service time
	minRetry      = time.Second / 2
)

// Want is what a request asks of a pool.
type Want struct {
	Pool     string
	Priority int
	Prefix   uint64          // hash of the prompt's prefix, 0: none
	Exclude  map[string]bool // targets tried already
}

// pool is the queue before the targets of one pool.
type pool struct {
	queue   waiters
	seq     uint64
	service map[int]float64 // smoothed seconds a request holds its slot, by priority
}

// waiter is a request in the queue.
type waiter struct {
	want  Want
	seq   uint64
	got   chan *Target // buffered, one
	index int
}

// waiters is a heap: larger priority first, then first come.
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
		p = &pool{service: map[int]float64{}}
		r.pools[name] = p
	}
	return p
}

// Admit says early whether a request can be expected to get a slot in time; if
// not, the error is of kind Overloaded or Unavailable and says when to come back.
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
	// The other hosts have requests waiting too: count on an even share.
	share := float64(slots) / float64(r.sharers())
	service := p.service[w.Priority]
	wait := seconds(service * (float64(ahead)/share + 1))
	if len(p.queue) >= r.cfg.Queue || wait > within {
		return errkind.New(errkind.Overloaded, "pool %q: %d requests wait for this host's share of %d slots", w.Pool, ahead, slots).
			Retry(max(wait-within, minRetry))
	}
	return nil
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// sharers is how many hosts send to the targets.
func (r *Registry) sharers() int { return max(len(r.hosts), 1) }

// slots counts those of the targets that a request may go to.
func (r *Registry) slots(w Want) int {
	n := 0
	for _, t := range r.targets {
		if t.Pool == w.Pool && !w.Exclude[t.Name] && r.usable(t) {
			n += t.Slots
		}
	}
	return n
}

// Acquire waits for a slot at a target. Errors are of kind Overloaded or
// Unavailable; ctx carries the latest start.
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
	e := &waiter{want: w, seq: p.seq, got: make(chan *Target, 1)}
	heap.Push(&p.queue, e)
	r.mu.Unlock()
	return r.await(ctx, p, e)
}

func (r *Registry) await(ctx context.Context, p *pool, e *waiter) (*Target, error) {
	again := time.NewTicker(r.cfg.LoadInterval)
	defer again.Stop()
	for {
		select {
		case t := <-e.got:
			return t, nil
		case <-again.C:
			if r.tooLate(ctx, p, e) {
				return r.giveUp(p, e)
			}
		case <-ctx.Done():
			return r.giveUp(p, e)
		}
	}
}

// tooLate serves the queue once more and says whether a request that still waits
// could not be done in time any longer.
func (r *Registry) tooLate(ctx context.Context, p *pool, e *waiter) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.serve(p)
	deadline, ok := ctx.Deadline()
	return ok && e.index >= 0 && time.Until(deadline) < seconds(p.service[e.want.Priority])
}

// giveUp takes a request out of the queue, unless it has just got a slot.
func (r *Registry) giveUp(p *pool, e *waiter) (*Target, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e.index < 0 {
		return <-e.got, nil
	}
	heap.Remove(&p.queue, e.index)
	return nil, errkind.New(errkind.Overloaded, "pool %q: no slot in time", e.want.Pool).Retry(seconds(p.service[e.want.Priority]))
}

// serve hands free slots to those who wait, in order; r.mu is held. A waiter
// that no free target suits does not hold up those behind it.
func (r *Registry) serve(p *pool) {
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
		e.got <- t
	}
	for _, e := range passed {
		heap.Push(&p.queue, e)
	}
}

// served notes how long a request held its slot.
func (p *pool) served(priority int, held time.Duration) {
	before, known := p.service[priority]
	if !known {
		p.service[priority] = held.Seconds()
		return
	}
	p.service[priority] = before + serviceWeight*(held.Seconds()-before)
}

// Result is how a request fared at a target.
type Result struct {
	Priority int
	Failed   bool          // silent, broken or wrong
	Left     bool          // it says it is leaving
	Held     time.Duration // how long it held the slot
	Gap      time.Duration // mean time between tokens, 0: unknown
}

// Release gives a slot back.
func (r *Registry) Release(t *Target, res Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t.outstanding--
	t.ownLeaves = t.ownLeaves || res.Left
	p := r.pool(t.Pool)
	if res.Failed {
		t.failures++
		if t.failures >= failuresMax {
			r.eject(t)
		}
	} else if !res.Left {
		t.failures = 0
		p.served(res.Priority, res.Held)
	}
	if res.Gap > 0 {
		t.gap += serviceWeight * (res.Gap.Seconds() - t.gap)
	}
	r.serve(p)
}

// eject keeps new requests from a target for a while, unless too many of its
// pool are ejected already.
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

// SpendRetry spends from the retry budget; false means that it is used up.
func (r *Registry) SpendRetry() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.tokens < 1 {
		return false
	}
	r.tokens--
	return true
}

// EarnRetry adds to the retry budget for a request.
func (r *Registry) EarnRetry() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tokens = min(r.tokens+float64(r.cfg.RetryBudget)/100, retryBurst)
}

// usable says whether a target may get new work.
func (r *Registry) usable(t *Target) bool {
	now := time.Now()
	return t.listed && !t.leaving() && now.After(t.avoidUntil) && now.After(t.ejected)
}

// best picks the target with the least load that has room, nil if none has.
func (r *Registry) best(w Want) *Target {
	var best *Target
	var least float64
	median := r.medianGap(w.Pool)
	for _, t := range r.targets {
		if t.Pool != w.Pool || w.Exclude[t.Name] || !r.usable(t) {
			continue
		}
		if !t.room(w.Priority, r.sharers()) {
			continue
		}
		load := r.load(t, w, median)
		if best == nil || load < least || load == least && t.Name < best.Name {
			best, least = t, load
		}
	}
	return best
}

// room says whether a target can take one more from this host. A queue at the
// target is out of our hands, so what is not urgent waits here: while there is one,
// and beyond this host's share of the slots that the report shows as free.
func (t *Target) room(priority, sharers int) bool {
	if t.outstanding >= t.Slots {
		return false
	}
	if priority >= urgent {
		return true
	}
	if float64(t.waiting) > queueThere*float64(t.Slots) {
		return false
	}
	free := max(t.Slots-t.running-t.waiting, 0)
	share := (shareFactor*float64(t.Slots) + float64(free)) / float64(sharers)
	return t.outstanding < max(int(share), 1)
}

// load weighs own requests, which are known now, against the report, which is
// late and counts those of all hosts.
func (r *Registry) load(t *Target, w Want, median float64) float64 {
	busy := max(t.outstanding, t.running) + t.waiting
	load := float64(busy) / float64(t.Slots)
	if w.Prefix != 0 && t.prefixes[w.Prefix] {
		load -= prefixBonus
	}
	if t.Domain != r.domain {
		load += farWeight
	}
	if median > 0 && t.gap > slowFactor*median {
		load += slowWeight
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
