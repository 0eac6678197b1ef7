package node

import (
	"fmt"
	"time"

	"maststage.dev/router/fleet"
	"maststage.dev/router/logcount"
	"maststage.dev/router/replica"
)

// registerGauges registers the gauges of the node's components, which are read on each scrape.
func (n *Node) registerGauges() {
	n.observer.RegisterHoldings(n.allocator.Holdings)
	n.observer.RegisterLimits(n.targets.Limits)
	n.observer.RegisterBalance(n.targets.BalanceStatuses)
	n.observer.RegisterGauge("keys_spread", func() float64 { return float64(n.targets.Balance().KeysSpread(time.Now())) })
	n.observer.RegisterGauge("streams_remembered", func() float64 { return float64(n.streams.Len()) })
	n.observer.RegisterGauge("open_requests", func() float64 { return float64(n.handler.InFlight()) })
	n.registerCapacityGauges()
	n.observer.RegisterGauge("clients_held_bytes", func() float64 { return float64(n.inbound.Bytes()) })
	n.observer.RegisterGauge("clients_connections", func() float64 { return float64(n.inbound.Connections()) })
	n.observer.RegisterGauge("unread_bytes", func() float64 { return float64(n.unread.Held()) })
	n.observer.RegisterGauge("targets_unread_bytes", func() float64 { return float64(n.unsent.Held()) })
	n.observer.RegisterGauge("hosts", func() float64 { return float64(n.fleet.Size()) })
	n.observer.RegisterGauge("targets_ready", func() float64 { return float64(n.targets.TotalReady()) })
	n.observer.RegisterGauge("services_out_of_reach", func() float64 { return float64(n.reach.CutServices()) })
	n.observer.RegisterGauge("tunnels_open", func() float64 { return float64(n.tunnels.Open()) })
	n.observer.RegisterGauge("tunnels_carried", func() float64 { return float64(n.tunnelServer.Open()) })
	n.observer.RegisterGauge("targets_brittle", func() float64 { return float64(n.targets.CountBrittle()) })
	n.observer.RegisterGauge("permits_scheduled", func() float64 { return float64(n.permitServer.InUse()) })
	n.observer.RegisterGauge("targets_announced_exit", func() float64 { return float64(n.targets.CountAnnouncedExits()) })
	n.observer.RegisterGauge("targets_backing_off", func() float64 { return float64(n.targets.CountBackingOff(time.Now())) })
	for topic, c := range map[string]*replica.Replica{
		n.env.ConfigTopic: n.configReplica, n.env.TargetsTopic: n.targetsReplica, n.env.HostsTopic: n.hostsReplica,
	} {
		n.observer.RegisterGauge(fmt.Sprintf("copy_end{topic=%q}", topic), func() float64 { return float64(c.End().Offset) })
		n.observer.RegisterGauge(fmt.Sprintf("copy_era{topic=%q}", topic), func() float64 { return float64(c.End().Era) })
		n.observer.RegisterGauge(fmt.Sprintf("copy_age_seconds{topic=%q}", topic), func() float64 { return replicaAge(c) })
	}
	for _, source := range fleet.Sources() {
		n.observer.RegisterGauge(fmt.Sprintf("log_source{source=%q}", source), func() float64 { return gaugeOf(n.fleet.Source() == source) })
	}
	n.observer.RegisterGauge("budgets_held_elsewhere", func() float64 { return float64(n.holders.Len(time.Now())) })
	n.observer.RegisterGauge("quarantine_entries", func() float64 { return float64(n.guard.Len()) })
	n.observer.RegisterGauge("domains_evacuated", func() float64 { return float64(n.targets.CountEvacuatedDomains()) })
	n.observer.RegisterGauge("config_version", func() float64 {
		if c := n.handler.Config(); c != nil {
			return float64(c.Version)
		}
		return 0
	})
}

// countCall counts a call to the log.
func (n *Node) countCall(k logcount.Key, bytes int64) {
	n.observer.Count(fmt.Sprintf("log_calls_total{topic=%q,call=%q,outcome=%q}", k.Topic, k.Call, k.Outcome))
	if bytes > 0 {
		n.observer.Add(fmt.Sprintf("log_read_bytes_total{topic=%q}", k.Topic), int(bytes))
	}
}

// replicaAge is the time in seconds since the log last confirmed a topic, -1 if it never did.
func replicaAge(c *replica.Replica) float64 {
	_, lastContact := c.Up()
	if lastContact.IsZero() {
		return -1
	}
	return time.Since(lastContact).Seconds()
}

// registerCapacityGauges registers the gauges about the host's link if its speed is known.
func (n *Node) registerCapacityGauges() {
	if n.capacity == nil {
		return
	}
	n.observer.RegisterGauge("link_use_ratio", func() float64 { return n.capacity.Use(time.Now()) })
	n.observer.RegisterGauge("host_takes_callers", func() float64 { return gaugeOf(!n.capacity.Out(time.Now())) })
}

// gaugeOf is the value of a gauge that is 1 while something holds.
func gaugeOf(holds bool) float64 {
	if holds {
		return 1
	}
	return 0
}
