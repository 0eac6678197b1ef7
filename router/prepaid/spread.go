package prepaid

import (
	"context"
	"math/rand/v2"
	"time"

	"maststage.dev/lib/wait"
)

// callSpacing is the mean time between the calls of all hosts for accounts that they don't need now: when all start at
// once, and when the log refuses calls. The log has other calls to serve.
const callSpacing = 300 * time.Microsecond

// spread is the time over which such calls of all hosts are spread. In a small fleet it is short.
func (pw *partitionWriter) spread() time.Duration {
	a := pw.allocator
	hosts := a.opts.Hosts
	if a.opts.PeakHosts != nil {
		hosts = a.opts.PeakHosts
	}
	return time.Duration(hosts()*len(a.writers)) * callSpacing
}

// backOff pauses after a number of failures in a row. A writer whose accounts are needed now pauses less long.
func (pw *partitionWriter) backOff(ctx context.Context, failures int) {
	until := time.Now().Add(wait.Jitter(min(minBackoff<<min(failures, maxSpreadDoublings), pw.spread())))
	wait.For(ctx, wait.Jitter(min(minBackoff<<min(failures, maxDoublings), maxBackoff)))
	for ctx.Err() == nil && time.Now().Before(until) && !pw.needed() {
		wait.For(ctx, min(time.Until(until), maxBackoff))
	}
}

// needed reports whether this host draws on an account now, or holds tokens of it.
func (pw *partitionWriter) needed() bool {
	a := pw.allocator
	a.mu.Lock()
	defer a.mu.Unlock()
	for organisation, al := range a.allocations {
		if a.writerOf(organisation) != pw {
			continue
		}
		if _, keeper := a.keepers(organisation, al); keeper || al.free > 0 || len(al.waiting) > 0 || al.unmetDemand {
			return true
		}
	}
	return false
}

// defersLoad reports whether the first load of the accounts is yet to wait for its turn among those of all hosts.
func (pw *partitionWriter) defersLoad() bool {
	now := time.Now()
	if pw.firstLoad.IsZero() {
		pw.firstLoad = now.Add(rand.N(pw.spread() + 1))
	}
	return now.Before(pw.firstLoad) && !pw.needed()
}
