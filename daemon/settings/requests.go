package settings

import "time"

// Requests bounds callers' requests and how long responses are kept.
type Requests struct {
	MaxInput    int           `ini:"max_input" default:"1048576"`   // bytes
	MaxOpen     int           `ini:"max_open" default:"20000"`      // open requests on this host
	KeepAnswers time.Duration `ini:"keep_answers" default:"60s"`    // how long a response is kept for retries
	KeepBytes   int           `ini:"keep_bytes" default:"67108864"` // total of all kept responses
	LogWait     time.Duration `ini:"log_wait" default:"400ms"`      // longest wait until an intent is in the log
	ClaimWait   time.Duration `ini:"claim_wait" default:"3s"`       // longest wait until a claim is possible
	BillWait    time.Duration `ini:"bill_wait" default:"3s"`        // longest wait until a bill is held
	DrainLimit  time.Duration `ini:"drain_limit" default:"0s"`      // time after which a graceful shutdown moves open requests; 0: never
}
