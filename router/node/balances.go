package node

import (
	"context"
	"sync"
	"time"

	log "github.com/sirupsen/logrus"

	"maststage.dev/router/prepaid"
	"maststage.dev/router/settings"
)

// maxBalanceLines bounds the balance lines that are logged at a time.
const maxBalanceLines = 200

// startBalanceLog logs at intervals where this host's allocation of each budget came from and went
// to, until ctx ends. The lines of all hosts together account for all tokens of an organisation. The
// function that it returns stops it and logs a last line for each budget.
func (n *Node) startBalanceLog(ctx context.Context) (last func()) {
	ctx, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	running.Go(func() { n.logBalances(ctx) })
	return func() {
		cancel()
		running.Wait()
		n.balances.write(n.allocator.Holdings())
	}
}

func (n *Node) logBalances(ctx context.Context) {
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
			n.balances.write(n.allocator.Holdings())
			n.calls.LogCounts()
		}
	}
}

// balanceLog logs the balances of budgets whose tokens moved since the last line.
type balanceLog struct {
	incarnation string

	mu     sync.Mutex
	logged map[string]prepaid.Holding
}

func newBalanceLog(incarnation string) *balanceLog {
	return &balanceLog{incarnation: incarnation, logged: map[string]prepaid.Holding{}}
}

// write logs a line for each holding that changed.
func (b *balanceLog) write(list []prepaid.Holding) {
	b.mu.Lock()
	defer b.mu.Unlock()
	lines := 0
	for _, h := range list {
		h.Wanted = 0 // it changes without any tokens being moved
		if h.Totals == (prepaid.Totals{}) || h == b.logged[h.Organisation] || lines == maxBalanceLines {
			continue
		}
		lines++
		b.logged[h.Organisation] = h
		log.WithFields(log.Fields{
			"incarnation": b.incarnation, "organisation": h.Organisation, "keeper": h.Keeper,
			"free": h.Free, "reserved": h.Reserved, "granted": h.Granted, "limit": h.Limit, "era": h.Era, "offset": h.Offset, "written_off": h.WrittenOff,
			"taken": h.Totals.Taken, "returned": h.Totals.Returned, "borrowed": h.Totals.Borrowed, "lent": h.Totals.Lent,
			"recalled": h.Totals.Recalled, "given": h.Totals.Given, "received": h.Totals.Received, "used": h.Totals.Used,
		}).Info("budget held")
	}
}
