package settings

import "time"

// Targets configures load polling, silence detection, retries and ejection of targets.
type Targets struct {
	LoadInterval time.Duration `ini:"load_interval" default:"500ms"`
	SilentAfter  time.Duration `ini:"silent_after" default:"2s"` // shortest gap between tokens that counts as silence
	FirstToken   time.Duration `ini:"first_token" default:"10s"` // longest wait for the first token
	Queue        int           `ini:"queue" default:"1000"`      // maximum number of requests queued for a pool
	Retries      int           `ini:"retries" default:"2"`       // maximum number of further targets tried for a request
	EjectFor     time.Duration `ini:"eject_for" default:"3s"`
	MaxEjected   int           `ini:"max_ejected" default:"50"`  // maximum percentage of a pool that may be ejected
	RetryBudget  int           `ini:"retry_budget" default:"20"` // retries allowed per 100 requests
}
