package node

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	log "github.com/sirupsen/logrus"

	"maststage.dev/lib/wait"
	"maststage.dev/router/eventlog"
	"maststage.dev/router/limit"
	"maststage.dev/router/quarantine"
	"maststage.dev/router/replica"
	"maststage.dev/router/settings"
)

// Timing after the log was restored from a copy.
const (
	// operatorRewriteTime is how long orders that a restored log lacks are kept for the operator to write them again.
	operatorRewriteTime = 5 * time.Second
	// hostsRewriteTime is the same for the records of hosts, of which one may be cut off meanwhile.
	hostsRewriteTime = 30 * time.Second
	// rewriteDelay is how long a host waits before it writes lost records again, since their writers may do so.
	rewriteDelay = time.Second
	// maxRewrites is how often it tries.
	maxRewrites = 5
	// confirmInterval is the least time between two reads of the hosts' topic while other hosts have not confirmed.
	confirmInterval = 500 * time.Millisecond
	// confirmIntervalPerHost bounds these reads in a large fleet, to 200 a second of all hosts.
	confirmIntervalPerHost = 5 * time.Millisecond
	// confirmTime is how long a host waits for the others.
	confirmTime = 10 * time.Second
)

// eraSeen notes an era of the log. It does not block.
func (n *Node) eraSeen(era int64) {
	for seen := n.logEra.Load(); era > seen; seen = n.logEra.Load() {
		n.logEra.CompareAndSwap(seen, era)
	}
	select {
	case n.eraChanged <- struct{}{}:
	default:
	}
}

// followEras handles each restoration of the log until ctx ends.
func (n *Node) followEras(ctx context.Context) {
	newest := int64(0)
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.eraChanged:
			era := n.logEra.Load()
			if era <= newest {
				continue
			}
			newest = era
			n.observer.Count("log_restored_total")
			n.allocator.SetLogEra(era)
			for _, c := range append(n.servingReplicas(), n.rollouts.states) {
				c.Refresh()
			}
			n.awaitConfirmations(ctx, era)
			n.rewriteLost(ctx, era)
		}
	}
}

// awaitConfirmations reads the other hosts' announcements until all have confirmed the era, confirmTime has passed or
// the log was restored again.
func (n *Node) awaitConfirmations(ctx context.Context, era int64) {
	pause := max(confirmInterval, time.Duration(n.fleet.Size())*confirmIntervalPerHost)
	for end := time.Now().Add(confirmTime); time.Now().Before(end) && n.logEra.Load() == era && ctx.Err() == nil; {
		wait.For(ctx, wait.Jitter(pause))
		if n.fleet.HostsConfirmed(era) {
			return
		}
		n.hostsReplica.Refresh()
	}
}

// rewriteLost writes the records again that hosts had written and a restored log lacks. One host does that for all.
func (n *Node) rewriteLost(ctx context.Context, era int64) {
	for range maxRewrites {
		wait.For(ctx, rewriteDelay)
		if ctx.Err() != nil || n.logEra.Load() != era || !n.fleet.IsPrimary("lost records") {
			return
		}
		done := n.rewrite(ctx, n.env.HostsTopic, n.hostsReplica, isHostsRecord)
		done = n.rewrite(ctx, n.env.StatusTopic, n.rollouts.states, func(string) bool { return true }) && done
		if done {
			return
		}
	}
}

// isHostsRecord reports whether a key of the hosts' topic is of a record that any host may write: each host announces
// itself.
func isHostsRecord(key string) bool {
	return strings.HasPrefix(key, quarantine.KeyPrefix) || strings.HasPrefix(key, limit.KeyPrefix)
}

// rewrite appends the lost records of a topic whose keys are wanted, unless the log has records that this host has not
// read. It reports whether none is lost any more.
func (n *Node) rewrite(ctx context.Context, topic string, c *replica.Replica, wanted func(key string) bool) (done bool) {
	lost := slices.DeleteFunc(c.Lost(), func(rec eventlog.Record) bool { return !wanted(rec.Key) })
	if len(lost) == 0 {
		return true
	}
	call, cancel := context.WithTimeout(ctx, settings.Milliseconds(n.cfg.Log.TimeoutMs))
	defer cancel()
	_, err := n.env.Log.AppendAt(call, eventlog.Partition{Topic: topic}, c.End(), lost)
	entry := log.WithFields(log.Fields{"topic": topic, "records": len(lost)})
	if err != nil {
		entry.WithError(err).Warn("lost records not written again, retrying")
		c.Refresh()
		return false
	}
	entry.Info("lost records written again")
	return true
}

// writtenOff counts tokens of an organisation that a restored log may have lost.
func (n *Node) writtenOff(organisation string, tokens int64) {
	n.observer.Add(fmt.Sprintf("tokens_written_off_total{organisation=%q}", organisation), int(tokens))
}
