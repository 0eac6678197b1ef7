package quarantine

import (
	"encoding/json"
	"fmt"
	"time"
)

// Entry is a request in quarantine: no host sends it to a target.
type Entry struct {
	Digest       Digest    `json:"digest"`
	Organisation string    `json:"organisation"`
	Service      string    `json:"service"`
	RequestID    string    `json:"request"` // the newest id under which it came
	Targets      []string  `json:"targets"` // that ended under it
	Host         string    `json:"host"`    // that decided it
	At           time.Time `json:"at"`
}

// Notice tells another host that a request is in quarantine, or not any more.
type Notice struct {
	Entry  Entry `json:"entry"`
	Lifted bool  `json:"lifted"`
}

// maxEntries bounds the requests in quarantine; the oldest give way.
const maxEntries = 1024

// MarshalText writes the digest in hexadecimal digits.
func (d Digest) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText reads what MarshalText wrote.
func (d *Digest) UnmarshalText(text []byte) error {
	parsed, err := ParseDigest(string(text))
	*d = parsed
	return err
}

// KeyPrefix begins the keys of entries in the topic where they last; the digest follows.
const KeyPrefix = "quarantine/"

func (e Entry) key() string { return KeyPrefix + e.Digest.String() }

// parseEntry reads an entry as it lies in the topic under a digest.
func parseEntry(d Digest, value []byte) (Entry, error) {
	var e Entry
	if err := json.Unmarshal(value, &e); err != nil {
		return e, fmt.Errorf("quarantine: entry: %w", err)
	}
	if e.Digest != d {
		return e, fmt.Errorf("quarantine: entry of %s lies under %s", e.Digest, d)
	}
	return e, nil
}

// list is the requests in quarantine that a host knows of. It is not safe for concurrent use.
type list struct {
	entries map[Digest]Entry
	kept    map[Digest]bool // they were read from the topic
}

func newList() *list { return &list{entries: map[Digest]Entry{}, kept: map[Digest]bool{}} }

// add takes an entry in; dropped are those that gave way. added is false if it was known.
func (l *list) add(e Entry, kept bool) (added bool, dropped []Entry) {
	if kept {
		l.kept[e.Digest] = true
	}
	if _, known := l.entries[e.Digest]; known {
		return false, nil
	}
	l.entries[e.Digest] = e
	for len(l.entries) > maxEntries {
		oldest := l.oldest()
		dropped = append(dropped, oldest)
		l.remove(oldest.Digest)
	}
	return true, dropped
}

func (l *list) remove(d Digest) (e Entry, had bool) {
	e, had = l.entries[d]
	delete(l.entries, d)
	delete(l.kept, d)
	return e, had
}

func (l *list) oldest() Entry {
	var oldest Entry
	for _, e := range l.entries {
		if oldest.At.IsZero() || e.At.Before(oldest.At) {
			oldest = e
		}
	}
	return oldest
}

// unkept lists the entries that were heard from hosts and not read from the topic yet.
func (l *list) unkept() []Entry {
	var entries []Entry
	for d, e := range l.entries {
		if !l.kept[d] {
			entries = append(entries, e)
		}
	}
	return entries
}
