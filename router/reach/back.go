package reach

import (
	"time"

	log "github.com/sirupsen/logrus"
)

// Parameters of the return to connections of this host's own.
const (
	// minHold is how long dials must succeed before all requests use them again.
	minHold = 400 * time.Millisecond
	// maxHold bounds this time, which doubles each time that the links are lost again within flapTime.
	maxHold  = 4 * time.Second
	flapTime = 10 * time.Second
	// minProofs is how many targets must be reached, unless the service has fewer.
	minProofs = 3
	// canaryInterval is the time between two requests that test silent links; it doubles up to maxCanaryInterval.
	canaryInterval    = 500 * time.Millisecond
	maxCanaryInterval = 2 * time.Second
	// requestsPerCanary is how many requests at least there are for each: a test may cost a retry, of which hosts have
	// one for five requests.
	requestsPerCanary = 10
	// unsafeCanaryInterval is the time without a test after which a request that can't be retried is one. It may be lost;
	// but a service may have no others.
	unsafeCanaryInterval = 10 * time.Second
)

// back is the state of a service's return to connections of this host's own.
type back struct {
	lostAt      time.Time // when the service was last lost
	returnedAt  time.Time // when it was last reached again
	hold        time.Duration
	proofs      map[*Path]bool // targets reached in the current test
	refuted     map[*Path]bool // targets not reached in the current test
	proofsSince time.Time      // when the current test began
	silentAt    time.Time      // when links were last found silent
	canaryAt    time.Time      // newest request that tests silent links
	canaryGap   time.Duration
	requests    int // since the newest one
}

// changed applies a change of byDials or bySilence. The lock is held.
func (s *service) changed(now time.Time) {
	was := s.cut.Load()
	s.cut.Store(s.byDials || s.bySilence)
	switch {
	case s.cut.Load() && !was:
		hold := minHold
		if now.Sub(s.back.returnedAt) < flapTime {
			hold = min(2*s.back.hold, maxHold)
		}
		s.back = back{lostAt: now, returnedAt: s.back.returnedAt, hold: hold, silentAt: now, canaryAt: now, canaryGap: canaryInterval}
	case !s.cut.Load() && was:
		s.back.returnedAt = now
		log.WithFields(log.Fields{"service": s.name, "after": now.Sub(s.back.lostAt).Round(time.Millisecond)}).Info("the service is in direct reach again")
	}
}

// recordConnected records a dial that succeeded. The lock is held.
func (s *service) recordConnected(p *Path, now time.Time) {
	if !s.byDials {
		return
	}
	b := &s.back
	if len(b.proofs) == 0 {
		b.proofs, b.refuted, b.proofsSince = map[*Path]bool{}, map[*Path]bool{}, now
	}
	b.proofs[p] = true
	delete(b.refuted, p)
	if len(b.proofs) >= min(minProofs, len(s.paths)-len(b.refuted)) && now.Sub(b.proofsSince) >= b.hold {
		s.endDialFailures(now)
	}
}

// endDialFailures records that new connections to the service succeed. Targets that were not reached in the test are gone
// themselves, as far as this host can tell. The lock is held.
func (s *service) endDialFailures(now time.Time) {
	for p := range s.back.refuted {
		p.excused = true
	}
	s.byDials, s.hung = false, false
	s.changed(now)
}

// EndDialTest ends the test of new connections: a dial has succeeded, and no other host reaches the targets better.
func (p *Path) EndDialTest(now time.Time) {
	p.monitor.mu.Lock()
	defer p.monitor.mu.Unlock()
	if s := p.service; s.byDials {
		s.endDialFailures(now)
	}
}

// LostSince returns since when the service is out of reach, the zero time if it isn't.
func (p *Path) LostSince() time.Time {
	p.monitor.mu.Lock()
	defer p.monitor.mu.Unlock()
	if !p.service.cut.Load() {
		return time.Time{}
	}
	return p.service.back.lostAt
}

// recordFailed records a dial that failed. Some targets may be gone, however many; one that was reached in the test before
// ends it. The lock is held.
func (s *service) recordFailed(p *Path) {
	b := &s.back
	if len(b.proofs) == 0 {
		return
	}
	b.refuted[p] = true
	if b.proofs[p] {
		clear(b.proofs)
	}
}

// recordReceived records that something arrived on a connection of this host's own. The lock is held.
func (s *service) recordReceived(now time.Time) {
	if s.bySilence && now.Sub(s.back.silentAt) >= s.back.hold-minHold {
		s.bySilence = false
		s.changed(now)
	}
}

// TakeCanary reports whether a request should use a connection of this host's own to test the links: nothing else shows
// whether connections that were silent carry data again. retry says that another attempt may follow.
func (p *Path) TakeCanary(retry bool, now time.Time) bool {
	if !p.Cut() {
		return false
	}
	p.monitor.mu.Lock()
	defer p.monitor.mu.Unlock()
	b := &p.service.back
	b.requests++
	gap := b.canaryGap
	if !retry {
		gap = unsafeCanaryInterval
	}
	if p.service.byDials || now.Sub(b.canaryAt) < gap || b.requests < requestsPerCanary {
		return false
	}
	b.canaryAt, b.requests = now, 0
	b.canaryGap = min(2*b.canaryGap, maxCanaryInterval)
	return true
}

// Parameters of probes.
const (
	// probeInterval is the least time between two probes of one target.
	probeInterval = time.Second
	// maxProbes bounds the probes of one service at a time.
	maxProbes = 3
	// suspicionTime is how long a failure calls for probes of other targets.
	suspicionTime = 500 * time.Millisecond
)

// NeedsProbes reports whether any service is out of reach or may be.
func (m *Monitor) NeedsProbes(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, s := range m.services {
		if s.cut.Load() || now.Sub(s.suspectedAt) < suspicionTime {
			return true
		}
	}
	return false
}

// DueProbes returns the targets to dial now: of a service to which new connections fail the one that was not probed for
// longest, and of a service at which something has just failed some others, which show whether it was that target.
func (m *Monitor) DueProbes(now time.Time) (targets []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, s := range m.services {
		count := 0
		switch {
		case s.byDials:
			count = 1
		case !s.bySilence && now.Sub(s.suspectedAt) < suspicionTime:
			count = maxProbes
		}
		for range count {
			if p := s.nextProbe(now); p != nil {
				p.probedAt = now
				targets = append(targets, p.target)
			}
		}
	}
	return targets
}

// nextProbe returns the target that was not probed for longest, nil if all were within probeInterval. The lock is held.
func (s *service) nextProbe(now time.Time) (next *Path) {
	for _, p := range s.paths {
		newest := later(p.probedAt, p.connectedAt)
		if !s.byDials {
			newest = later(newest, p.failedAt)
		}
		if now.Sub(newest) >= probeInterval && (next == nil || p.probedAt.Before(next.probedAt)) {
			next = p
		}
	}
	return next
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
