package node

import (
	"maststage.dev/lib/guard"
	"maststage.dev/router/streamversion"
)

// newStreams makes the directory of where streams began.
func (n *Node) newStreams() {
	n.streams = streamversion.New(streamversion.Options{
		Versions: n.targets.RecentVersions, ListAge: n.targetsReplica.Age, Count: n.observer.Count, Go: guard.Go,
	})
}
