package prepaid

import (
	"context"
	"time"

	log "github.com/sirupsen/logrus"

	"maststage.dev/lib/wait"
)

// A host that missed versions of the configuration does not know whether a budget was
// lowered in them, so it spends none of a budget whose limit changed until it has seen the
// account under the newest version. While it can't reach the log that may take long, though
// nearly all changes raise a limit. Other hosts that saw every version tell it which
// budgets were lowered; what was not is spent on.
//
// Without that, a host to which most callers of a large organisation came refused 1,175
// requests in 10 s with a tenth of the budget in its hands, and those that borrow from
// others refused likewise: 0.01 to 0.02 of a day's worth on days on which the log turns a
// third of the hosts away.

// LimitHistory is what a host knows of the limits of budgets over some versions.
type LimitHistory struct {
	Since, UpTo int64 // it saw each version between them
	// Lowered is the newest version that lowered the limit of an organisation; those whose
	// limit was never lowered are left out.
	Lowered map[string]int64
}

// gap is versions that this host did not see.
type gap struct {
	after int64 // the last version before them
	until int64 // the first version behind them; 0: there is no gap
}

// noteVersion takes a version into the history; missed says that versions before it may
// have been skipped. The lock is held.
func (t *Allocator) noteVersion(version int64, missed bool) {
	switch {
	case t.history.UpTo == 0:
		t.history.Since = version
	case missed && t.gap.until == 0:
		t.gap = gap{after: t.history.UpTo, until: version}
	case missed:
		t.gap.until = version
	}
	t.history.UpTo = version
}

// noteLowered notes that a version lowered a limit; the lock is held.
func (t *Allocator) noteLowered(organisation string, version int64) {
	t.history.Lowered[organisation] = max(t.history.Lowered[organisation], version)
}

// History is what this host can tell others: what it saw since its last gap.
func (t *Allocator) History() LimitHistory {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := LimitHistory{Since: max(t.history.Since, t.gap.until), UpTo: t.history.UpTo, Lowered: map[string]int64{}}
	for organisation, version := range t.history.Lowered {
		h.Lowered[organisation] = version
	}
	return h
}

// missed says which versions this host did not see and can't spend budgets for.
func (t *Allocator) missed() (g gap, waits bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.gap.until == 0 {
		return t.gap, false
	}
	for _, w := range t.wallets {
		if w.unseen > 0 && w.account.Version < w.verify {
			return t.gap, true
		}
	}
	return t.gap, false
}

// learn takes in what another host saw, and says whether that fills this host's gap.
func (t *Allocator) learn(h LimitHistory) (filled bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.gap.until == 0 || h.Since > t.gap.after || h.UpTo < t.gap.until {
		return false
	}
	freed := 0
	for organisation, w := range t.wallets {
		lowered := h.Lowered[organisation]
		if lowered > 0 {
			t.noteLowered(organisation, lowered)
		}
		if w.unseen == 0 {
			continue
		}
		if lowered <= t.gap.after {
			w.verify = w.unseen - 1
			freed++
		}
		w.unseen = 0
	}
	log.WithFields(log.Fields{"after": t.gap.after, "until": t.gap.until, "budgets": freed}).Info("another host saw the missed versions: budgets not lowered are spent on")
	t.gap = gap{}
	t.wake()
	return true
}

// Pauses between two hosts that are asked what they saw. A call takes a few ms, and budgets
// are refused meanwhile; where all hosts missed the same versions, as after the log forgot
// its history, none can tell and the accounts themselves will.
const (
	historyPause     = 50 * time.Millisecond // before the second host; it doubles each time
	mostHistoryPause = 800 * time.Millisecond
)

// fillGaps asks other hosts for missed versions until ctx ends.
func (t *Allocator) fillGaps(ctx context.Context) {
	if t.opts.FetchHistory == nil {
		return
	}
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-t.gapped:
		}
		for pause := historyPause; ctx.Err() == nil; pause = min(2*pause, mostHistoryPause) {
			g, waits := t.missed()
			if !waits {
				break
			}
			if h, ok := t.opts.FetchHistory(ctx, g.after); ok && t.learn(h) {
				break
			}
			wait.For(ctx, wait.Jitter(pause))
		}
	}
}
