// Package inbound bounds what the clients of a process can make it hold: connections, and the memory of requests.
//
// One Account has what all listeners of a process hold: a charge for each open connection, with the head of its request, and one for
// each request body. Clients have no identity before their request is read, and many share an address, so none is bounded by
// itself beyond the limits of a single request. When the sum passes a bound, the account evicts charges that wait for their clients
// to go on, those first that have occupied most memory for longest. Requests that were received whole are never evicted. A new charge
// is refused where evictions don't make room; small requests have a part of the memory to themselves.
package inbound

import (
	"errors"
	"sync"
	"time"

	log "github.com/sirupsen/logrus"
)

// ErrEvicted is returned by reads from a connection or a body that the account has evicted to make room.
var ErrEvicted = errors.New("inbound: evicted to make room for other requests")

// Limits bound what the clients of a process can make it hold.
type Limits struct {
	Bytes       int64 // memory of connections, heads and bodies
	Connections int   // that the shares of listeners refer to
}

const (
	// connectionBytes is roughly the memory of a connection: the buffers and goroutines of its server.
	connectionBytes = 24 << 10
	// headerBytes is roughly what a line of a head takes once it is parsed, besides its text.
	headerBytes = 256
	// bodyFactor is the memory that a body takes while it grows, as a multiple of what has arrived: it is copied to larger buffers.
	bodyFactor = 2
	// smallBytes is the size up to which a body may use the whole of Limits.Bytes; the larger ones together have largeShare of it.
	smallBytes = 128 << 10
	largeShare = 0.75
	// logInterval bounds the log lines about evictions.
	logInterval = time.Second
)

// Account has what the clients of a process make it hold. It is safe for concurrent use.
type Account struct {
	limits  Limits
	onEvict func()

	mu       sync.Mutex
	others   func() int64
	bytes    int64 // of all charges that are not evicted
	charges  map[*charge]struct{}
	open     int       // connections
	evicted  int       // since loggedAt
	loggedAt time.Time // when evictions were last logged
}

// charge is what one connection or one body holds. Its fields are guarded by the account's lock.
type charge struct {
	account  *Account
	listener *Listener // one of whose connections it occupies; nil: unknown
	bytes    int64
	since    time.Time // when it began to wait for its client; zero: it does not wait
	evicted  bool
	evict    func() // ends the client's next read; it must not block
}

// New returns an empty account. It calls onEvict for each charge that it evicts or refuses.
func New(limits Limits, onEvict func()) *Account {
	return &Account{limits: limits, onEvict: onEvict, charges: map[*charge]struct{}{}, others: func() int64 { return 0 }}
}

// Include adds to the account what others returns, the memory that is held for clients besides. It must be called before the account
// is used; others must not block.
func (a *Account) Include(others func() int64) { a.others = others }

// Bytes returns the memory that is held.
func (a *Account) Bytes() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.held()
}

// held is the memory that is held. The lock is held.
func (a *Account) held() int64 { return a.bytes + a.others() }

// Connections counts the open connections of all listeners.
func (a *Account) Connections() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.open
}

// begin adds a charge that waits for its client from now on.
func (a *Account) begin(c *charge, bytes int64, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	c.account, c.since = a, now
	a.charges[c] = struct{}{}
	a.add(c, bytes, now)
}

// grow adds bytes to a charge. It returns ErrEvicted if the charge has been evicted, or is now.
func (c *charge) grow(bytes int64, now time.Time) error {
	a := c.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if !c.evicted {
		a.add(c, bytes, now)
	}
	if c.evicted {
		return ErrEvicted
	}
	return nil
}

// isEvicted reports whether the charge is evicted.
func (c *charge) isEvicted() bool {
	c.account.mu.Lock()
	defer c.account.mu.Unlock()
	return c.evicted
}

// settle ends the wait for the client and sets the bytes of the charge. It reports whether the charge had been evicted, which it
// undoes: what the client has sent whole is not evicted.
func (c *charge) settle(bytes int64) (evicted bool) {
	a := c.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, open := a.charges[c]; !open {
		return false
	}
	evicted = c.evicted
	if evicted {
		c.bytes, c.evicted = 0, false
	}
	a.bytes += bytes - c.bytes
	c.bytes, c.since = bytes, time.Time{}
	return evicted
}

// wait has a charge wait for its client from now on.
func (c *charge) wait(now time.Time) {
	c.account.mu.Lock()
	defer c.account.mu.Unlock()
	c.since = now
}

// close removes a charge; it may be called more than once.
func (c *charge) close() {
	a := c.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, open := a.charges[c]; !open {
		return
	}
	delete(a.charges, c)
	if !c.evicted {
		a.bytes -= c.bytes
	}
}

// add adds bytes to a charge, and evicts what waits if they pass a bound. The lock is held.
func (a *Account) add(c *charge, bytes int64, now time.Time) {
	c.bytes += bytes
	a.bytes += bytes
	large := int64(largeShare * float64(a.limits.Bytes))
	if c.large() && a.held() > large {
		a.makeRoom(large, (*charge).large, now)
	}
	if a.held() > a.limits.Bytes {
		a.makeRoom(a.limits.Bytes, func(*charge) bool { return true }, now)
	}
}

func (c *charge) large() bool { return c.bytes > smallBytes }

// makeRoom evicts waiting charges that are eligible until no more than a bound is held, or none is left: the charge that needs room is
// one of them. The lock is held.
func (a *Account) makeRoom(bound int64, eligible func(c *charge) bool, now time.Time) {
	cost := func(c *charge) float64 { return float64(c.bytes) * now.Sub(c.since).Seconds() }
	for a.held() > bound && a.evictOne(eligible, cost, now) {
	}
}

// evictOne evicts the eligible charge that waits for its client and has the highest score, if there is one. The lock is held.
func (a *Account) evictOne(eligible func(c *charge) bool, score func(c *charge) float64, now time.Time) (found bool) {
	var victim *charge
	highest := 0.0
	for c := range a.charges {
		if c.since.IsZero() || c.evicted || !eligible(c) {
			continue
		}
		if s := score(c); victim == nil || s > highest {
			victim, highest = c, s
		}
	}
	if victim != nil {
		a.remove(victim, now)
	}
	return victim != nil
}

// remove evicts a charge. Its memory counts as free from now on. The lock is held.
func (a *Account) remove(c *charge, now time.Time) {
	c.evicted = true
	a.bytes -= c.bytes
	c.evict()
	a.countEviction(now)
}

// countEviction counts a charge that was evicted or refused, and logs from time to time. The lock is held.
func (a *Account) countEviction(now time.Time) {
	a.onEvict()
	a.evicted++
	if now.Sub(a.loggedAt) < logInterval {
		return
	}
	log.WithFields(log.Fields{
		"evicted": a.evicted, "held": a.held(), "limit": a.limits.Bytes, "charges": len(a.charges),
	}).Warn("unfinished requests or idle connections evicted to make room")
	a.evicted, a.loggedAt = 0, now
}
