package streamversion

import "time"

// Limits of what a host remembers.
const (
	// maxStreams bounds the streams, of some 150 bytes each. The oldest are forgotten first.
	maxStreams = 16384
	// maxKeep bounds how long a stream is remembered, whatever its caller's deadline is.
	maxKeep = 10 * time.Minute
)

// Origin is where a stream began.
type Origin struct {
	Service string `json:"service"`
	Version string `json:"version"`
}

// stream is what a host remembers of one.
type stream struct {
	origin    Origin
	ambiguous bool // two streams with this key began at different origins
	expires   time.Time
	announced bool // other hosts were told
}

// table holds the streams that a host knows. It is not safe for concurrent use.
type table struct {
	streams map[Key]*stream
	order   []Key // in the order in which they were added, also some that were forgotten
}

func newTable() *table { return &table{streams: map[Key]*stream{}} }

// add adds a stream, or prolongs how long it is remembered, and returns it.
func (t *table) add(k Key, o Origin, keep time.Duration, now time.Time) *stream {
	expires := now.Add(min(keep, maxKeep))
	if s := t.streams[k]; s != nil {
		if now.After(s.expires) {
			*s = stream{origin: o}
		}
		if s.expires.Before(expires) {
			s.expires, s.announced = expires, false
		}
		s.ambiguous = s.ambiguous || s.origin != o
		return s
	}
	for len(t.streams) >= maxStreams {
		delete(t.streams, t.order[0])
		t.order = t.order[1:]
	}
	s := &stream{origin: o, expires: expires}
	t.streams[k] = s
	t.order = append(t.order, k)
	return s
}

// get returns a stream that is still remembered, nil if there is none.
func (t *table) get(k Key, now time.Time) *stream {
	s := t.streams[k]
	if s == nil || now.After(s.expires) {
		return nil
	}
	return s
}

// sweep forgets expired streams.
func (t *table) sweep(now time.Time) {
	kept := t.order[:0]
	for _, k := range t.order {
		s := t.streams[k]
		if s == nil {
			continue
		}
		if now.After(s.expires) {
			delete(t.streams, k)
			continue
		}
		kept = append(kept, k)
	}
	t.order = kept
}
