package quarantine

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"time"
)

// Entry is a request, or a part of prompts, in quarantine: no host sends the request, or requests with the part, to a
// target.
type Entry struct {
	Digest       Digest    `json:"digest"`
	Organisation string    `json:"organisation"`
	Service      string    `json:"service"`
	RequestID    string    `json:"request"` // the newest id of the request
	Targets      []string  `json:"targets"` // that exited under it
	Host         string    `json:"host"`    // that decided it
	At           time.Time `json:"at"`
	// Kind, and of a part its id and its digest in all requests. Earlier builds know requests only, and take an entry of
	// another kind for that of a request that never comes.
	Kind   Kind   `json:"kind,omitempty"`
	Part   string `json:"part,omitempty"`
	Common Digest `json:"common,omitzero"`
}

// Notice tells another host that a request is in quarantine, or no longer.
type Notice struct {
	Entry  Entry `json:"entry"`
	Lifted bool  `json:"lifted"`
}

// maxEntries bounds the requests in quarantine; the oldest are evicted.
const maxEntries = 1024

// MarshalText returns the digest in hexadecimal.
func (d Digest) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText parses what MarshalText returns.
func (d *Digest) UnmarshalText(text []byte) error {
	parsed, err := ParseDigest(string(text))
	*d = parsed
	return err
}

// KeyPrefix is the prefix of entries' keys in the topic; the digest follows.
const KeyPrefix = "quarantine/"

func (e Entry) key() string { return KeyPrefix + e.Digest.String() }

// parseEntry parses an entry stored under a digest's key.
func parseEntry(d Digest, value []byte) (Entry, error) {
	var e Entry
	if err := json.Unmarshal(value, &e); err != nil {
		return e, fmt.Errorf("quarantine: decoding an entry: %w", err)
	}
	if e.Digest != d {
		return e, fmt.Errorf("quarantine: entry of %s is stored under the key of %s", e.Digest, d)
	}
	return e, nil
}

// entryList is the requests in quarantine that a host knows of. It is not safe for concurrent use.
type entryList struct {
	entries   map[Digest]Entry
	persisted map[Digest]bool // were read from the topic
	addedAt   map[Digest]time.Time
	tried     map[Digest]bool // this host sent a request to try the entry, see laterTrials
}

func newEntryList() *entryList {
	return &entryList{entries: map[Digest]Entry{}, persisted: map[Digest]bool{}, addedAt: map[Digest]time.Time{}, tried: map[Digest]bool{}}
}

// add adds an entry. added is false if it was known; dropped are the evicted entries.
func (l *entryList) add(e Entry, persisted bool) (added bool, dropped []Entry) {
	if persisted {
		l.persisted[e.Digest] = true
	}
	if _, known := l.entries[e.Digest]; known {
		return false, nil
	}
	l.entries[e.Digest] = e
	l.addedAt[e.Digest] = time.Now()
	for len(l.entries) > maxEntries {
		oldest := l.oldest()
		dropped = append(dropped, oldest)
		l.remove(oldest.Digest)
	}
	return true, dropped
}

func (l *entryList) remove(d Digest) (e Entry, had bool) {
	e, had = l.entries[d]
	delete(l.entries, d)
	delete(l.persisted, d)
	delete(l.addedAt, d)
	delete(l.tried, d)
	return e, had
}

func (l *entryList) oldest() Entry {
	var oldest Entry
	for _, e := range l.entries {
		if oldest.At.IsZero() || e.At.Before(oldest.At) {
			oldest = e
		}
	}
	return oldest
}

// about lists the entries about any of the parts, sorted by digest.
func (l *entryList) about(parts []Part) (list []Entry) {
	for _, p := range parts {
		for _, d := range []Digest{p.Own, p.Common} {
			if e, held := l.entries[d]; held {
				list = append(list, e)
			}
		}
	}
	slices.SortFunc(list, func(a, b Entry) int { return bytes.Compare(a.Digest[:], b.Digest[:]) })
	return list
}

// ofPart lists the entries about a part.
func (l *entryList) ofPart(part Digest) (list []Digest) {
	for d, e := range l.entries {
		if e.Kind.isPart() && e.Common == part {
			list = append(list, d)
		}
	}
	return list
}

// unpersisted lists the entries received from hosts that were not read from the topic yet.
func (l *entryList) unpersisted() []Entry {
	var entries []Entry
	for d, e := range l.entries {
		if !l.persisted[d] {
			entries = append(entries, e)
		}
	}
	return entries
}
