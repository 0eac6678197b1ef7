package node

import (
	"time"

	"maststage.dev/router/archive"
	"maststage.dev/router/replica"
	"maststage.dev/router/settings"
)

// Parameters of the archive.
const (
	// archiveInterval bounds the age of the snapshot that a host starts with. A snapshot costs some
	// 30 KB at each of archivePartitions partitions.
	archiveInterval      = time.Second
	archiveFallbackDelay = 150 * time.Millisecond
	archivePartitions    = 3
	// readerPatience is how long a host that follows readers waits for one before it loads snapshots.
	readerPatience = 3 * time.Second
	// sourcePatience is the same until the host knows whether it follows readers.
	sourcePatience = 500 * time.Millisecond
)

// newArchive makes the archive, which has snapshots of configuration and targets for starts while
// parts of the log are unreachable.
func (n *Node) newArchive() *archive.Archive {
	return archive.New(archive.Options{
		Log: n.env.Log, Topic: n.env.ArchiveTopic, MaxRecordBytes: n.env.MaxRecordBytes,
		Partitions:    min(archivePartitions, n.cfg.Log.Partitions),
		WriteInterval: archiveInterval, FallbackDelay: archiveFallbackDelay, CallTimeout: settings.Milliseconds(n.cfg.Log.TimeoutMs),
		Replicas: map[string]*replica.Replica{
			n.env.ConfigTopic:  n.configReplica,
			n.env.TargetsTopic: n.targetsReplica,
		},
		MayLoad:  n.needsSnapshots,
		IsWriter: n.writesSnapshots,
	})
}

// needsSnapshots reports whether neither the log nor a reader provides the topics. If all hosts of a large fleet started
// from snapshots at once, the log would have to send each of them to each host.
func (n *Node) needsSnapshots() bool {
	decided, since := n.fleet.SourceSince()
	switch {
	case !decided:
		return time.Since(n.started) > sourcePatience
	case since.IsZero():
		return true
	}
	return time.Since(since) > readerPatience
}

// writesSnapshots reports whether this host is the one that writes snapshots. Until it knows the others, each host
// would be.
func (n *Node) writesSnapshots() bool {
	return n.fleet.SizeKnown() && n.fleet.IsPrimary(n.env.ArchiveTopic)
}
