package node

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	log "github.com/sirupsen/logrus"

	"maststage.dev/router/prepaid"
	"maststage.dev/router/replica"
	"maststage.dev/router/routing"
	"maststage.dev/router/settings"
	"maststage.dev/router/target"
)

// configChange is a configuration that was read and is not in force yet.
type configChange struct {
	value []byte
	gap   bool // versions before it may have been missed
}

// configQueue holds the configurations that were read and are not in force yet, oldest first.
// Only the newest of them is put in force, but budgets see the limits of each: a limit that was
// raised and set back between two versions let others take tokens.
type configQueue struct {
	mu      sync.Mutex
	waiting []configChange
	bytes   int
}

// maxWaitingConfigBytes bounds the configurations that wait: what the log sends at once, and
// what comes while that is decoded.
const maxWaitingConfigBytes = 2 << 20

// add takes a configuration in. The oldest ones are dropped where they are too many, and
// what follows them counts as a gap.
func (q *configQueue) add(change configChange) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiting = append(q.waiting, change)
	q.bytes += len(change.value)
	for q.bytes > maxWaitingConfigBytes && len(q.waiting) > 1 {
		q.bytes -= len(q.waiting[0].value)
		q.waiting = q.waiting[1:]
		q.waiting[0].gap = true
	}
}

// takeAll empties the queue.
func (q *configQueue) takeAll() []configChange {
	q.mu.Lock()
	defer q.mu.Unlock()
	waiting := q.waiting
	q.waiting, q.bytes = nil, 0
	return waiting
}

// configChanged notes new configurations; they are decoded elsewhere, so that the copy of the
// log is not held up.
func (n *Node) configChanged(changes []replica.Change) {
	added := false
	for _, c := range changes {
		if n.evacuationChanged(c) || n.rollouts.orderChanged(c) {
			continue
		}
		if c.Record.Key != n.outside.ConfigKey || len(c.Record.Value) == 0 {
			continue
		}
		n.pending.add(configChange{value: c.Record.Value, gap: c.Gap})
		added = true
	}
	if !added {
		return
	}
	select {
	case n.changed <- struct{}{}:
	default:
	}
}

// evacuationChanged puts an evacuation in force, or takes it back, if the record is one. It
// is done before the configuration that came beside it is in force, so that a host is not
// ready before it knows.
func (n *Node) evacuationChanged(c replica.Change) bool {
	rec := c.Record
	if n.outside.DecodeEvacuation == nil {
		return false
	}
	e, ok, err := n.outside.DecodeEvacuation(rec)
	switch {
	case !ok:
		return false
	case err != nil:
		log.WithFields(log.Fields{"key": rec.Key, "offset": rec.Offset}).WithError(err).Error("evacuation can't be read and is ignored")
	case e.InForce:
		n.targets.Evacuate(e.Domain, n.evacuateOver(c.Gap))
	default:
		n.targets.EndEvacuation(e.Domain)
	}
	return true
}

// evacuatePart is the part of the time allowed over which the targets of an evacuated domain
// leave. The rest is for the order's way to this host and for requests that are being sent.
const evacuatePart = 0.5

// evacuateOver is the time over which targets leave: none where the order may be older than
// this host knows.
func (n *Node) evacuateOver(gap bool) time.Duration {
	if gap {
		return 0
	}
	return time.Duration(evacuatePart * float64(settings.Milliseconds(n.newestSettings().Bounds.EvacuateMs)))
}

func (n *Node) applyConfigs(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.changed:
		}
		n.applyPending(n.pending.takeAll())
	}
}

// readConfig is a configuration that was decoded.
type readConfig struct {
	config  *routing.Config
	bytes   int
	skipped int  // configurations that came right before it and were never in force
	gap     bool // others before it may have been missed
}

