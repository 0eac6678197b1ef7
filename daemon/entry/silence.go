package entry

import (
	"context"
	"time"

	log "github.com/sirupsen/logrus"

	peerv1 "maststage.dev/api/peer/v1"
	"maststage.dev/daemon/peer"
	"maststage.dev/daemon/run"
	"maststage.dev/fold/view"
	"maststage.dev/lib/declare"
	"maststage.dev/lib/wait"
)

const (
	// waitShare is the part of a request's time, from its arrival, in which silent hosts are
	// waited for; the rest is left for a run at another host.
	waitShare = 2.0 / 3
	// unreachableWait is how long to wait for an unreachable member. A crashed one has been
	// evicted by then: 1.5 s of silence, a round of heartbeats, an append to the log. The
	// minority side of a partition evicts nobody.
	unreachableWait = 6 * time.Second
	// watchPause is the time between two probes of a host that is no longer a member.
	watchPause    = 500 * time.Millisecond
	retryAllPause = 250 * time.Millisecond // before all replicas are attempted again
)

// class is what the policy of a request's class allows.
type class struct {
	repeats bool // the request may be repeated
	stream  bool // it may be repeated and is an engine's stream, of which a second run costs tokens
	// until is when waiting for silent hosts ends.
	until time.Time
}

// classify returns the class of a request that arrived at began. It is empty for requests without a
// policy, which any host refuses.
func (r *Router) classify(req *peerv1.ExecuteRequest, began time.Time) class {
	_, set := r.store.Config()
	if set == nil {
		return class{}
	}
	_, decision, err := run.Decide(set, req, true)
	if err != nil {
		return class{}
	}
	pool := set.Pools[decision.Pool]
	return class{
		repeats: !decision.Single,
		stream:  !decision.Single && pool != nil && pool.Kind == declare.Engine,
		until:   began.Add(time.Duration(float64(decision.Within) * waitShare)),
	}
}

// waitsFor reports, after a pause, whether a lost host is to be asked again because it may run a
// stream: its process is alive, or not known to have exited. An evicted host is waited for only if
// its process is alive and there is more evidence of a run than that the request was sent to it.
func (f *forwarding) waitsFor(ctx context.Context, m view.Member, o outcome) bool {
	if !f.mayHaveRun || !f.class().stream {
		f.logLost(m, o, "not probed")
		return false
	}
	presence := f.router.peers.Probe(ctx, m.Address)
	if before, known := f.probed[m.Incarnation]; !known || before != presence {
		f.logLost(m, o, presence.String())
	}
	f.probed[m.Incarnation] = presence
	_, member := f.router.store.Member(m.Incarnation)
	known := o.accepted || f.req.Attempt > 1 || f.req.ResumeFrom > 0
	if !f.mayRunAt(presence, member, known) {
		return false
	}
	wait.For(ctx, retryPause)
	return ctx.Err() == nil
}

// mayRunAt reports whether a host with this probe result may have a run that is worth waiting for;
// known means that there is evidence of that run.
func (f *forwarding) mayRunAt(presence peer.Presence, member, known bool) bool {
	switch presence {
	case peer.Answers, peer.Stalled:
		return (member || known) && time.Now().Before(f.class().until)
	case peer.Unreachable:
		return member && time.Since(f.began) < unreachableWait
	}
	return false
}

// retriesAll reports, after a pause, whether all replicas are to be attempted again: none of them
// refused the request, it may be repeated, and there is time left.
func (f *forwarding) retriesAll(ctx context.Context) bool {
	if f.last == nil || len(f.refusals) > 0 {
		return false
	}
	if c := f.class(); !c.repeats || time.Now().After(c.until) {
		return false
	}
	clear(f.attempted)
	wait.For(ctx, retryAllPause)
	return ctx.Err() == nil
}

// watch cancels a call when this host leaves, and a call for a stream also when the other host is
// no longer a member and cannot have the run. It returns when the call is done. A host that was
// evicted while alive continues the runs it started.
func (f *forwarding) watch(ctx context.Context, m view.Member, done <-chan struct{}, cancel context.CancelFunc) {
	for {
		changed := f.router.store.Changed()
		var again <-chan time.Time
		if _, member := f.router.store.Member(m.Incarnation); !member && f.class().stream {
			if p := f.router.peers.Probe(ctx, m.Address); p != peer.Answers && !f.mayRunAt(p, false, true) {
				cancel()
				return
			}
			again, changed = time.After(watchPause), nil
		}
		select {
		case <-f.leaving:
			cancel()
			return
		case <-done:
			return
		case <-changed:
		case <-again:
		}
	}
}

// logLost logs which host was lost, after how long, and what is known of a run there.
func (f *forwarding) logLost(m view.Member, o outcome, presence string) {
	_, member := f.router.store.Member(m.Incarnation)
	log.WithFields(log.Fields{
		"request": f.req.RequestId, "organisation": f.req.Organisation, "class": f.req.Class,
		"incarnation": m.Incarnation, "member": member, "silent": f.router.silent(m.Incarnation), "process": presence,
		"attempt": f.req.Attempt, "from": f.req.ResumeFrom, "maybe": f.mayHaveRun, "sent": o.sent, "accepted": o.accepted,
		"after": time.Since(f.began).Round(time.Millisecond),
	}).WithError(o.lost).Info("host lost")
}
