package node

import (
	"reflect"

	log "github.com/sirupsen/logrus"

	"maststage.dev/router/prepaid"
	"maststage.dev/router/retrybudget"
	"maststage.dev/router/settings"
)

// Reload applies changed settings. Those of addresses take effect at the next start; an invalid file
// changes nothing.
func (n *Node) Reload(path string) {
	fresh, err := settings.Load(path)
	if err != nil {
		log.WithError(err).Error("settings not reloaded; the present ones stay active")
		return
	}
	n.apply(fresh)
}

// apply applies valid settings.
func (n *Node) apply(fresh *settings.Settings) {
	n.reloadMu.Lock()
	defer n.reloadMu.Unlock()
	if reflect.DeepEqual(fresh, n.reloaded) {
		log.Info("settings reloaded without changes")
		return
	}
	if fresh.Host.Listen != n.cfg.Host.Listen || fresh.Host.ReadyListen != n.cfg.Host.ReadyListen || fresh.Host.PeerListen != n.cfg.Host.PeerListen || fresh.Log != n.cfg.Log {
		log.Warn("settings of addresses or of the log changed; they take effect at the next start")
	}
	n.reloaded = fresh
	n.retries.SetLimits(retryLimits(fresh))
	n.allocator.SetSizing(allocationSizing(fresh))
	n.fleet.SetSeeds(fresh.Host.Seeds)
	n.targets.SetRegions(fresh.Host.RegionOf())
	n.targets.SetDrainLimit(drainWindow(settings.Milliseconds(fresh.Bounds.DrainMs)))
	n.targets.SetLimitBounds(limitBounds(fresh.Bounds))
	if config := n.handler.Config(); config != nil {
		n.setColdLimits(config, fresh.Bounds)
	}
	if level, err := log.ParseLevel(fresh.Output.Level); err == nil {
		log.SetLevel(level)
	}
	log.Info("settings reloaded")
}

// newestSettings are those of the last reload.
func (n *Node) newestSettings() *settings.Settings {
	n.reloadMu.Lock()
	defer n.reloadMu.Unlock()
	return n.reloaded
}

func retryLimits(s *settings.Settings) retrybudget.Limits {
	return retrybudget.Limits{
		Ratio: s.Bounds.RetryRatio, Slack: s.Bounds.RetrySlack, Window: settings.Seconds(s.Bounds.RetryWindowS),
	}
}

func allocationSizing(s *settings.Settings) prepaid.Sizing {
	b := s.Budgets
	return prepaid.Sizing{
		Horizon: b.HorizonS, FullSpan: b.FullSpanS, MostPart: b.MostPart, LeastPart: b.LeastPart, EvenPart: b.EvenPart, MostShares: b.MostShares,
		KeeperHorizon: b.KeeperHorizonS, KeeperPart: b.KeeperPart, KeeperSpan: b.KeeperSpanS,
	}
}
