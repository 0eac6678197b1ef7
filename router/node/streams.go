package node

import (
	"slices"

	"maststage.dev/lib/guard"
	"maststage.dev/router/routing"
	"maststage.dev/router/settings"
	"maststage.dev/router/streamversion"
)

// newStreams makes the directory of where streams began, and what the log keeps for it.
func (n *Node) newStreams() {
	n.streamPast = streamversion.NewPast(streamversion.PastOptions{
		Observe:       n.streamUses,
		Topic:         func() (era int64, loaded bool) { return n.hostsReplica.End().Era, n.hostsReplica.Loaded() },
		ListLoaded:    n.targetsReplica.Loaded,
		EarlierBuilds: func() bool { return n.fleet.SomeKeepNoVersionRecords() },
		Hosts:         n.knownHosts,
		Write:         n.writeAllHosts,
	})
	if n.env.StreamsTopic != "" {
		n.streamJournal = streamversion.NewJournal(streamversion.JournalOptions{
			Log: n.env.Log, Topic: n.env.StreamsTopic, Partitions: n.cfg.Log.Partitions, Host: n.cfg.Host.Name, Hosts: n.knownHosts,
			Timeout: settings.Milliseconds(n.cfg.Log.TimeoutMs), Count: n.observer.Count, Go: guard.Go,
		})
	}
	n.streams = streamversion.New(streamversion.Options{
		Versions: n.streamVersions, Services: n.streamPast.Services, Covers: n.streamPast.Covers, Await: n.streamPast.Await, Journal: n.streamJournal,
		ListAge: n.targetsReplica.Age, Count: n.observer.Count, Go: guard.Go,
	})
}

// streamVersions lists the versions at which streams of a service in progress may have begun.
func (n *Node) streamVersions(service string) []string {
	list := append(n.targets.RecentVersions(service), n.streamPast.Versions(service)...)
	slices.Sort(list)
	return slices.Compact(list)
}

// streamUses returns the services that streams may begin at by the present configuration, and the versions that their
// targets have had of late.
func (n *Node) streamUses() []streamversion.Use {
	config := n.handler.Config()
	if config == nil {
		return nil
	}
	uses := routeUses(config)
	seen := map[string]bool{}
	for _, u := range uses {
		if seen[u.Service] {
			continue
		}
		seen[u.Service] = true
		for _, version := range n.targets.RecentVersions(u.Service) {
			uses = append(uses, streamversion.Use{Service: u.Service, Version: version})
		}
	}
	return uses
}

// routeUses returns the services of a configuration's routes of streams.
func routeUses(config *routing.Config) (uses []streamversion.Use) {
	for _, r := range config.Routes {
		if r.Kind != routing.Streaming || r.Name == "" {
			continue
		}
		for _, service := range r.Services() {
			uses = append(uses, streamversion.Use{Route: r.Name, Service: service})
		}
	}
	return uses
}
