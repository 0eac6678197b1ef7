package node

import (
	"context"
	"errors"
	"fmt"
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
	gap   bool
}

// configChanged notes the newest configuration; it is decoded elsewhere, so that
// the copy of the log is not held up.
func (n *Node) configChanged(changes []replica.Change) {
	var newest *configChange
	for _, c := range changes {
		if n.evacuationChanged(c) || n.rollouts.orderChanged(c) {
			continue
		}
		if c.Record.Key != n.outside.ConfigKey || len(c.Record.Value) == 0 {
			continue
		}
		// What was not in force yet is skipped, and so counts as a gap.
		newest = &configChange{value: c.Record.Value, gap: c.Gap || newest != nil}
	}
	if newest == nil {
		return
	}
	if n.pending.Swap(newest) != nil {
		newest.gap = true
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
		if change := n.pending.Swap(nil); change != nil {
			n.applyConfig(change)
		}
	}
}

// applyConfig puts a configuration in force unless it is older than the present one.
func (n *Node) applyConfig(change *configChange) {
	config, err := n.outside.DecodeConfig(change.value)
	if err != nil {
		log.WithError(err).Error("configuration can't be read; the present one stays in force")
		return
	}
	old := n.handler.Config()
	if old != nil && config.Version <= old.Version {
		return
	}
	list := budgets(config)
	n.treasury.Configure(config.Version, list, change.gap)
	n.fleet.SetParts(parts(list))
	n.setCold(config, n.newestSettings().Bounds)
	n.handler.Configure(config)
	n.shareConnections()
	fields := log.Fields{
		"version": config.Version, "routes": len(config.Routes), "organisations": len(config.Organisations),
		"bytes": len(change.value), "gap": change.gap,
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
		limits := target.ColdLimits{Lasts: settings.Seconds(s.ColdS)}
		if s.ColdPerS > 0 {
			limits.PerSecond = coldPart * (b.ColdOverrun*s.ColdPerS + b.ColdSlack)
		}
		n.targets.SetCold(s.Name, limits)
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
