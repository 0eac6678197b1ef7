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

// identity is one incarnation of this host with all that it owns.
type identity struct {
	run.Identity
	writer *logio.Writer
	cancel context.CancelFunc
}

// newIncarnation names an incarnation: the host's name and a random part.
func newIncarnation(host string) string {
	b := make([]byte, incarnationLen)
	_, _ = rand.Read(b) // never fails
	return host + "-" + hex.EncodeToString(b)
}

// become makes this host a new incarnation and asks for its place in the view.
func (n *Node) become(ctx context.Context) *identity {
	inc := newIncarnation(n.cfg.Host.Name)
	p := n.cfg.Platform
	ctx, cancel := context.WithCancel(ctx)
	w := logio.NewWriter(inc, n.platform, p.AppendInterval, p.Timeout, p.OutboxRecords)
	n.store.Subscribe(w)
	reg := claim.NewRegister(w, n.store)
	peers := n.links(inc)
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
	guard.Go("identity", func() { n.tick(ctx, id) })
	h := n.cfg.Host
	join := &peerv1.Join{Host: h.Name, Address: h.PeerAddress, Domain: h.Domain, Region: h.Region}
	if err := w.Put(&peerv1.Record{Kind: &peerv1.Record_Join{Join: join}}); err != nil {
		log.WithError(err).Error("can't ask to join")
	}
	log.WithField("incarnation", inc).Info("joining the view")
	return id
}

// sinks are the parts that follow the log, but for the writer, which is
// subscribed before them.
func (id *identity) sinks() []sink {
	return []sink{id.Register, id.Ledger, id.Bills}
}

type sink interface{ Event(fold.Event) }

// tick drives what an identity does by time.
func (n *Node) tick(ctx context.Context, id *identity) {
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

// retire lets an evicted identity finish what it began, gives its tokens back
// and ends it. Its slices count as stranded until then.
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
	n.drop(old)
	log.WithField("incarnation", old.Incarnation).Info("old incarnation settled")
}

// drop ends an identity at once.
func (n *Node) drop(old *identity) {
	old.cancel()
	n.store.Unsubscribe(old.writer)
	for _, s := range old.sinks() {
		n.store.Unsubscribe(s)
	}
}

// inherit queues the bills and claims of an identity that can't log them any
// more under the present one.
func (n *Node) inherit(old, now *identity) {
	var kept []*peerv1.Record
	for _, r := range old.writer.Unlogged() {
		if r.GetBill() != nil || r.GetIntent() != nil {
			kept = append(kept, r)
		}
	}
	if err := now.writer.Put(kept...); err != nil {
		log.WithError(err).Error("records of the old incarnation are lost")
	}
}
