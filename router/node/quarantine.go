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

// newGuard makes the guard against requests that crash targets. Its entries last in the
// hosts' topic: a topic of their own would cost each host a call to the log every three
// seconds, for some entries a day.
func (n *Node) newGuard() {
	n.guard = quarantine.New(quarantine.Options{
		Host:         n.cfg.Host.Name,
		Write:        n.writeHosts,
		OnQuarantine: func(d quarantine.Digest) { n.handler.AbortWaiting(d) },
		Count:        func(name string) { n.observer.Count(name) },
		Go:           guard.Go,
	})
}

// writeHosts puts a record into the hosts' topic.
func (n *Node) writeHosts(ctx context.Context, rec eventlog.Record) error {
	call, cancel := context.WithTimeout(ctx, settings.Milliseconds(n.cfg.Log.TimeoutMs))
	defer cancel()
	_, err := n.outside.Log.Append(call, eventlog.Partition{Topic: n.outside.HostsTopic}, []eventlog.Record{rec})
	return err
}

// hostsChanged takes over what the hosts' topic tells.
func (n *Node) hostsChanged(changes []replica.Change) {
	n.fleet.HandleChanges(changes)
	n.guard.ApplyChanges(changes)
	n.limitNotices.changed(changes)
}

// quarantinePatience is how long a host that started waits for the requests in quarantine
// before it is ready without them: a log that is out of reach must not keep all hosts from
// serving.
const quarantinePatience = time.Second

// knowsQuarantine says whether the host may serve as far as requests in quarantine go.
func (n *Node) knowsQuarantine() bool {
	return n.hostsCopy.Loaded() || time.Since(n.started) > quarantinePatience
}
