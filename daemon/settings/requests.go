package settings

import "time"

// Requests bounds what callers may ask and how long answers are kept.
type Requests struct {
	MaxInput    int           `ini:"max_input" default:"1048576"`   // bytes
	MaxOpen     int           `ini:"max_open" default:"20000"`      // requests in progress on this host
	KeepAnswers time.Duration `ini:"keep_answers" default:"60s"`    // for retries
	KeepBytes   int           `ini:"keep_bytes" default:"67108864"` // of all kept answers
	LogWait     time.Duration `ini:"log_wait" default:"400ms"`      // wait for an intent to be in the log
	ClaimWait   time.Duration `ini:"claim_wait" default:"3s"`       // wait for a claim to be possible
	BillWait    time.Duration `ini:"bill_wait" default:"3s"`        // wait for a bill to be held
	DrainLimit  time.Duration `ini:"drain_limit" default:"0s"`      // a planned stop waits so long, 0: without limit
}
