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

// limitLook is the time between two looks at what this host is to write about limits of targets.
const limitLook = 250 * time.Millisecond

// limitNotices keeps what the hosts' topic told of limits of targets until it is taken over: that
// can't be done while the topic's copy is locked, since the choice of a target looks into it.
type limitNotices struct {
	mu      sync.Mutex
	waiting []limit.Notice
	arrived chan struct{} // full: some are waiting
}

func newLimitNotices() *limitNotices { return &limitNotices{arrived: make(chan struct{}, 1)} }

// changed notes the notices among what the hosts' topic tells.
func (l *limitNotices) changed(changes []replica.Change) {
	for _, c := range changes {
		notice, ok, err := limit.ParseNotice(c.Record)
		switch {
		case !ok:
		case err != nil:
			log.WithField("key", c.Record.Key).WithError(err).Warn("notice of a limit can't be read")
		default:
			l.add(notice)
		}
	}
}

func (l *limitNotices) add(n limit.Notice) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.waiting = append(l.waiting, n)
	select {
	case l.arrived <- struct{}{}:
	default:
	}
}

func (l *limitNotices) takeAll() []limit.Notice {
	l.mu.Lock()
	defer l.mu.Unlock()
	waiting := l.waiting
	l.waiting = nil
	return waiting
}

// followLimits takes over what other hosts tell of limits of targets, and tells them, until ctx ends.
func (n *Node) followLimits(ctx context.Context) {
	for ctx.Err() == nil {
		for _, notice := range n.limitNotices.takeAll() {
			n.targets.ApplyLimitNotice(notice)
		}
		for _, notice := range n.targets.DueLimitNotices(time.Now()) {
			n.writeLimit(ctx, notice)
		}
		n.untilLimits(ctx)
	}
}

// untilLimits waits for notices, or for the next look.
func (n *Node) untilLimits(ctx context.Context) {
	timer := time.NewTimer(limitLook)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-n.limitNotices.arrived:
	case <-timer.C:
	}
}

// writeLimit writes a notice. One that fails is due again later.
func (n *Node) writeLimit(ctx context.Context, notice limit.Notice) {
	notice.Host = n.cfg.Host.Name
	rec, err := notice.Record()
	if err == nil {
		err = n.writeHosts(ctx, rec)
	}
	entry := log.WithFields(log.Fields{"target": notice.Target, "in_force": notice.InForce, "per_second": notice.PerSecond})
	if err != nil {
		entry.WithError(err).Warn("hosts not told of a target's limit")
		return
	}
	entry.Info("hosts told of a target's limit")
}

// limitBounds is what the operator allows targets that name limits to get.
func limitBounds(b settings.Bounds) target.LimitBounds {
	return target.LimitBounds{Overrun: b.LimitOverrun, Slack: b.LimitSlack, Window: settings.Seconds(b.LimitWindowS)}
}
