// Package bill protects bills from loss: the end of a response is sent only after
// its bill is in the log or held by hosts in two other failure domains, which log
// it if its writer does not.
package bill

import (
	"context"
	"sync"
	"time"

	peerv1 "maststage.dev/api/peer/v1"
	"maststage.dev/fold"
	"maststage.dev/lib/errkind"
	"maststage.dev/lib/guard"
)

// logLate is the age at which a holder logs a bill that its writer has not logged.
const logLate = 2 * time.Second

// Outbox queues records for the log.
type Outbox interface {
	Put(...*peerv1.Record) error
}

// Peers asks other hosts to hold a bill; Hold returns once enough of them do.
type Peers interface {
	Hold(ctx context.Context, b *peerv1.Bill) error
}

// Keeper logs this host's bills and holds those of other hosts.
type Keeper struct {
	out   Outbox
	peers Peers

	mu      sync.Mutex
	held    map[string]heldBill
	waiting map[string]chan struct{} // closed when the bill is in the log
}

type heldBill struct {
	bill *peerv1.Bill
	at   time.Time
}

// NewKeeper returns an empty keeper.
func NewKeeper(out Outbox, peers Peers) *Keeper {
	return &Keeper{out: out, peers: peers, held: map[string]heldBill{}, waiting: map[string]chan struct{}{}}
}

// Keep queues a bill for the log and returns once the bill would survive the loss
// of this host. The error is of kind Unknown if that took longer than wait, or
// Overloaded if the outbox is full.
func (k *Keeper) Keep(ctx context.Context, b *peerv1.Bill, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	logged := make(chan struct{})
	k.mu.Lock()
	k.waiting[b.Id] = logged
	k.mu.Unlock()
	defer k.forget(b.Id)

	if err := k.out.Put(record(b)); err != nil {
		return err
	}
	held := make(chan error, 1)
	guard.Go("bill holder", func() { held <- k.peers.Hold(ctx, b) })
	for {
		select {
		case <-logged:
			return nil
		case err := <-held:
			if err == nil {
				return nil
			}
			held = nil // not enough reachable hosts hold it: wait for the log
		case <-ctx.Done():
			return errkind.New(errkind.Unknown, "the bill could be kept neither in the log nor on another host")
		}
	}
}

func (k *Keeper) forget(id string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.waiting, id)
}

// Hold holds the bill of another host until it is in the log.
func (k *Keeper) Hold(b *peerv1.Bill) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if _, ok := k.held[b.Id]; !ok {
		k.held[b.Id] = heldBill{bill: b, at: time.Now()}
	}
}

// Event handles bills read back from the log.
func (k *Keeper) Event(e fold.Event) {
	b, ok := e.(fold.Billed)
	if !ok {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.held, b.ID)
	if ch := k.waiting[b.ID]; ch != nil {
		close(ch)
		delete(k.waiting, b.ID)
	}
}

// Tick logs held bills older than logLate, or all of them during shutdown.
func (k *Keeper) Tick(now time.Time, stopping bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for id, h := range k.held {
		if !stopping && now.Sub(h.at) < logLate {
			continue
		}
		if k.out.Put(record(h.bill)) != nil {
			return
		}
		delete(k.held, id)
	}
}

// Held returns the number of bills held for other hosts.
func (k *Keeper) Held() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.held)
}

func record(b *peerv1.Bill) *peerv1.Record {
	return &peerv1.Record{Kind: &peerv1.Record_Bill{Bill: b}}
}