// applyPending shows the budgets each configuration, in order, and puts the newest in force. One
// that can't be read is a gap before the next: others may have read it.
func (n *Node) applyPending(changes []configChange) {
	var newest readConfig
	unread := false
	for i, change := range changes {
		config, err := n.outside.DecodeConfig(change.value)
		if err != nil {
			log.WithError(err).Error("configuration can't be read; the present one stays in force")
			unread = true
			continue
		}
		gap := change.gap || unread
		unread = false
		n.treasury.Configure(config.Version, budgets(config), gap)
		if newest.config == nil || config.Version > newest.config.Version {
			newest = readConfig{config: config, bytes: len(change.value), skipped: i, gap: gap}
		}
	}
	if newest.config != nil {
		n.applyConfig(newest)
	}
}

// applyConfig puts a configuration in force unless it is older than the present one.
func (n *Node) applyConfig(read readConfig) {
	config, old := read.config, n.handler.Config()
	if old != nil && config.Version <= old.Version {
		return
	}
	n.fleet.SetBudgetShares(parts(budgets(config)))
	n.setCold(config, n.newestSettings().Bounds)
	n.handler.SetConfig(config)
	n.shareConnections()
	fields := log.Fields{
		"version": config.Version, "routes": len(config.Routes), "organisations": len(config.Organisations),
		"bytes": read.bytes, "skipped": read.skipped, "gap": read.gap,
	}
	if old != nil {
		fields["before"] = old.Version
	}
	log.WithFields(fields).Info("configuration in force")
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

// parts is which part of all prepaid tokens each organisation has.
func parts(list []prepaid.Budget) map[string]float64 {
	total := 0.0
	for _, b := range list {
		total += float64(b.Limit)
	}
	parts := make(map[string]float64, len(list))
	for _, b := range list {
		if total > 0 {
			parts[b.Organisation] = float64(b.Limit) / total
		}
	}
	return parts
}

// connectionPart is the part of a target's connections that hosts use together.
const connectionPart = 0.9

// shareConnections gives this host its even part of the connections that each
// target takes.
func (n *Node) shareConnections() {
	config := n.handler.Config()
	if config == nil {
		return
	}
	hosts := float64(n.fleet.Size())
	for _, s := range config.Services {
		if s.MaxConns > 0 {
			n.targets.SetMaxConns(s.Name, max(int(connectionPart*float64(s.MaxConns)/hosts), 1))
		}
	}
}

// coldPart is the part of what cold targets may get that hosts aim at: one host in ten may
// be counted by some and not by others.
const coldPart = 0.9

// setCold tells what cold targets bear.
func (n *Node) setCold(config *routing.Config, b settings.Bounds) {
	for _, s := range config.Services {
		limits := target.ColdLimits{Duration: settings.Seconds(s.ColdS)}
		if s.ColdPerS > 0 {
			limits.PerSecond = coldPart * (b.ColdOverrun*s.ColdPerS + b.ColdSlack)
		}
		n.targets.SetColdLimits(s.Name, limits)
	}
}

// targetsChanged takes over the list of targets.
func (n *Node) targetsChanged(changes []replica.Change) {
	for _, c := range changes {
		id := c.Record.Key
		if len(c.Record.Value) == 0 {
			n.targets.Remove(id)
			continue
		}
		entry, err := n.outside.DecodeTarget(id, c.Record.Value)
		if err != nil {
			n.ignoreEntry(id, err)
			continue
		}
		n.rollouts.saw(entry)
		n.targets.Put(entry)
	}
}

// ignoredEntryLines bounds the lines a second about entries that name no target.
const ignoredEntryLines = 2

// ignoreEntry takes the target of an entry that names none to use out of the choice, if
// there is one of this id, until a whole entry comes. The one before is not relied on: it may have
// been overwritten together with the target's own word that it leaves.
func (n *Node) ignoreEntry(id string, err error) {
	n.targets.Remove(id)
	fault := target.FaultUnreadable
	var entry *target.EntryError
	if errors.As(err, &entry) {
		fault = entry.Fault
	}
	n.observer.Count(fmt.Sprintf("target_entries_ignored_total{fault=%q}", fault))
	if ok, skipped := n.ignored.Allow(time.Now()); ok {
		log.WithFields(log.Fields{"target": id, "fault": fault, "skipped": skipped}).WithError(err).Warn("entry of the list names no target")
	}
}
