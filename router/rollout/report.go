package rollout

import "time"

// Report is what one host tells of a rollout: all that it saw since the order, so that the
// newest one is enough.
type Report struct {
	Service string `json:"service"`
	Version string `json:"version"`
	Host    string `json:"host"` // name and incarnation
	Number  int64  `json:"number"`
	// Sent counts the requests of the service that this host sent to a target; Trial, of them,
	// those sent to the version on trial.
	Sent  int64 `json:"sent"`
	Trial int64 `json:"trial"`
	// NotRetryable counts, of Sent, those that may not be sent again; Open, of them, those under way at
	// old targets.
	NotRetryable      int64       `json:"single"`
	NotRetryableOnOld int64       `json:"open"`
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
	// PhaseTrial: a part of the requests goes to the new version.
	PhaseTrial Phase = "trial"
	// PhaseMoving: what may not be sent again goes to the new version, so that old targets are without
	// it as they stop; of the rest, a part.
	PhaseMoving Phase = "moving"
)

// Advice is the answer to a report.
type Advice struct {
	// LogReachable says that the host that answers reaches the log. Another one is asked if not.
	LogReachable bool    `json:"able"`
	Phase        Phase   `json:"phase"`
	Share        float64 `json:"share"` // of the requests that go to the new version
	// MovingMs is how long Moving lasts, if nothing else is heard.
	MovingMs int64 `json:"moving_ms,omitempty"`
}

// Figures of reports.
const (
	leastInterval   = 500 * time.Millisecond
	intervalForHost = 2 * time.Millisecond // so that one host bears the reports of all
	// staleIntervals is after how many intervals without an answer nothing is sent to the new
	// version any more.
	staleIntervals = 2.5
)

// ReportInterval is the time between two reports of a host in a fleet of so many.
func ReportInterval(hosts int) time.Duration {
	return max(leastInterval, time.Duration(hosts)*intervalForHost)
}
