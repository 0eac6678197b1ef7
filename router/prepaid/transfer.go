package prepaid

import (
	"context"
	"sync"
	"time"

	log "github.com/sirupsen/logrus"

	"maststage.dev/lib/guard"
)

// TransferResult is the outcome of a transfer of idle tokens.
type TransferResult int

// Outcomes of a transfer.
const (
	TransferUncertain TransferResult = iota // another host may have accepted the tokens
	TransferAccepted
	TransferDeclined // no host has accepted the tokens, nor will
)

func (r TransferResult) String() string {
	switch r {
	case TransferAccepted:
		return "accepted"
	case TransferDeclined:
		return "declined"
	}
	return "uncertain"
}

// transferIdle transfers the idle tokens of budgets that this host is not a keeper of to a keeper.
func (a *Allocator) transferIdle(ctx context.Context, pw *partitionWriter) {
	if a.opts.TransferIdle == nil {
		return
	}
	idle := a.debitIdle(pw, time.Now())
	if len(idle) == 0 {
		return
	}
	a.reportRemaining(idle)
	// In a goroutine of its own, since a keeper that does not respond must not delay the writer's
	// rounds.
	guard.Go("idle tokens", func() {
		for organisation, tokens := range idle {
			result := a.opts.TransferIdle(ctx, organisation, tokens)
			if result == TransferDeclined {
				a.undoTransfer(organisation, tokens)
			} // else they are another host's, or count as spent
			log.WithFields(log.Fields{"organisation": organisation, "tokens": tokens, "result": result}).Debug("transfer of idle tokens to a keeper finished")
		}
	})
}

// reportRemaining reports what is left here of budgets whose idle tokens are about to be
// transferred.
func (a *Allocator) reportRemaining(idle map[string]int64) {
	if a.opts.BeforeTransfer == nil {
		return
	}
	for organisation := range idle {
		if h, ok := a.Holding(organisation); ok {
			a.opts.BeforeTransfer(h)
		}
	}
}

// undoTransfer credits tokens that no other host accepted.
func (a *Allocator) undoTransfer(organisation string, tokens int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if al := a.allocations[organisation]; al != nil {
		al.free += tokens
		al.totals.Given -= tokens
		al.obtainedAt = time.Now()
		a.notifyWaiters()
	}
}

// debitIdle debits the idle tokens of a writer's budgets.
func (a *Allocator) debitIdle(pw *partitionWriter, now time.Time) map[string]int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	idle := map[string]int64{}
	for organisation, al := range a.allocations {
		if a.writerOf(organisation) != pw || al.free == 0 || !al.idle(now) || !al.spendable() {
			continue
		}
		if _, keeper := a.keepers(organisation, al); !keeper {
			idle[organisation] = al.debitFree()
		}
	}
	return idle
}

// TransferAll transfers all free tokens to other hosts and stops taking more; transfer reports
// whether a host accepted them. Without a response in time they count as spent.
func (a *Allocator) TransferAll(ctx context.Context, transfer func(ctx context.Context, organisation string, tokens int64) bool) {
	a.mu.Lock()
	a.closing = true
	free := map[string]int64{}
	for organisation, al := range a.allocations {
		if al.free > 0 && al.spendable() {
			free[organisation] = al.debitFree()
		}
	}
	a.mu.Unlock()
	var wg sync.WaitGroup
	slots := make(chan struct{}, maxParallelTransfers)
	for organisation, tokens := range free {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			accepted := transfer(ctx, organisation, tokens)
			log.WithFields(log.Fields{"organisation": organisation, "tokens": tokens, "took": accepted}).Info("transfer of free tokens to another host finished")
		})
	}
	wg.Wait()
}

// Transfer is tokens that one host gives to another for good.
type Transfer struct {
	ID           string // unique among all transfers; a sender without a response repeats it
	Organisation string
	Tokens       int64
}

// Credit credits a transfer once, however often it arrives, and reports whether it was accepted. A
// host that is stopping or does not know the budget accepts none.
func (a *Allocator) Credit(transfer Transfer) (accepted bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if previous, known := a.transfers.previous(transfer.ID); known {
		return previous
	}
	al := a.allocations[transfer.Organisation]
	accepted = !a.closing && al != nil && transfer.Tokens > 0
	a.transfers.record(transfer.ID, accepted)
	if accepted {
		al.free += transfer.Tokens
		al.totals.Received += transfer.Tokens
		a.notifyWaiters()
	}
	return accepted
}

// debitFree debits all free tokens for a transfer and returns their number.
func (al *allocation) debitFree() int64 {
	debited := al.free
	al.free = 0
	al.totals.Given += debited
	return debited
}
