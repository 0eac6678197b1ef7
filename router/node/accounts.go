package node

import (
	"context"
	"sync"
	"time"

	log "github.com/sirupsen/logrus"

	"maststage.dev/router/prepaid"
	"maststage.dev/router/settings"
)

// mostAccounts bounds the lines about budgets that are written at a time.
const mostAccounts = 200

// tellAccounts writes now and again where this host's part of each budget came from and
// went to, until ctx ends. The lines of all hosts together tell where an organisation's
// tokens are. The function that it gives ends it with a last line for each.
func (n *Node) tellAccounts(ctx context.Context) (last func()) {
	ctx, cancel := context.WithCancel(ctx)
	var telling sync.WaitGroup
	telling.Go(func() { n.tellUntil(ctx) })
	return func() {
		cancel()
		telling.Wait()
		n.accounts.tell(n.treasury.Holdings())
	}
}

func (n *Node) tellUntil(ctx context.Context) {
	if n.cfg.Output.AccountS <= 0 {
		return
	}
	tick := time.NewTicker(settings.Seconds(n.cfg.Output.AccountS))
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			n.accounts.tell(n.treasury.Holdings())
			n.calls.Tell()
		}
	}
}

// accounts writes lines about budgets whose tokens moved since the line before.
type accounts struct {
	incarnation string

	mu   sync.Mutex
	told map[string]prepaid.Holding
}

func newAccounts(incarnation string) *accounts {
	return &accounts{incarnation: incarnation, told: map[string]prepaid.Holding{}}
}

// tell writes a line for each holding that changed.
func (a *accounts) tell(list []prepaid.Holding) {
	a.mu.Lock()
	defer a.mu.Unlock()
	lines := 0
	for _, h := range list {
		if h.Totals == (prepaid.Totals{}) || h == a.told[h.Organisation] || lines == mostAccounts {
			continue
		}
		lines++
		a.told[h.Organisation] = h
		log.WithFields(log.Fields{
			"incarnation": a.incarnation, "organisation": h.Organisation, "keeper": h.Keeper,
			"free": h.Free, "reserved": h.Reserved, "granted": h.Granted, "limit": h.Limit, "offset": h.Offset,
			"taken": h.Totals.Taken, "returned": h.Totals.Returned, "borrowed": h.Totals.Borrowed, "lent": h.Totals.Lent,
			"recalled": h.Totals.Recalled, "given": h.Totals.Given, "received": h.Totals.Received, "used": h.Totals.Used,
		}).Info("budget held")
	}
}
