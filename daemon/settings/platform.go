package settings

import "time"

// Platform says where the platform's services are.
type Platform struct {
	Log            string        `ini:"log"`
	Members        string        `ini:"members"`
	AppendInterval time.Duration `ini:"append_interval" default:"80ms"`  // least time between two appends
	Timeout        time.Duration `ini:"timeout" default:"1s"`            // of one call
	ListInterval   time.Duration `ini:"list_interval" default:"500ms"`   // between reads of the membership list
	SnapshotEvery  int           `ini:"snapshot_every" default:"20000"`  // appends between snapshots
	OutboxRecords  int           `ini:"outbox_records" default:"200000"` // records that may wait for the log
}
