// Package overload detects that this host's own network link or CPU delays its requests. It judges by how long
// new connections to targets take, which is a millisecond or two where nothing is queued. A full link delays all
// connections; if some targets are still reached fast, the others are slow or gone and the host is fine.
package overload

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	log "github.com/sirupsen/logrus"
)

// Parameters of overload detection.
const (
	// window is how long connection attempts count: long enough for several on a busy host, and short
	// compared to the second between two readiness checks.
	window = time.Second
	// minTargets is how many targets must have been dialled to judge the host. Each counts once, by its newest
	// attempt, so that one that is gone doesn't count several times.
	minTargets = 5
	// fastFraction is the fraction of the targets, the fastest ones, whose slowest dial time the host is judged
	// by: up to three quarters of the targets may be unreachable.
	fastFraction = 0.25
	// maxDialTime is the dial time above which a host refuses requests. Half a second of queueing is too much,
	// and a request passes through the queue about four times.
	maxDialTime = 100 * time.Millisecond
	// unreadyTime is how long a host reports itself unready after an overload: callers are rebalanced within two
	// readiness checks, a second apart, and must not be sent back at once.
	unreadyTime = 3 * time.Second
	// RebalanceTime is the time until callers' new connections go to other hosts: two readiness checks. Callers
	// that retry before then reach the same full host: after 50 ms they are refused twice, which loses 0.01 of
	// the value of a day's requests when one organisation sends 2.5 to 7.5 times its usual load.
	RebalanceTime = 2 * time.Second
)

// dial is the newest attempt to connect to a target.
type dial struct {
	at   time.Time
	took time.Duration
}

// Monitor detects the overload of one host. It is safe for concurrent use.
type Monitor struct {
	mu           sync.Mutex
	dials        map[string]dial // by target, within the last window
	unreadyUntil time.Time       // the host reports itself unready before then
}

// New returns a monitor for a host that is not overloaded.
func New() *Monitor { return &Monitor{dials: map[string]dial{}} }

// RecordDial records an attempt to connect to a target, successful or not.
func (m *Monitor) RecordDial(target string, took time.Duration, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.dials[target] = dial{at: now, took: took}
	fast, ok := m.fastDialTime(now)
	if !ok || fast <= maxDialTime {
		return
	}
	if !now.Before(m.unreadyUntil) {
		log.WithFields(log.Fields{"connect": fast.Round(time.Millisecond), "targets": len(m.dials)}).Warn("host is overloaded")
	}
	m.unreadyUntil = now.Add(unreadyTime)
}

// fastDialTime returns the slowest dial time among the fastest fraction of the targets, by the newest attempt at
// each; ok is false if too few targets were dialled. The lock is held.
func (m *Monitor) fastDialTime(now time.Time) (took time.Duration, ok bool) {
	times := make([]time.Duration, 0, len(m.dials))
	for target, d := range m.dials {
		if now.Sub(d.at) > window {
			delete(m.dials, target)
			continue
		}
		times = append(times, d.took)
	}
	if len(times) < minTargets {
		return 0, false
	}
	slices.Sort(times)
	return times[int(fastFraction*float64(len(times)))], true
}

// IsUnready reports whether callers should use other hosts, because the host is or was recently overloaded.
func (m *Monitor) IsUnready(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return now.Before(m.unreadyUntil)
}

// Overloaded reports whether connections take too long right now, so that a failed one says nothing about its
// target.
func (m *Monitor) Overloaded(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	fast, ok := m.fastDialTime(now)
	return ok && fast > maxDialTime
}

// Admit reports whether a new request may begin. The longer connections take, the fewer are admitted: about as many
// as bring the dial time back to maxDialTime. Admitting only the square of that share refuses 0.01 more of a
// day's requests under the overload described at RebalanceTime, and serves the others no better.
func (m *Monitor) Admit(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	fast, ok := m.fastDialTime(now)
	if !ok || fast <= maxDialTime {
		return true
	}
	return rand.Float64() < float64(maxDialTime)/float64(fast)
}
