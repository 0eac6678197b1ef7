package settings

import "time"

// Platform configures the access to the platform's services.
type Platform struct {
	Log            string        `ini:"log"`
	Members        string        `ini:"members"`
	AppendInterval time.Duration `ini:"append_interval" default:"80ms"`  // minimum time between two appends
	Timeout        time.Duration `ini:"timeout" default:"1s"`            // of a call
	ListInterval   time.Duration `ini:"list_interval" default:"500ms"`   // between reads of the membership list
	SnapshotEvery  int           `ini:"snapshot_every" default:"20000"`  // appends between snapshots
	OutboxRecords  int           `ini:"outbox_records" default:"200000"` // maximum number of records queued for the log
}
