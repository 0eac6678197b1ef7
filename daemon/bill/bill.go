// Package bill keeps bills from being lost: the end of an answer is released
// only after its bill is in the log or held by hosts of two other failure
// domains, which log it if its writer does not.
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

// logLate is when a holder logs a bill that its writer has not logged.
const logLate = 2 * time.Second

// Outbox queues records for the log.
type Outbox interface {
	Put(...*peerv1.Record) error
}

// Peers asks other hosts to hold a bill; it returns once enough do.
type Peers interface {
	Hold(ctx context.Context, b *peerv1.Bill) error
}

// Keeper writes own bills and holds those of others.
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

// NewKeeper makes an empty keeper.
func NewKeeper(out Outbox, peers Peers) *Keeper {
	return &Keeper{out: out, peers: peers, held: map[string]heldBill{}, waiting: map[string]chan struct{}{}}
}

// Keep queues a bill for the log and returns when it can't be lost with this
// host any more. The error is of kind Unknown if that took longer than wait.
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
			held = nil // nobody in reach holds it: wait for the log
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

// Hold keeps the bill of another host until it is in the log.
func (k *Keeper) Hold(b *peerv1.Bill) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if _, ok := k.held[b.Id]; !ok {
		k.held[b.Id] = heldBill{bill: b, at: time.Now()}
	}
}

// Event hears which bills are in the log.
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

// Tick logs held bills that are late; all of them if stopping.
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

// Held is how many bills of other hosts are held.
func (k *Keeper) Held() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.held)
}

func record(b *peerv1.Bill) *peerv1.Record {
	return &peerv1.Record{Kind: &peerv1.Record_Bill{Bill: b}}
}
