package limit

import (
	"encoding/json"
	"fmt"
	"strings"

	"maststage.dev/router/eventlog"
)

// Notice is a record by which hosts inform each other of a target's limit. It exists for as long as the limit does.
type Notice struct {
	Target    string  `json:"target"`
	StartedAt int64   `json:"born,omitempty"` // start of the target's process in Unix milliseconds; 0 if unknown
	PerSecond float64 `json:"per_second"`
	// ByRefusals means that only refusals advertise the limit, so that other responses don't show its end.
	ByRefusals bool `json:"by_refusals,omitempty"`
	// Raises counts how often the limit was raised above what refusals advertised, to find out whether it has
	// ended.
	Raises int    `json:"raises,omitempty"`
	AgeMs  int64  `json:"age_ms,omitempty"` // time since the writer received the limit from the target
	Host   string `json:"host"`             // that wrote the notice
	// InForce is false if the limit has ended and its record was deleted.
	InForce bool `json:"-"`
}

// KeyPrefix precedes the target's id in the key of a notice's record.
const KeyPrefix = "limit/"

// maxAgeMs is an hour, longer than any host waits before it writes a notice.
const maxAgeMs = 60 * 60 * 1000

// Record encodes the notice as a record of the log. The record of a limit that has ended is a deletion.
func (n Notice) Record() (eventlog.Record, error) {
	rec := eventlog.Record{Key: KeyPrefix + n.Target}
	if !n.InForce {
		return rec, nil
	}
	value, err := json.Marshal(n)
	rec.Value = value
	return rec, err
}

// ParseNotice decodes a record of the log. ok is false for records of other kinds.
func ParseNotice(rec eventlog.Record) (n Notice, ok bool, err error) {
	id, ok := strings.CutPrefix(rec.Key, KeyPrefix)
	if !ok {
		return n, false, nil
	}
	if len(rec.Value) == 0 {
		return Notice{Target: id}, true, nil
	}
	if err := json.Unmarshal(rec.Value, &n); err != nil {
		return n, true, fmt.Errorf("limit: notice of target %q: %w", id, err)
	}
	if n.Target != id {
		return n, true, fmt.Errorf("limit: notice of target %q has the key of target %q", n.Target, id)
	}
	if !(n.PerSecond >= 0 && n.PerSecond <= maxPerSecond) {
		return n, true, fmt.Errorf("limit: notice of target %q: invalid limit %v", id, n.PerSecond)
	}
	if n.AgeMs < 0 || n.AgeMs > maxAgeMs || n.Raises < 0 {
		return n, true, fmt.Errorf("limit: notice of target %q: invalid age %d ms or count of raises %d", id, n.AgeMs, n.Raises)
	}
	n.InForce = true
	return n, true, nil
}
