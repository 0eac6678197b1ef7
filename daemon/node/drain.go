package node

import (
	"context"
	"time"

	log "github.com/sirupsen/logrus"

	peerv1 "maststage.dev/api/peer/v1"
)

const (
	drainPoll          = 50 * time.Millisecond
	peerCloseTimeout   = 2 * time.Second
	callerCloseTimeout = 5 * time.Second
)

// Stop starts a graceful shutdown and returns at once.
func (n *Node) Stop() {
	n.stopOnce.Do(func() {
		log.Info("graceful shutdown started")
		close(n.stopping)
	})
}

// Draining reports whether a graceful shutdown has started.
func (n *Node) Draining() bool {
	select {
	case <-n.stopping:
		return true
	default:
		return false
	}
}

// drain accepts no new requests, lets open ones finish or move, and hands over
// everything that this host owns: ids, claims, bills and tokens.
func (n *Node) drain(ctx context.Context) {
	id := n.current.Load()
	put := func(r *peerv1.Record) {
		if err := id.writer.Put(r); err != nil {
			log.WithError(err).Error("queueing the leave record failed")
		}
	}
	steps := log.Fields{}
	step := func(name string, do func()) {
		begun := time.Now()
		do()
		steps[name] = time.Since(begun).Round(time.Millisecond)
	}
	put(leaveRecord(false))
	n.http.Leave()
	close(n.leaving)
	step("requests", func() { n.waitForRequests(ctx) })
	step("connections", n.closeCallerConns)
	step("handover", func() {
		n.waitFor(ctx, func() bool { return !id.Ledger.ReturnAll() && id.Bills.Held() == 0 && id.Register.Held() == 0 })
	})
	put(leaveRecord(true))
	step("log", func() { n.waitFor(ctx, func() bool { return id.writer.Waiting() == 0 }) })
	step("hosts", func() {
		closed := time.AfterFunc(peerCloseTimeout, n.grpc.Stop)
		defer closed.Stop()
		n.grpc.GracefulStop()
	})
	log.WithFields(steps).Info("graceful shutdown complete")
}

// closeCallerConns closes the callers' connections after the requests on them are served.
func (n *Node) closeCallerConns() {
	ctx, cancel := context.WithTimeout(context.Background(), callerCloseTimeout)
	defer cancel()
	if err := n.http.Shutdown(ctx); err != nil {
		log.WithError(err).Warn("closing callers' connections failed")
	}
}

func leaveRecord(final bool) *peerv1.Record {
	return &peerv1.Record{Kind: &peerv1.Record_Leave{Leave: &peerv1.Leave{Final: final}}}
}

// waitForRequests waits until this host has no open request. After drain_limit, if it is
// set, requests that can continue on another host are moved.
func (n *Node) waitForRequests(ctx context.Context) {
	var limit <-chan time.Time
	if d := n.cfg.Requests.DrainLimit; d > 0 {
		t := time.NewTimer(d)
		defer t.Stop()
		limit = t.C
	}
	poll := time.NewTicker(drainPoll)
	defer poll.Stop()
	for n.engine.Open() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-limit:
			n.engine.HandOver()
		case <-poll.C:
		}
	}
}

func (n *Node) waitFor(ctx context.Context, done func() bool) {
	poll := time.NewTicker(drainPoll)
	defer poll.Stop()
	for !done() {
		select {
		case <-ctx.Done():
			return
		case <-poll.C:
		}
	}
}
