package node

import (
	"context"
	"time"

	log "github.com/sirupsen/logrus"

	peerv1 "maststage.dev/api/peer/v1"
)

const (
	drainPoll     = 50 * time.Millisecond
	closeTimeout  = 2 * time.Second
	hangUpTimeout = 5 * time.Second
)

// Stop begins a planned stop; it returns at once.
func (n *Node) Stop() {
	n.stopOnce.Do(func() {
		log.Info("planned stop")
		close(n.stopping)
	})
}

// Draining says whether a planned stop has begun.
func (n *Node) Draining() bool {
	select {
	case <-n.stopping:
		return true
	default:
		return false
	}
}

// drain takes no new work, lets what is open finish or move, and hands over
// all that this host owns: ids, claims, bills and tokens.
func (n *Node) drain(ctx context.Context) {
	id := n.current.Load()
	put := func(r *peerv1.Record) {
		if err := id.writer.Put(r); err != nil {
			log.WithError(err).Error("can't log the stop")
		}
	}
	steps := log.Fields{}
	step := func(name string, do func()) {
		begun := time.Now()
		do()
		steps[name] = time.Since(begun).Round(time.Millisecond)
	}
	put(leave(false))
	n.http.Leave()
	close(n.leaving)
	step("requests", func() { n.finishRequests(ctx) })
	step("connections", n.hangUp)
	step("handover", func() {
		n.waitFor(ctx, func() bool { return !id.Ledger.ReturnAll() && id.Bills.Held() == 0 && id.Register.Held() == 0 })
	})
	put(leave(true))
	step("log", func() { n.waitFor(ctx, func() bool { return id.writer.Waiting() == 0 }) })
	step("hosts", func() {
		closed := time.AfterFunc(closeTimeout, n.grpc.Stop)
		defer closed.Stop()
		n.grpc.GracefulStop()
	})
	log.WithFields(steps).Info("stopped")
}

// hangUp ends the connections of callers, once what came on them is answered.
func (n *Node) hangUp() {
	ctx, cancel := context.WithTimeout(context.Background(), hangUpTimeout)
	defer cancel()
	if err := n.http.Shutdown(ctx); err != nil {
		log.WithError(err).Warn("callers' connections were still open")
	}
}

func leave(final bool) *peerv1.Record {
	return &peerv1.Record{Kind: &peerv1.Record_Leave{Leave: &peerv1.Leave{Final: final}}}
}

// finishRequests waits until no request is open here. After the setting
// drain_limit, if there is one, requests that can go on elsewhere are moved.
func (n *Node) finishRequests(ctx context.Context) {
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
