// Package reach judges, for each service, whether this host reaches its targets by connections of its own. A host may
// lose its links to all targets while everything else, the other hosts among them, still reaches them. What it then
// sees of targets is a fact about its links, not about the targets.
//
// There are two kinds of evidence. Dials that fail at several targets while none succeeds show that new connections
// fail; open ones may live on. Requests that wait at several targets while nothing arrives from any show that open
// connections are dead, also where new ones seem to succeed. Either may also mean that the targets themselves are
// gone or stalled. A host can't tell which, so both only allow it to try another way.
package reach

import (
	"sync"
	"sync/atomic"
	"time"

	log "github.com/sirupsen/logrus"
)

// Outcome is the outcome of a dial.
type Outcome string

// The outcomes.
const (
	Connected Outcome = "connected"
	Refused   Outcome = "refused" // refused or reset
	TimedOut  Outcome = "timed_out"
	Failed    Outcome = "failed" // otherwise
)

// Parameters of the judgement.
const (
	// dialWindow is how long a failed dial counts. It covers a few dials at a host with little traffic.
	dialWindow = 2 * time.Second
	// minFailing is how many targets of a service must fail, unless it has fewer.
	minFailing = 3
	// failingPerConnected is how many times as many targets must fail as were reached meanwhile.
	failingPerConnected = 4
	// minSilent is how many targets of a service must be silent, unless it has fewer.
	minSilent = 2
	// silenceWindow is how long a request that was given up for silence counts.
	silenceWindow = 2 * time.Second
)

// Monitor judges the services of one host. It is safe for concurrent use.
type Monitor struct {
	mu       sync.Mutex
	services map[string]*service
}

// New returns a monitor that knows no targets.
func New() *Monitor { return &Monitor{services: map[string]*service{}} }

// service is the state of one service. Its fields are guarded by Monitor.mu, except cut.
type service struct {
	name      string
	paths     []*Path
	cut       atomic.Bool // byDials || bySilence
	byDials   bool        // new connections fail
	bySilence bool        // open connections are dead
	// hung means that a dial timed out since new connections fail.
	hung        bool
	suspectedAt time.Time // when a dial last failed or a request last got no response for long
	back        back
}

// Path is this host's own way to one target. A nil Path is always reached.
type Path struct {
	monitor *Monitor
	service *service
	target  string

	heardAt atomic.Int64 // when something last arrived on a connection of this host's own, in Unix nanoseconds

	// Guarded by Monitor.mu.
	connectedAt  time.Time // newest dial that succeeded
	failedAt     time.Time // newest dial that failed
	failedFrom   time.Time // when that dial began
	waiting      int       // requests whose response has not begun
	waitingSince time.Time // when waiting was last 0
	silentAt     time.Time // when a request was last given up because nothing arrived
	probedAt     time.Time // newest probe
	excused      bool      // others were reached when it was not: until it is reached, its dials say nothing of the links
}

// Add adds a target.
func (m *Monitor) Add(serviceName, target string) *Path {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.services[serviceName]
	if s == nil {
		s = &service{name: serviceName}
		m.services[serviceName] = s
	}
	p := &Path{monitor: m, service: s, target: target}
	s.paths = append(s.paths, p)
	return p
}

// Remove removes the target.
func (p *Path) Remove() {
	p.monitor.mu.Lock()
	defer p.monitor.mu.Unlock()
	for i, other := range p.service.paths {
		if other == p {
			p.service.paths = append(p.service.paths[:i:i], p.service.paths[i+1:]...)
			return
		}
	}
}

// RecordDial records a dial of this host's own that began at began.
func (p *Path) RecordDial(o Outcome, began, now time.Time) {
	if p == nil {
		return
	}
	m := p.monitor
	m.mu.Lock()
	defer m.mu.Unlock()
	if o == Connected {
		p.connectedAt, p.excused = now, false
		p.service.recordConnected(p, now)
		return
	}
	p.failedAt, p.failedFrom = now, began
	p.service.recordFailed(p)
	p.service.suspectedAt = now
	m.judgeDials(p.service, o, now)
}

// fails reports whether the newest dial failed within dialWindow.
func (p *Path) fails(now time.Time) bool {
	return !p.excused && p.failedAt.After(p.connectedAt) && now.Sub(p.failedAt) <= dialWindow
}

// counted counts the targets whose dials say something of the links.
func counted(paths []*Path) (n int) {
	for _, p := range paths {
		if !p.excused {
			n++
		}
	}
	return n
}

// dials counts the targets that dials fail to reach, and those that were reached since the first of these dials began.
func dials(paths []*Path, now time.Time) (failing, connected int) {
	var first time.Time
	for _, p := range paths {
		if p.fails(now) {
			failing++
			if first.IsZero() || p.failedFrom.Before(first) {
				first = p.failedFrom
			}
		}
	}
	for _, p := range paths {
		if failing > 0 && p.connectedAt.After(first) && !p.fails(now) {
			connected++
		}
	}
	return failing, connected
}

// dialsFail reports whether dials show that the targets are out of reach. Those to targets that were removed don't.
func dialsFail(failing, connected, targets int) bool {
	return failing > 0 && failing >= min(minFailing, targets) && failing >= failingPerConnected*connected
}

// judgeDials judges a service after a dial that failed, and the whole host: if it reaches targets of no service, those
// that were not dialled are out of reach, too. The lock is held.
func (m *Monitor) judgeDials(s *service, o Outcome, now time.Time) {
	failing, connected := dials(s.paths, now)
	if dialsFail(failing, connected, counted(s.paths)) {
		s.loseDials(o, failing, now)
	}
	var all []*Path
	for _, other := range m.services {
		all = append(all, other.paths...)
	}
	failing, connected = dials(all, now)
	if !dialsFail(failing, connected, counted(all)) {
		return
	}
	for _, other := range m.services {
		if _, reached := dials(other.paths, now); reached == 0 && len(other.paths) > 0 {
			other.loseDials(o, failing, now)
		}
	}
}

