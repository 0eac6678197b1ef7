package node

import (
	"context"
	"time"

	"maststage.dev/lib/guard"
	"maststage.dev/router/eventlog"
	"maststage.dev/router/quarantine"
	"maststage.dev/router/replica"
	"maststage.dev/router/settings"
)

// newGuard makes the guard against requests that crash targets. Its entries are stored in the hosts'
// topic: a topic of their own would cost each host a call to the log every three seconds, for a few
// entries per day.
func (n *Node) newGuard() {
	n.guard = quarantine.New(quarantine.Options{
		Host:         n.cfg.Host.Name,
		Write:        n.writeHosts,
		OnQuarantine: func(d quarantine.Digest) { n.handler.AbortWaiting(d) },
		Count:        func(name string) { n.observer.Count(name) },
		Go:           guard.Go,
	})
}

// writeHosts writes a record to the hosts' topic.
func (n *Node) writeHosts(ctx context.Context, rec eventlog.Record) error {
	call, cancel := context.WithTimeout(ctx, settings.Milliseconds(n.cfg.Log.TimeoutMs))
	defer cancel()
	_, err := n.env.Log.Append(call, eventlog.Partition{Topic: n.env.HostsTopic}, []eventlog.Record{rec})
	return err
}

// hostsChanged applies changes of the hosts' topic.
func (n *Node) hostsChanged(changes []replica.Change) {
	n.fleet.HandleChanges(changes)
	n.guard.ApplyChanges(changes)
	n.limitNotices.changed(changes)
}

// quarantineLoadTimeout is how long a starting host waits for the requests in quarantine before it is
// ready without them: an unreachable log must not keep all hosts from serving.
const quarantineLoadTimeout = time.Second

// quarantineLoaded reports whether the host knows enough of the requests in quarantine to serve.
func (n *Node) quarantineLoaded() bool {
	return n.hostsReplica.Loaded() || time.Since(n.started) > quarantineLoadTimeout
}
