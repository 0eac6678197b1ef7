package rollout

import "time"

// Report is one host's view of a rollout. It has everything since the order, so that the newest
// report of a host replaces the ones before.
type Report struct {
	Service string `json:"service"`
	Version string `json:"version"`
	Host    string `json:"host"` // name and incarnation
	Number  int64  `json:"number"`
	// Sent counts the requests of the service that this host sent to a target; Trial, of
	// those, the ones sent to the version on trial.
	Sent  int64 `json:"sent"`
	Trial int64 `json:"trial"`
	// NotRetryable counts, of Sent, those that must not be retried; NotRetryableOnOld, of
	// those, the ones in flight at old targets.
	NotRetryable      int64       `json:"single"`
	NotRetryableOnOld int64       `json:"open"`
	FromStart         bool        `json:"from_start"` // this host has counted since the rollout began
	Cells             []cellCount `json:"cells,omitempty"`
}

type cellCount struct {
	cell
	counts
}

// Phase is what a host does in a rollout.
type Phase string

// The phases.
const (
	// PhaseHeld: nothing is sent to the new version.
	PhaseHeld Phase = "held"
	// PhaseTrial: a share of the requests goes to the new version.
	PhaseTrial Phase = "trial"
	// PhaseMoving: requests that must not be retried go to the new version, so that old targets
	// have none in flight when they stop; of the others, a share.
	PhaseMoving Phase = "moving"
)

// Advice is the coordinating host's reply to a report.
type Advice struct {
	// LogReachable says that the replying host reaches the log. If not, another host is asked.
	LogReachable bool    `json:"able"`
	Phase        Phase   `json:"phase"`
	Share        float64 `json:"share"` // of the requests that go to the new version
	// MovingMs is how long PhaseMoving lasts if no further advice arrives.
	MovingMs int64 `json:"moving_ms,omitempty"`
}

// Report intervals.
const (
	minReportInterval     = 500 * time.Millisecond
	reportIntervalPerHost = 2 * time.Millisecond // so that one host can take the reports of all
	// adviceValidIntervals is the number of intervals without a reply after which a host sends
	// nothing more to the new version.
	adviceValidIntervals = 2.5
	// maxStartDelay is how late after the first host another one receives the order of a rollout that it
	// takes part in from the start.
	maxStartDelay = 2 * time.Second
)

// ReportInterval is the time between two reports of a host in a fleet of the given size.
func ReportInterval(hosts int) time.Duration {
	return max(minReportInterval, time.Duration(hosts)*reportIntervalPerHost)
}
