package target

import (
	"math"
	"time"
)

// Some targets bear few requests a second from all hosts together: cold ones, and those that name a
// limit. Hosts don't ask each other for each request. A few hosts for each such target, the same ones
// in every host's view, send it an even share each, and the others pass it over.
//
// An even share of the rate at every host is no bound: where it is less than one request in a window,
// the number of hosts that send in the same window is random.

// rate is what a target may get from all hosts together.
type rate struct {
	perSecond float64       // that they aim at
	window    time.Duration // in any span of this length
	most      int           // the target gets no more
	hosts     int           // that share it, if there are as many
}

// Figures of shares.
const (
	// shareMargin lengthens the pause between two requests of a host, so that their ways don't
	// bring them closer together than a window allows.
	shareMargin = 1.02
	// shareLook is how long an answer to who shares a rate is used.
	shareLook = 500 * time.Millisecond
)

// pause is the least time between two requests of each of so many hosts. A host that stood still
// has saved nothing up.
func (b rate) pause(hosts int) time.Duration {
	hosts = max(hosts, 1)
	perWindow := max(b.most/hosts, 1)
	fair := float64(hosts) / b.perSecond * float64(time.Second)
	apart := shareMargin * float64(b.window) / float64(perWindow)
	return time.Duration(min(max(fair, apart), math.MaxInt64/2))
}

// share is this host's part of a rate, as of a moment ago.
type share struct {
	at    time.Time
	rate  rate
	self  bool          // this host has one
	pause time.Duration // between its requests
}

// shareOf looks up this host's part of a rate at a target; the lock is held.
func (r *Registry) shareOf(t *Target, s *share, b rate, now time.Time) {
	if s.rate == b && !s.at.IsZero() && now.Sub(s.at) < shareLook {
		return
	}
	hosts, self := r.opts.Elected(t.ID, max(b.hosts, 1))
	*s = share{at: now, rate: b, self: self, pause: b.pause(hosts)}
}

// allows says whether the share leaves room for a request; the lock is held.
func (s *share) allows(t *Target, now time.Time) bool {
	return s.self && now.Sub(t.paced) >= s.pause
}

// admits says whether this host may send a target a request, as far as the rates go that the target
// bears; the lock is held.
func (r *Registry) admits(t *Target, now time.Time) bool {
	return r.coldAdmits(t, now) && r.limitAdmits(t, now)
}