// loseDials records that new connections to the service fail. The lock is held.
func (s *service) loseDials(o Outcome, failing int, now time.Time) {
	s.hung = s.hung || o == TimedOut
	if s.byDials {
		return
	}
	s.byDials = true
	s.changed(now)
	log.WithFields(log.Fields{"service": s.name, "targets": len(s.paths), "failing": failing, "outcome": o}).Warn("new connections to the service fail")
}

// BeginWait records that a request was sent on a connection of this host's own. EndWait has to follow.
func (p *Path) BeginWait(now time.Time) {
	if p == nil {
		return
	}
	p.monitor.mu.Lock()
	defer p.monitor.mu.Unlock()
	if p.waiting == 0 {
		p.waitingSince = now
	}
	p.waiting++
}

// EndWait records that the response began, or that the request ended without one; silent says that it was given up
// because nothing arrived.
func (p *Path) EndWait(silent bool, now time.Time) {
	if p == nil {
		return
	}
	p.monitor.mu.Lock()
	defer p.monitor.mu.Unlock()
	p.waiting--
	if silent {
		p.silentAt = now
	}
}

// RecordSilence records that a response was given up after its beginning because nothing more arrived.
func (p *Path) RecordSilence(now time.Time) {
	if p == nil {
		return
	}
	p.monitor.mu.Lock()
	defer p.monitor.mu.Unlock()
	p.silentAt = now
}

// RecordReceived records that something arrived on a connection of this host's own.
func (p *Path) RecordReceived(now time.Time) {
	if p == nil {
		return
	}
	p.heardAt.Store(now.UnixNano())
	if !p.service.cut.Load() {
		return
	}
	p.monitor.mu.Lock()
	defer p.monitor.mu.Unlock()
	p.service.recordReceived(now)
}

// isSilent reports whether requests to the target wait or were given up, and nothing arrived since.
func (p *Path) isSilent(limit time.Duration, now time.Time) bool {
	heard := time.Unix(0, p.heardAt.Load())
	if p.silentAt.After(heard) && now.Sub(p.silentAt) <= silenceWindow {
		return true
	}
	since := p.waitingSince
	if heard.After(since) {
		since = heard
	}
	return p.waiting > 0 && now.Sub(since) >= limit
}

// JudgeSilence judges a service at which a request has waited for limit, which should be longer than most responses
// there take to begin: if too short, requests make a detour for nothing.
func (p *Path) JudgeSilence(limit time.Duration, now time.Time) {
	if p == nil {
		return
	}
	p.monitor.mu.Lock()
	defer p.monitor.mu.Unlock()
	s := p.service
	s.suspectedAt = now
	silent, heard := s.silence(limit, now)
	if heard {
		return
	}
	if s.bySilence {
		s.back.silentAt = now
		return
	}
	enough := silent > 0 && silent >= min(minSilent, len(s.paths))
	if !enough && !p.monitor.silentTogether(s, limit, now) {
		return
	}
	s.bySilence = true
	s.changed(now)
	log.WithFields(log.Fields{"service": s.name, "targets": len(s.paths), "silent": silent}).Warn("open connections to the service are silent")
}

// silence counts the targets that are silent; heard means that something arrived from any within limit.
func (s *service) silence(limit time.Duration, now time.Time) (silent int, heard bool) {
	for _, p := range s.paths {
		if now.Sub(time.Unix(0, p.heardAt.Load())) < limit {
			return 0, true
		}
		if p.isSilent(limit, now) {
			silent++
		}
	}
	return silent, false
}

// silentTogether reports whether a service with a silent target and the others of this host have enough silent targets
// together, and nothing arrived from any: a host with little traffic seldom has two requests to one service. The lock is
// held.
func (m *Monitor) silentTogether(s *service, limit time.Duration, now time.Time) bool {
	total, _ := s.silence(limit, now)
	if total == 0 {
		return false
	}
	for _, other := range m.services {
		silent, heard := other.silence(limit, now)
		if heard {
			return false
		}
		if other != s {
			total += silent
		}
	}
	return total >= minSilent
}

// Cut reports whether the service is out of direct reach.
func (p *Path) Cut() bool { return p != nil && p.service.cut.Load() }

// DialFailedSince reports whether the newest dial to the target failed after t, and new connections to the service have
// failed for longer.
func (p *Path) DialFailedSince(t time.Time) bool {
	p.monitor.mu.Lock()
	defer p.monitor.mu.Unlock()
	s := p.service
	return s.byDials && !s.back.lostAt.After(t) && p.failedAt.After(p.connectedAt) && p.failedAt.After(t)
}

// Silent reports whether connections to the service pass nothing, also where new ones succeed.
func (p *Path) Silent() bool {
	p.monitor.mu.Lock()
	defer p.monitor.mu.Unlock()
	return p.service.bySilence
}

// OpenConnectionsDead reports whether open connections to the service are probably dead, too.
func (p *Path) OpenConnectionsDead() bool {
	p.monitor.mu.Lock()
	defer p.monitor.mu.Unlock()
	return p.service.bySilence || p.service.hung
}

// CutServices counts the services that are out of direct reach.
func (m *Monitor) CutServices() (n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, s := range m.services {
		if s.cut.Load() {
			n++
		}
	}
	return n
}
