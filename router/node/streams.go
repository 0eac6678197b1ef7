package node

import (
	"context"
	"slices"
	"time"

	"maststage.dev/lib/guard"
	"maststage.dev/router/eventlog"
	"maststage.dev/router/routing"
	"maststage.dev/router/settings"
	"maststage.dev/router/streamversion"
)

// newStreams makes the directory of where streams began, and what the log keeps for it.
func (n *Node) newStreams() {
	timeout := settings.Milliseconds(n.cfg.Log.TimeoutMs)
	n.streamPast = streamversion.NewPast(streamversion.PastOptions{
		Log: n.env.Log, Partition: eventlog.Partition{Topic: n.env.UsesTopic}, Timeout: timeout,
		Observe:       n.streamUses,
		NewFleet:      func() bool { return n.fleet.LogIsNew() },
		EarlierBuilds: func() bool { return !n.hostsReplica.Loaded() || n.fleet.SomeKeepNoVersionRecords() },
		Hosts:         n.knownHosts,
	})
	if n.env.StreamsTopic != "" {
		n.streamJournal = streamversion.NewJournal(streamversion.JournalOptions{
			Log: n.env.Log, Topic: n.env.StreamsTopic, Partitions: n.cfg.Log.Partitions, Host: n.cfg.Host.Name, Hosts: n.knownHosts,
			Timeout: timeout, Count: n.observer.Count, Go: guard.Go,
		})
	}
	n.streams = streamversion.New(streamversion.Options{
		Versions: n.streamVersions, Services: n.streamPast.Services, Covers: n.streamPast.Covers, CatchUp: n.streamPast.CatchUp, Followed: n.streamPast.Followed, Await: n.streamPast.Await,
		Journal: n.streamJournal, ConfirmedSince: n.streamVersionsConfirmed, Count: n.observer.Count, Go: guard.Go,
	})
}

// startStreams starts what runs for the directory, until ctx ends.
func (n *Node) startStreams(ctx context.Context) {
	guard.Go("stream versions", func() { n.streams.Run(ctx) })
	guard.Go("uses of streams", func() { n.streamPast.Run(ctx) })
	if n.streamJournal != nil {
		guard.Go("stream journal", func() { n.streamJournal.Run(ctx) })
	}
}

// streamVersions lists the versions at which streams of a service in progress may have begun.
func (n *Node) streamVersions(service string) []string {
	list := slices.Concat(n.targets.RecentVersions(service), n.streamPast.Versions(service))
	slices.Sort(list)
	return slices.Compact(list)
}

// streamUsesAge is how long ago targets and routes were last confirmed to be the newest ones.
func (n *Node) streamUsesAge() time.Duration {
	if age := n.configAge(); age > n.configAgeLimit() {
		return max(age, n.targetsReplica.Age())
	}
	return n.targetsReplica.Age()
}

// streamVersionsConfirmed reports whether the targets were confirmed to be the newest ones by a call that began after a moment, and
// routes are not out of date.
func (n *Node) streamVersionsConfirmed(since time.Time) bool {
	return n.targetsReplica.RefreshedSince(since) && n.configAge() <= n.configAgeLimit()
}

// maxUsesAge is the age of targets and routes up to which this host counts as following them.
const maxUsesAge = 5 * time.Second

// streamUses returns the services that streams may begin at by the present configuration, and the versions of their targets,
// for a Past.
func (n *Node) streamUses() (uses []streamversion.Use, fresh, ok bool) {
	config := n.handler.Config()
	if config == nil || !n.targetsReplica.Loaded() {
		return nil, false, false
	}
	uses = routeUses(config)
	seen := map[string]bool{}
	for _, u := range uses {
		if seen[u.Service] {
			continue
		}
		seen[u.Service] = true
		for _, version := range n.targets.ServingVersions(u.Service) {
			uses = append(uses, streamversion.Use{Service: u.Service, Version: version})
		}
	}
	return uses, n.streamUsesAge() <= maxUsesAge, true
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
