package node

import (
	"context"
	"sync"
	"time"

	log "github.com/sirupsen/logrus"

	"maststage.dev/router/limit"
	"maststage.dev/router/replica"
	"maststage.dev/router/settings"
	"maststage.dev/router/target"
)

// limitCheckInterval is the time between two checks of the target limits that this host is to publish.
const limitCheckInterval = 250 * time.Millisecond

// limitNotices queues the notices of target limits from the hosts' topic. They can't be applied while
// the topic's replica is locked, as the choice of a target reads that replica.
type limitNotices struct {
	mu      sync.Mutex
	pending []limit.Notice
	arrived chan struct{} // full: some are pending
}

func newLimitNotices() *limitNotices { return &limitNotices{arrived: make(chan struct{}, 1)} }

// changed queues the notices among changes of the hosts' topic.
func (l *limitNotices) changed(changes []replica.Change) {
	for _, c := range changes {
		notice, ok, err := limit.ParseNotice(c.Record)
		switch {
		case !ok:
		case err != nil:
			log.WithField("key", c.Record.Key).WithError(err).Warn("ignoring an invalid notice of a target limit")
		default:
			l.add(notice)
		}
	}
}

func (l *limitNotices) add(notice limit.Notice) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending = append(l.pending, notice)
	select {
	case l.arrived <- struct{}{}:
	default:
	}
}

func (l *limitNotices) takeAll() []limit.Notice {
	l.mu.Lock()
	defer l.mu.Unlock()
	pending := l.pending
	l.pending = nil
	return pending
}

// exchangeLimits applies notices of target limits from other hosts, and publishes this host's, until ctx ends.
func (n *Node) exchangeLimits(ctx context.Context) {
	for ctx.Err() == nil {
		for _, notice := range n.limitNotices.takeAll() {
			n.targets.ApplyLimitNotice(notice)
		}
		for _, notice := range n.targets.DueLimitNotices(time.Now()) {
			n.publishLimit(ctx, notice)
		}
		n.waitForLimits(ctx)
	}
}

// waitForLimits waits for notices, or for the next check.
func (n *Node) waitForLimits(ctx context.Context) {
	timer := time.NewTimer(limitCheckInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-n.limitNotices.arrived:
	case <-timer.C:
	}
}

// publishLimit writes a notice to the hosts' topic. One that fails is due again later.
func (n *Node) publishLimit(ctx context.Context, notice limit.Notice) {
	notice.Host = n.cfg.Host.Name
	rec, err := notice.Record()
	if err == nil {
		err = n.writeHosts(ctx, rec)
	}
	entry := log.WithFields(log.Fields{"target": notice.Target, "in_force": notice.InForce, "per_second": notice.PerSecond})
	if err != nil {
		entry.WithError(err).Warn("notice of a target limit not written, retrying later")
		return
	}
	entry.Info("notice of a target limit written")
}

// limitBounds is the operator's bounds for targets that advertise rate limits.
func limitBounds(b settings.Bounds) target.LimitBounds {
	return target.LimitBounds{Overrun: b.LimitOverrun, Slack: b.LimitSlack, Window: settings.Seconds(b.LimitWindowS)}
}
