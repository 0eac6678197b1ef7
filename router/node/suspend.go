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

// Timing of the return from a suspension.
const (
	// maxCatchUp bounds how long a host accepts no requests if nobody reports what it missed: an
	// unreachable log must not keep all hosts from serving. Three seconds are two long polls and a
	// pull from another host.
	maxCatchUp          = 3 * time.Second
	catchUpPollInterval = 10 * time.Millisecond
)

// wake is the return from a suspension.
type wake struct {
	at       time.Time
	caughtUp atomic.Bool
}

// resumed handles a suspension of the host: its state is older than its clock says. It refreshes
// configuration, targets and hosts, which include the requests in quarantine, and is not ready until
// that succeeded. Budgets need no refresh, as they don't depend on clocks.
func (n *Node) resumed(lost time.Duration) {
	w := &wake{at: time.Now()}
	n.lastWake.Store(w)
	log.WithFields(log.Fields{"lost": lost.Round(time.Millisecond), "open_requests": n.handler.InFlight()}).Warn("host was suspended; refreshing its state")
	n.observer.Count("suspensions_total")
	n.targets.CloseIdle()
	n.fleet.Resumed()
	n.refreshReplicas()
}

// servingReplicas lists the replicas that a host needs to serve.
func (n *Node) servingReplicas() []*replica.Replica {
	return []*replica.Replica{n.configReplica, n.targetsReplica, n.hostsReplica}
}

// catchingUp reports whether the host returned from a suspension and may have missed changes.
func (n *Node) catchingUp() bool {
	w := n.lastWake.Load()
	if w == nil || w.caughtUp.Load() {
		return false
	}
	if time.Since(w.at) < maxCatchUp && !n.refreshedSince(w.at) {
		return true
	}
	if !w.caughtUp.Swap(true) {
		log.WithFields(log.Fields{"took": time.Since(w.at).Round(time.Millisecond), "answered": n.refreshedSince(w.at)}).Info("serving again after a suspension")
	}
	return false
}

// refreshedSince reports whether the log or another host has confirmed all changes until t.
func (n *Node) refreshedSince(t time.Time) bool {
	if n.fleet.PulledSince(t) {
		return true
	}
	for _, c := range n.servingReplicas() {
		if !c.RefreshedSince(t) {
			return false
		}
	}
	return true
}

// admits reports whether a new request may begin, or why not. A request that arrives while the host
// catches up waits for that, which takes a few milliseconds if the log is reachable, and is then
// served by the current state.
func (n *Node) admits(ctx context.Context, a forward.Arrival) forward.Kind {
	n.suspensions.RequestArrived(a.At)
	for n.catchingUp() && ctx.Err() == nil && time.Since(a.At) < catchUpWait {
		wait.For(ctx, catchUpPollInterval)
	}
	switch {
	case n.catchingUp():
		return forward.CatchingUp
	case !n.Accepts(a.Streaming) || !n.mayFinish(a):
		return forward.Stopping
	}
	return forward.OK
}

// catchUpWait is how long a request waits for the host to catch up; then it is refused, so that its
// caller sends it to another host.
const catchUpWait = 100 * time.Millisecond
