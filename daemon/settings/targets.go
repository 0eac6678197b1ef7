package settings

import "time"

// Targets says how targets are watched.
type Targets struct {
	LoadInterval time.Duration `ini:"load_interval" default:"500ms"`
	SilentAfter  time.Duration `ini:"silent_after" default:"2s"` // least time between tokens taken for silence
	FirstToken   time.Duration `ini:"first_token" default:"10s"` // longest wait for a first token
	Queue        int           `ini:"queue" default:"1000"`      // requests waiting for a pool
	Retries      int           `ini:"retries" default:"2"`       // other targets tried for a request
	EjectFor     time.Duration `ini:"eject_for" default:"3s"`
	MaxEjected   int           `ini:"max_ejected" default:"50"`  // percent of a pool
	RetryBudget  int           `ini:"retry_budget" default:"20"` // retries per 100 requests
}
