package node

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	log "github.com/sirupsen/logrus"

	"maststage.dev/router/eventlog"
	"maststage.dev/router/prepaid"
	"maststage.dev/router/replica"
	"maststage.dev/router/routing"
	"maststage.dev/router/settings"
	"maststage.dev/router/target"
)

// configChange is a configuration that was read and not applied yet.
type configChange struct {
	value []byte
	gap   bool // earlier versions may have been missed
}

// configQueue holds the configurations that were read and not applied yet, oldest first. Only
// the newest is applied, but budgets must see the limits of each: if a limit was raised and set
// back between two versions, other hosts may have taken tokens under the raised limit.
type configQueue struct {
	mu      sync.Mutex
	pending []configChange
	bytes   int
}

// maxPendingConfigBytes bounds the queued configurations: as much as the log sends at once, and what
// arrives while that is decoded.
const maxPendingConfigBytes = 2 << 20

// add queues a configuration. If the queue is too large the oldest are dropped, and the next one is
// marked as following a gap.
func (q *configQueue) add(change configChange) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.pending = append(q.pending, change)
	q.bytes += len(change.value)
	for q.bytes > maxPendingConfigBytes && len(q.pending) > 1 {
		q.bytes -= len(q.pending[0].value)
		q.pending = q.pending[1:]
		q.pending[0].gap = true
	}
}

// takeAll empties the queue.
func (q *configQueue) takeAll() []configChange {
	q.mu.Lock()
	defer q.mu.Unlock()
	pending := q.pending
	q.pending, q.bytes = nil, 0
	return pending
}

// configChanged queues new configurations. They are decoded elsewhere so that the replica of the topic
// is not held up.
func (n *Node) configChanged(changes []replica.Change) {
	added := false
	for _, c := range changes {
		if n.evacuationChanged(c) || n.rollouts.orderChanged(c) {
			continue
		}
		if c.Record.Key != n.env.ConfigKey || len(c.Record.Value) == 0 {
			continue
		}
		n.pendingConfigs.add(configChange{value: c.Record.Value, gap: c.Gap})
		added = true
	}
	if !added {
		return
	}
	select {
	case n.configQueued <- struct{}{}:
	default:
	}
}

// evacuationChanged starts or ends an evacuation if the record orders one. It runs before the
// configuration that was read together with the record is applied, so that a host is not ready before
// it knows of the evacuation.
func (n *Node) evacuationChanged(c replica.Change) bool {
	rec := c.Record
	if n.env.DecodeEvacuation == nil {
		return false
	}
	e, ok, err := n.env.DecodeEvacuation(rec)
	switch {
	case !ok:
		return false
	case err != nil:
		log.WithFields(log.Fields{"key": rec.Key, "offset": rec.Position}).WithError(err).Error("ignoring an invalid evacuation record")
	case e.InForce:
		n.targets.Evacuate(e.Domain, n.evacuationTime(c.Gap))
	default:
		n.targets.EndEvacuation(e.Domain)
	}
	return true
}

// evacuationFraction is the fraction of the time allowed over which the targets of an evacuated domain
// are withdrawn. The rest covers the propagation of the order to this host and requests that are being sent.
const evacuationFraction = 0.5

// evacuationTime is the time over which targets are withdrawn: none if the order may be older than
// this host can tell.
func (n *Node) evacuationTime(gap bool) time.Duration {
	if gap {
		return 0
	}
	return time.Duration(evacuationFraction * float64(settings.Milliseconds(n.newestSettings().Bounds.EvacuateMs)))
}

func (n *Node) applyConfigs(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.configQueued:
		}
		n.applyPending(n.pendingConfigs.takeAll())
	}
}

// decodedConfig is a configuration that was decoded.
type decodedConfig struct {
	config  *routing.Config
	bytes   int
	skipped int  // configurations right before it that were never applied
	gap     bool // others before it may have been missed
}

// applyPending passes each configuration to the budgets, in order, and applies the newest. An
// invalid one counts as a gap before the next: other hosts may have read it.
func (n *Node) applyPending(changes []configChange) {
	var newest decodedConfig
	invalid := false
	for i, change := range changes {
		config, err := n.env.DecodeConfig(change.value)
		if err != nil {
			log.WithError(err).Error("invalid configuration ignored; the present one stays active")
			invalid = true
			continue
		}
		gap := change.gap || invalid
		invalid = false
		n.allocator.Configure(config.Version, budgets(config), gap)
		if newest.config == nil || config.Version > newest.config.Version {
			newest = decodedConfig{config: config, bytes: len(change.value), skipped: i, gap: gap}
		}
	}
	if newest.config != nil {
		n.applyConfig(newest)
	}
}

