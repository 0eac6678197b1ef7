package node

import (
	"context"
	"sync/atomic"
	"time"

	log "github.com/sirupsen/logrus"

	"maststage.dev/lib/wait"
	"maststage.dev/router/forward"
	"maststage.dev/router/replica"
)

// Figures of the return from a suspension.
const (
	// catchUpMost is how long a host takes nothing at most, if nobody tells it what it has
	// missed: a log that is out of reach must not keep all hosts from serving. Three seconds
	// are two long polls and a pull from another host.
	catchUpMost = 3 * time.Second
	catchUpLook = 10 * time.Millisecond
)

// wake is the return from a suspension.
type wake struct {
	at       time.Time
	caughtUp atomic.Bool
}

// resumed takes in that the host was suspended: what it believes is older than its clock says.
// It asks anew for configuration, targets and hosts, with the requests in quarantine among
// them, and is not ready before it has answers. Budgets need nothing: no clock decides them.
func (n *Node) resumed(lost time.Duration) {
	w := &wake{at: time.Now()}
	n.woke.Store(w)
	log.WithFields(log.Fields{"lost": lost.Round(time.Millisecond), "open_requests": n.handler.InFlight()}).Warn("host was suspended")
	n.observer.Count("suspensions_total")
	n.targets.CloseIdle()
	n.fleet.Resumed()
	for _, c := range n.followed() {
		c.Refresh()
	}
}

// followed lists the copies that a host serves by.
func (n *Node) followed() []*replica.Replica {
	return []*replica.Replica{n.configCopy, n.targetsCopy, n.hostsCopy}
}

// catchingUp says whether the host woke from a suspension and does not know yet what it missed.
func (n *Node) catchingUp() bool {
	w := n.woke.Load()
	if w == nil || w.caughtUp.Load() {
		return false
	}
	if time.Since(w.at) < catchUpMost && !n.askedSince(w.at) {
		return true
	}
	if !w.caughtUp.Swap(true) {
		log.WithFields(log.Fields{"took": time.Since(w.at).Round(time.Millisecond), "answered": n.askedSince(w.at)}).Info("caught up after a suspension")
	}
	return false
}

// askedSince says whether the log or another host has told what changed until a moment.
func (n *Node) askedSince(t time.Time) bool {
	if n.fleet.PulledSince(t) {
		return true
	}
	for _, c := range n.followed() {
		if !c.RefreshedSince(t) {
			return false
		}
	}
	return true
}

// admits says whether a new request may begin, or why not. One that comes while the host
// catches up waits for that, which takes a few milliseconds where the log answers: it is served
// by what holds now.
func (n *Node) admits(ctx context.Context, arrived time.Time, streaming bool) forward.Kind {
	n.watch.RequestArrived(arrived)
	for n.catchingUp() && ctx.Err() == nil && time.Since(arrived) < catchUpWait {
		wait.For(ctx, catchUpLook)
	}
	switch {
	case n.catchingUp():
		return forward.CatchingUp
	case !n.Takes(streaming):
		return forward.Stopping
	}
	return forward.OK
}

// catchUpWait is how long a request waits for that; then it is told to use another host.
const catchUpWait = 100 * time.Millisecond
