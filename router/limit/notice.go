package limit

import (
	"encoding/json"
	"fmt"
	"strings"

	"maststage.dev/router/eventlog"
)

// Notice is what hosts tell each other of the limit of a target, by a record that stands for as long
// as the limit does.
type Notice struct {
	Target    string  `json:"target"`
	StartedAt int64   `json:"born,omitempty"` // start of the target's process in Unix milliseconds, 0: not told
	PerSecond float64 `json:"per_second"`
	// ByRefusals says that only refusals name the limit, so that other answers don't tell of its end.
	ByRefusals bool `json:"by_refusals,omitempty"`
	// Raises counts how often the limit was raised beyond what refusals named, to see whether it
	// has ended.
	Raises int    `json:"raises,omitempty"`
	AgeMs  int64  `json:"age_ms,omitempty"` // since the writer heard it of the target
	Host   string `json:"host"`             // that wrote it
	// InForce is false for a target whose record was deleted.
	InForce bool `json:"-"`
}

// KeyPrefix begins the keys of notices in the topic where they stand; the target's id follows.
const KeyPrefix = "limit/"

// mostAgeMs is an hour: no host writes what it heard so long ago.
const mostAgeMs = 60 * 60 * 1000

// Record is the notice as it stands in the topic. One of a limit that has ended deletes the record.
func (n Notice) Record() (eventlog.Record, error) {
	rec := eventlog.Record{Key: KeyPrefix + n.Target}
	if !n.InForce {
		return rec, nil
	}
	value, err := json.Marshal(n)
	rec.Value = value
	return rec, err
}

// ParseNotice reads a record of the topic; ok is false for records of other kinds.
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
		return n, true, fmt.Errorf("limit: notice of target %q stands under %q", n.Target, id)
	}
	if !(n.PerSecond >= 0 && n.PerSecond <= mostPerSecond) {
		return n, true, fmt.Errorf("limit: notice of target %q: %v is no limit", id, n.PerSecond)
	}
	if n.AgeMs < 0 || n.AgeMs > mostAgeMs || n.Raises < 0 {
		return n, true, fmt.Errorf("limit: notice of target %q: age %d ms, raised %d times", id, n.AgeMs, n.Raises)
	}
	n.InForce = true
	return n, true, nil
}
