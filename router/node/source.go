package node

import (
	"context"
	"time"

	"maststage.dev/router/eventlog"
	"maststage.dev/router/logcount"
	"maststage.dev/router/replica"
	"maststage.dev/router/settings"
)

// In a large fleet a few hosts read the log's topics for all others. This file has what a host does differently by the
// source that it has them from, and what it assumes while it does not know the size of the fleet.

// follow returns how a topic is followed at another host that reads the log.
func (n *Node) follow(topic string) func(context.Context, eventlog.Position) (replica.Update, bool, error) {
	return func(ctx context.Context, from eventlog.Position) (replica.Update, bool, error) {
		return n.fleet.Follow(ctx, topic, from)
	}
}

// Intervals between reads of a topic that this host follows at another one, or reads for others. Together they are no
// longer than hostsPollInterval, so that news take as long as where each host reads the log.
const (
	followInterval = 2 * time.Second
	readInterval   = time.Second
	// followedListInterval is that of the list of targets: while many targets start, each call brings many entries.
	followedListInterval = time.Second
	readerLongPoll       = 400 * time.Millisecond
)

// topicInterval returns the minimum time between two reads of a topic, of which a host that reads alone makes one every
// interval.
func (n *Node) topicInterval(interval time.Duration) time.Duration {
	switch reads, forOthers := n.fleet.ReadsLog(); {
	case forOthers:
		return min(interval, readInterval)
	case !reads:
		return min(interval, followInterval)
	}
	return interval
}

// longPoll is how long the log may hold a read of this host. What a host reads for others is older when they have it.
func (n *Node) longPoll() time.Duration {
	if _, forOthers := n.fleet.ReadsLog(); forOthers {
		return readerLongPoll
	}
	return settings.Milliseconds(n.cfg.Log.LongPollMs)
}

// listInterval is the minimum time between two reads of the list of targets.
func (n *Node) listInterval() time.Duration {
	interval := settings.Milliseconds(n.cfg.Log.PaceMs)
	if reads, _ := n.fleet.ReadsLog(); !reads {
		return max(interval, followedListInterval)
	}
	return interval
}

// refreshReplicas starts new reads of all topics.
func (n *Node) refreshReplicas() {
	for _, c := range n.servingReplicas() {
		c.Refresh()
	}
}

// peakHostCount counts the hosts that may call the log at once.
func (n *Node) peakHostCount() int { return n.fleet.PeakSize() }

// groups returns the log's groups, of which calls are counted, nil if there are none.
func (n *Node) groups() eventlog.Groups {
	if n.env.Groups == nil {
		return nil
	}
	return logcount.NewGroups(n.env.Groups, n.calls)
}

// unknownSize is the number of hosts that is assumed while it is not known: a small fleet loses little by it in its first
// seconds, and the accounts of a large one are not read by all hosts at once.
const unknownSize = 1000

// hostsToShareWith is the number of hosts, this one included, that the log's calls for accounts are divided among.
func (n *Node) hostsToShareWith() int {
	if !n.fleet.SizeKnown() {
		return max(n.fleet.Size(), unknownSize)
	}
	return n.fleet.Size()
}

// peakHosts is the number of hosts, this one included, that the log's calls for accounts may come from at once.
func (n *Node) peakHosts() int { return max(n.fleet.PeakSize(), n.hostsToShareWith()) }

// logSilence is how long ago the log last responded, as far as a host that follows readers noticed it late.
func (n *Node) logSilence() time.Duration {
	if reads, _ := n.fleet.ReadsLog(); reads || !n.configReplica.Loaded() {
		return 0
	}
	return n.configReplica.Age()
}
