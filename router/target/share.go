package target

import (
	"math"
	"time"
)

// Cold targets and those that advertise a limit accept few requests per second from all hosts together. Hosts
// don't coordinate each request. Instead a few hosts, the same ones in every host's view, send an even share
// each to such a target, and the others send it nothing.
//
// An even share for every host would be no bound: where it is less than one request per window, the number of
// hosts that send within the same window is random.

// rate is what all hosts together may send to a target.
type rate struct {
	perSecond    float64       // the rate aimed at
	window       time.Duration // length of the spans that maxPerWindow applies to
	maxPerWindow int           // maximum requests within any window
	hosts        int           // maximum number of hosts that share it
}

// Parameters of shares.
const (
	// shareMargin lengthens the pause between two requests of a host, so that varying network delays don't
	// bring them closer together than a window allows.
	shareMargin = 1.02
	// shareRefresh is how long the list of hosts that share a rate is cached.
	shareRefresh = 500 * time.Millisecond
)

// pause is the minimum time between two requests of each of the given number of hosts. A host that was
// suspended accumulates no credit.
func (b rate) pause(hosts int) time.Duration {
	hosts = max(hosts, 1)
	perWindow := max(b.maxPerWindow/hosts, 1)
	fair := float64(hosts) / b.perSecond * float64(time.Second)
	apart := shareMargin * float64(b.window) / float64(perWindow)
	return time.Duration(min(max(fair, apart), math.MaxInt64/2))
}

// share is this host's cached share of a rate.
type share struct {
	at       time.Time
	rate     rate
	selected bool          // this host has a share
	pause    time.Duration // minimum time between this host's requests
}

// refreshShare updates this host's share of a target's rate if it has changed or is outdated. The lock is held.
func (r *Registry) refreshShare(t *Target, s *share, b rate, now time.Time) {
	if s.rate == b && !s.at.IsZero() && now.Sub(s.at) < shareRefresh {
		return
	}
	hosts, self := r.opts.Elected(t.ID, max(b.hosts, 1))
	*s = share{at: now, rate: b, selected: self, pause: b.pause(hosts)}
}

// allows reports whether the share permits a request now. The lock is held.
func (s *share) allows(t *Target, now time.Time) bool {
	return s.selected && now.Sub(t.pauseFrom) >= s.pause
}

// admits reports whether the limits of cold targets and the advertised limit let this host send the target a
// request. The lock is held.
func (r *Registry) admits(t *Target, now time.Time) bool {
	return r.coldAdmits(t, now) && r.limitAdmits(t, now)
}
