package streamversion

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"maststage.dev/router/eventlog"
)

// Use says that streams of a route may have begun at a service, or streams of a service at a software version of its
// targets.
type Use struct {
	Route   string `json:"route,omitempty"` // empty in the second case
	Service string `json:"service"`
	Version string `json:"version,omitempty"`
}

// completeKey is the key of the record which says that the records of all uses are there.
const completeKey = "complete"

// useKeyBytes is the length of the digest that is the key of a use.
const useKeyBytes = 12

// key returns the key of the use's record. Names of routes and versions may be longer than a key.
func (u Use) key() string {
	sum := sha256.Sum256([]byte(u.Route + "\x00" + u.Service + "\x00" + u.Version))
	return hex.EncodeToString(sum[:useKeyBytes])
}

// completeRecord is the value of the record under completeKey.
type completeRecord struct {
	// Era is the newest era of the log in which the records of all uses were there. A log that was restored later may lack
	// some.
	Era int64 `json:"era"`
}

// encodeRecord returns the record of a use or of completeness.
func encodeRecord(key string, value any) eventlog.Record {
	data, err := json.Marshal(value)
	if err != nil {
		panic(fmt.Sprintf("streamversion: %v", err)) // structs of texts and numbers can be encoded
	}
	return eventlog.Record{Key: key, Value: data}
}
