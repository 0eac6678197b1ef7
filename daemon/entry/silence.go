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
	// waitShare is the part of a request's time, from its arrival, in which hosts that say
	// nothing are waited for; the rest is left for a run at another host.
	waitShare = 2.0 / 3
	// unreachableWait is how long a member is waited for to which no connection can be made.
	// One that died has been evicted by then: 1.5 s of silence, a round of heartbeats, an append
	// to the log. In the minority of a cut nobody is evicted.
	unreachableWait = 6 * time.Second
	// watchPause is the time between two looks at a host that is no member any more.
	watchPause = 500 * time.Millisecond
	overPause  = 250 * time.Millisecond // before all replicas are asked once more
)

// class is what the policy of a request's class allows.
type class struct {
	repeats bool // the request may be repeated
	stream  bool // and is a stream of an engine, of which a second run costs tokens
	// until is when hosts that say nothing are waited for no longer.
	until time.Time
}

// classify finds the class of a request that came then. Requests without a policy are refused by whoever is asked.
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

// waitsFor says whether a host that was lost is asked again, after a pause, as a stream may run
// there: its process lives, or may live as far as anybody knows. One that stands still and was
// evicted is waited for only if more than an order that it did not confirm speaks for a run there.
func (f *forwarding) waitsFor(ctx context.Context, m view.Member, o outcome) bool {
	if !f.maybe || !f.class().stream {
		f.logLost(m, o, "not probed")
		return false
	}
	presence := f.router.peers.Probe(ctx, m.Address)
	if before, known := f.seen[m.Incarnation]; !known || before != presence {
		f.logLost(m, o, presence.String())
	}
	f.seen[m.Incarnation] = presence
	_, member := f.router.store.Member(m.Incarnation)
	known := o.accepted || f.req.Attempt > 1 || f.req.ResumeFrom > 0
	if !f.mayRunAt(presence, member, known) {
		return false
	}
	wait.For(ctx, againPause)
	return ctx.Err() == nil
}

// mayRunAt says whether a run may be at a host, whose process was seen so, and is worth waiting
// for; known says that something speaks for that run.
func (f *forwarding) mayRunAt(presence peer.Presence, member, known bool) bool {
	switch presence {
	case peer.Answers, peer.Stalled:
		return (member || known) && time.Now().Before(f.class().until)
	case peer.Unreachable:
		return member && time.Since(f.began) < unreachableWait
	}
	return false
}

// startsOver lets all replicas be asked again if none of them refused a request that may be
// repeated, as long as there is time.
func (f *forwarding) startsOver(ctx context.Context) bool {
	if f.last == nil || len(f.refusals) > 0 {
		return false
	}
	if c := f.class(); !c.repeats || time.Now().After(c.until) {
		return false
	}
	clear(f.tried)
	wait.For(ctx, overPause)
	return ctx.Err() == nil
}

// watch cancels a call once this host leaves, and one for a stream once the other host is no
// member any more and can't have the run, unless the call is done before. A host that was evicted
// while it lives goes on with what it began.
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

// logLost says which host was lost, after how long, and what was known of a run there.
func (f *forwarding) logLost(m view.Member, o outcome, presence string) {
	_, member := f.router.store.Member(m.Incarnation)
	log.WithFields(log.Fields{
		"request": f.req.RequestId, "organisation": f.req.Organisation, "class": f.req.Class,
		"incarnation": m.Incarnation, "member": member, "silent": f.router.silent(m.Incarnation), "process": presence,
		"attempt": f.req.Attempt, "from": f.req.ResumeFrom, "maybe": f.maybe, "sent": o.sent, "accepted": o.accepted,
		"after": time.Since(f.began).Round(time.Millisecond),
	}).WithError(o.lost).Info("host lost")
}
