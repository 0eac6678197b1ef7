// Package intake bounds the connections that a host takes from callers while the balancer hands it many more than usual.
package intake

import (
	"math"
	"sync"
	"time"

	log "github.com/sirupsen/logrus"
)

// Parameters of the gate.
const (
	// surge is the multiple of the usual rate of new connections above which they count as many more than usual.
	surge = 2.0
	// minSurge is the rate, in connections a second, below which they never do.
	minSurge = 10.0
	// usualTime is the time constant of the usual rate.
	usualTime = 20 * time.Second
	// margin is the part of the connections in use, as the host lacked room, up to which new ones are taken.
	margin = 0.85
	// growthPerSecond is how fast that bound grows while the host does not lack room.
	growthPerSecond = 0.25
	// holdTime is how long the bound holds after the host last lacked room.
	holdTime = 5 * time.Second
	// unreadyTime is how long a host calls itself unready after it turned a connection away: the balancer notices within two
	// checks, a second apart.
	unreadyTime = 2500 * time.Millisecond
)

// Gate decides whether a host takes a new connection.
//
// The load: for some seconds most new connections of a failure domain come to one host, which has only its part of the
// connections to targets. Callers whose requests it reads and refuses have lost their attempt; those whose connections it
// closes unread go to other hosts at once. So it takes no more connections than it had in use when it lacked room. The host
// does so only while new connections come much faster than usual: where all hosts lack room, callers are better told when to
// come back.
//
// It is safe for concurrent use.
type Gate struct {
	mu     sync.Mutex
	second time.Time // start of the current bucket
	now    float64   // connections in the current bucket
	last   float64   // in the one before
	usual  float64   // smoothed connections per second; negative: not known yet

	bound    float64   // connections in use up to which new ones are taken; 0: none
	lackedAt time.Time // when the host last lacked room
	turnedAt time.Time // when it last turned a connection away
}

// New returns a gate that takes all connections.
func New() *Gate { return &Gate{usual: -1} }

// RecordLack records that the host refused a request because it lacked connections to targets, with a number of callers'
// connections in use.
func (g *Gate) RecordLack(inUse int, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	bound := margin * float64(inUse)
	if g.holds(now) {
		bound = min(bound, g.currentBound(now))
	}
	g.bound, g.lackedAt = max(bound, 1), now
}

// Admit counts a new connection and reports whether to take it.
func (g *Gate) Admit(inUse int, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.count(now)
	if !g.holds(now) || !g.surges(now) || float64(inUse) < g.currentBound(now) {
		return true
	}
	if now.Sub(g.turnedAt) > unreadyTime {
		log.WithFields(log.Fields{"in_use": inUse, "usual_per_second": g.usual, "per_second": g.rate(now)}).Warn("host turns new connections away")
	}
	g.turnedAt = now
	return false
}

// Unready reports whether the host turned connections away of late, so that callers should use other hosts.
func (g *Gate) Unready(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.turnedAt.IsZero() && now.Sub(g.turnedAt) < unreadyTime
}

func (g *Gate) holds(now time.Time) bool { return g.bound > 0 && now.Sub(g.lackedAt) < holdTime }

func (g *Gate) currentBound(now time.Time) float64 {
	return g.bound * (1 + growthPerSecond*now.Sub(g.lackedAt).Seconds())
}

// count counts a new connection.
func (g *Gate) count(now time.Time) {
	if g.second.IsZero() {
		g.second = now
	}
	if seconds := math.Floor(now.Sub(g.second).Seconds()); seconds >= 1 {
		g.close(seconds)
		g.second = g.second.Add(time.Duration(seconds) * time.Second)
	}
	g.now++
}

// close closes the current bucket, after which came a number of seconds, the first of them counted in it.
func (g *Gate) close(seconds float64) {
	keep := math.Exp(-1 / usualTime.Seconds())
	if g.usual < 0 {
		g.usual = g.now
	}
	g.usual = keep*g.usual + (1-keep)*g.now
	g.usual *= math.Pow(keep, seconds-1)
	g.last, g.now = g.now, 0
	if seconds >= 2 {
		g.last = 0
	}
}

// rate is the number of new connections within the last second.
func (g *Gate) rate(now time.Time) float64 {
	passed := min(now.Sub(g.second).Seconds(), 1)
	return g.now + (1-passed)*g.last
}

func (g *Gate) surges(now time.Time) bool {
	rate := g.rate(now)
	return rate > minSurge && g.usual >= 0 && rate > surge*g.usual
}
