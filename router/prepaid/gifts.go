package prepaid

import (
	"context"
	"sync"
	"time"

	log "github.com/sirupsen/logrus"

	"maststage.dev/lib/guard"
)

// giveIdle gives the tokens of budgets that this host is no keeper of and has not
// used for a while to a keeper.
func (t *Allocator) giveIdle(ctx context.Context, c *clerk) {
	if t.opts.TransferIdle == nil {
		return
	}
	idle := t.takeIdle(c, time.Now())
	if len(idle) == 0 {
		return
	}
	t.tellLeft(idle)
	// Beside the clerk: a keeper that does not answer must not hold up its rounds.
	guard.Go("idle tokens", func() {
		for organisation, tokens := range idle {
			// Without an answer they count as spent.
			took := t.opts.TransferIdle(ctx, organisation, tokens)
			log.WithFields(log.Fields{"organisation": organisation, "tokens": tokens, "took": took}).Debug("idle tokens given back")
		}
	})
}

// tellLeft tells what is left here of budgets whose idle tokens are given away.
func (t *Allocator) tellLeft(idle map[string]int64) {
	if t.opts.BeforeTransfer == nil {
		return
	}
	for organisation := range idle {
		if h, ok := t.Holding(organisation); ok {
			t.opts.BeforeTransfer(h)
		}
	}
}

// takeIdle debits idle tokens of a clerk's budgets.
func (t *Allocator) takeIdle(c *clerk, now time.Time) map[string]int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	idle := map[string]int64{}
	for organisation, w := range t.wallets {
		if t.clerkOf(organisation) != c || w.free == 0 || now.Sub(w.used) < idleTime || !w.spendable() {
			continue
		}
		if _, keeper := t.keeps(organisation, w); !keeper {
			idle[organisation] = w.giveAway()
		}
	}
	return idle
}

// TransferAll gives all free tokens to other hosts and takes no more; give says
// whether one took them. Without an answer in time they count as spent.
func (t *Allocator) TransferAll(ctx context.Context, give func(ctx context.Context, organisation string, tokens int64) bool) {
	t.mu.Lock()
	t.closing = true
	free := map[string]int64{}
	for organisation, w := range t.wallets {
		if w.free > 0 && w.spendable() {
			free[organisation] = w.giveAway()
		}
	}
	t.mu.Unlock()
	var all sync.WaitGroup
	turns := make(chan struct{}, handOvers)
	for organisation, tokens := range free {
		turns <- struct{}{}
		all.Go(func() {
			defer func() { <-turns }()
			took := give(ctx, organisation, tokens)
			log.WithFields(log.Fields{"organisation": organisation, "tokens": tokens, "took": took}).Info("free tokens handed over")
		})
	}
	all.Wait()
}

// Transfer is tokens that one host gives to another.
type Transfer struct {
	ID           string // unique among all gifts; a giver without an answer repeats it
	Organisation string
	Tokens       int64
}

// Credit takes in a gift, however often it comes, once; it says whether the gift was
// taken. A host that is stopping or does not know the budget takes none.
func (t *Allocator) Credit(g Transfer) (took bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if answer, known := t.gifts.answer(g.ID); known {
		return answer
	}
	w := t.wallets[g.Organisation]
	took = !t.closing && w != nil && g.Tokens > 0
	t.gifts.note(g.ID, took)
	if took {
		w.free += g.Tokens
		w.flows.Received += g.Tokens
		t.wake()
	}
	return took
}

// giveAway debits all free tokens for a gift and says how many they are.
func (w *wallet) giveAway() int64 {
	given := w.free
	w.free = 0
	w.flows.Given += given
	return given
}