// applyConfig applies a configuration unless it is older than the active one.
func (n *Node) applyConfig(decoded decodedConfig) {
	config, previous := decoded.config, n.handler.Config()
	if previous != nil && config.Version <= previous.Version {
		return
	}
	n.allocator.SetLogEra(n.configReplica.End().Era)
	n.fleet.SetBudgetShares(budgetShares(budgets(config)))
	n.setColdLimits(config, n.newestSettings().Bounds)
	n.streamPast.Note(routeUses(config))
	n.handler.SetConfig(config)
	n.streamPast.Look()
	n.shareConnections()
	fields := log.Fields{
		"version": config.Version, "routes": len(config.Routes), "organisations": len(config.Organisations),
		"bytes": decoded.bytes, "skipped": decoded.skipped, "gap": decoded.gap,
		"age": n.configReplica.Age().Round(time.Millisecond), "source": n.fleet.Source(),
	}
	if previous != nil {
		fields["before"] = previous.Version
	}
	log.WithFields(fields).Info("configuration applied")
}

// confirmedFraction is the fraction of config_ms for which a confirmation that the configuration is the newest counts. The
// rest covers its delivery to this host. A long poll without records must end within that fraction.
const confirmedFraction = 0.75

// configAge is how long ago the configuration was last confirmed to be the newest. A host that was suspended does not know
// it until it has refreshed its state: its clock stopped meanwhile.
func (n *Node) configAge() time.Duration {
	if n.catchingUp() {
		return n.configAgeLimit() + time.Millisecond
	}
	return n.configReplica.Age()
}

// configAgeLimit is the age above which other hosts may have a newer configuration in force.
func (n *Node) configAgeLimit() time.Duration {
	return time.Duration(confirmedFraction * float64(settings.Milliseconds(n.newestSettings().Bounds.ConfigMs)))
}

func budgets(c *routing.Config) []prepaid.Budget {
	var list []prepaid.Budget
	for _, t := range c.Organisations {
		if t.Prepaid != nil {
			list = append(list, prepaid.Budget{Organisation: t.Name, Limit: *t.Prepaid})
		}
	}
	return list
}

// budgetShares is each organisation's share of all prepaid tokens.
func budgetShares(list []prepaid.Budget) map[string]float64 {
	total := 0.0
	for _, b := range list {
		total += float64(b.Limit)
	}
	shares := make(map[string]float64, len(list))
	for _, b := range list {
		if total > 0 {
			shares[b.Organisation] = float64(b.Limit) / total
		}
	}
	return shares
}

// connectionFraction is the fraction of a target's connections that all hosts use together.
const connectionFraction = 0.9

// shareConnections gives this host an even share of the connections that each target accepts.
func (n *Node) shareConnections() {
	config := n.handler.Config()
	if config == nil {
		return
	}
	hosts := float64(n.fleet.Size())
	for _, s := range config.Services {
		if s.MaxConns > 0 {
			n.targets.SetMaxConns(s.Name, max(int(connectionFraction*float64(s.MaxConns)/hosts), 1))
		}
	}
}

// coldFraction is the fraction of the limit of cold targets that hosts aim at, since they may disagree
// about their number: one host in ten may be counted by some hosts and not by others.
const coldFraction = 0.9

// setColdLimits sets the load that cold targets may get.
func (n *Node) setColdLimits(config *routing.Config, b settings.Bounds) {
	for _, s := range config.Services {
		limits := target.ColdLimits{Duration: settings.Seconds(s.ColdS)}
		if s.ColdPerS > 0 {
			limits.PerSecond = coldFraction * (b.ColdOverrun*s.ColdPerS + b.ColdSlack)
		}
		n.targets.SetColdLimits(s.Name, limits)
	}
}

// noTarget is the deduplication key of an entry that names no usable target.
type noTarget struct{}

// targetDedupKey is the part of a list entry that matters: most records are heartbeats, which change
// nothing.
func (n *Node) targetDedupKey(rec eventlog.Record) any {
	if len(rec.Value) == 0 {
		return nil
	}
	entry, err := n.env.DecodeTarget(rec.Key, rec.Value)
	if err != nil {
		return noTarget{}
	}
	return entry
}

// targetsChanged applies changes of the list of targets.
func (n *Node) targetsChanged(changes []replica.Change) {
	for _, c := range changes {
		id := c.Record.Key
		if len(c.Record.Value) == 0 {
			n.targets.Remove(id)
			continue
		}
		entry, err := n.env.DecodeTarget(id, c.Record.Value)
		if err != nil {
			n.rejectEntry(id, err)
			continue
		}
		n.rollouts.noteVersion(entry)
		n.targets.Put(entry)
	}
	n.streamPast.Look()
}

// invalidEntryLinesPerSecond bounds the log lines about entries that name no target.
const invalidEntryLinesPerSecond = 2

// rejectEntry makes the target of an invalid entry unavailable, if there is one of this id, until a
// valid entry arrives. The previous entry is not relied on: the target may have announced that it is
// leaving in an update that the invalid entry overwrote.
func (n *Node) rejectEntry(id string, err error) {
	n.targets.Remove(id)
	fault := target.FaultUnreadable
	var entry *target.EntryError
	if errors.As(err, &entry) {
		fault = entry.Fault
	}
	n.observer.Count(fmt.Sprintf("target_entries_ignored_total{fault=%q}", fault))
	if ok, skipped := n.invalidEntries.Allow(time.Now()); ok {
		log.WithFields(log.Fields{"target": id, "fault": fault, "skipped": skipped}).WithError(err).Warn("ignoring an invalid entry of the list of targets")
	}
}
