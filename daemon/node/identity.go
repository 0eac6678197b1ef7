package node

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"time"

	log "github.com/sirupsen/logrus"

	peerv1 "maststage.dev/api/peer/v1"
	"maststage.dev/daemon/bill"
	"maststage.dev/daemon/claim"
	"maststage.dev/daemon/ledger"
	"maststage.dev/daemon/logio"
	"maststage.dev/daemon/run"
	"maststage.dev/fold"
	"maststage.dev/lib/guard"
)

const (
	tickEvery      = 100 * time.Millisecond
	incarnationLen = 6 // random bytes
)

// identity is one incarnation of this host and the state that it owns.
type identity struct {
	run.Identity
	writer *logio.Writer
	cancel context.CancelFunc
}

// newIncarnation returns an unused name: the host's name and a random suffix.
func newIncarnation(host string) string {
	b := make([]byte, incarnationLen)
	_, _ = rand.Read(b) // never fails
	return host + "-" + hex.EncodeToString(b)
}

// newIdentity gives this host a new incarnation and requests that it join the view.
func (n *Node) newIdentity(ctx context.Context) *identity {
	inc := newIncarnation(n.cfg.Host.Name)
	p := n.cfg.Platform
	ctx, cancel := context.WithCancel(ctx)
	w := logio.NewWriter(inc, n.platform, p.AppendInterval, p.Timeout, p.OutboxRecords)
	n.store.Subscribe(w)
	reg := claim.NewRegister(w, n.store)
	peers := n.newPeerCalls(inc)
	id := &identity{
		Identity: run.Identity{
			Incarnation: inc,
			Ledger:      ledger.New(inc, n.cfg.Budgets, w, n.store, peers, n.LogUp),
			Register:    reg,
			Claims:      claim.NewCoordinator(inc, n.cfg.Host.Region, n.store, peers, reg, w, n.LogUp),
			Bills:       bill.NewKeeper(w, peers),
		},
		writer: w,
		cancel: cancel,
	}
	peers.ledger = id.Ledger
	for _, sink := range id.sinks() {
		n.store.Subscribe(sink)
	}
	n.current.Store(id)
	guard.Go("log writer", func() { w.Run(ctx) })
	guard.Go("identity", func() { n.runTimers(ctx, id) })
	h := n.cfg.Host
	join := &peerv1.Join{Host: h.Name, Address: h.PeerAddress, Domain: h.Domain, Region: h.Region}
	if err := w.Put(&peerv1.Record{Kind: &peerv1.Record_Join{Join: join}}); err != nil {
		log.WithError(err).Error("queueing the join record failed")
	}
	log.WithField("incarnation", inc).Info("joining the view")
	return id
}

// sinks returns the subscribers to log events, except the writer, which is subscribed
// before them.
func (id *identity) sinks() []sink {
	return []sink{id.Register, id.Ledger, id.Bills}
}

type sink interface{ Event(fold.Event) }

// runTimers runs the periodic work of an identity.
func (n *Node) runTimers(ctx context.Context, id *identity) {
	every := time.NewTicker(tickEvery)
	defer every.Stop()
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-every.C:
			id.Register.Tick(now)
			id.Bills.Tick(now, n.Draining())
			if dt := now.Sub(last); dt >= n.cfg.Budgets.SettleEvery {
				id.Ledger.Tick(now, dt)
				last = now
			}
		}
	}
}

// retire lets an evicted identity finish its open requests, returns its tokens and stops
// it. Its allocations count as stranded until then.
func (n *Node) retire(ctx context.Context, old *identity) {
	every := time.NewTicker(tickEvery)
	defer every.Stop()
	for {
		reserved := old.Ledger.ReturnAll()
		if !reserved && old.writer.Waiting() == 0 {
			break
		}
		select {
		case <-ctx.Done():
			return
		case <-every.C:
		}
	}
	n.stopIdentity(old)
	log.WithField("incarnation", old.Incarnation).Info("evicted incarnation returned its tokens and ended")
}

// stopIdentity stops an identity at once.
func (n *Node) stopIdentity(old *identity) {
	old.cancel()
	n.store.Unsubscribe(old.writer)
	for _, s := range old.sinks() {
		n.store.Unsubscribe(s)
	}
}

// requeueUnlogged queues the bills and claims that an old identity can no longer append
// under the current one.
func (n *Node) requeueUnlogged(old, now *identity) {
	var kept []*peerv1.Record
	for _, r := range old.writer.Unlogged() {
		if r.GetBill() != nil || r.GetIntent() != nil {
			kept = append(kept, r)
		}
	}
	if err := now.writer.Put(kept...); err != nil {
		log.WithError(err).Error("requeueing the old incarnation's records failed; they are lost")
	}
}
