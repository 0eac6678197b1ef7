// Package sse finds where complete events end in a stream of server-sent events,
// and the id of the last one. It neither buffers nor modifies the stream.
package sse

import (
	"bytes"
	"cmp"
	"strconv"
	"strings"
)

// Scanner parses one event stream. The zero value is ready to use.
type Scanner struct {
	line      []byte // the current line, up to maxLine bytes
	blank     bool   // the last line was blank and nothing has followed it
	inEvent   bool   // the current event has at least one line
	pendingID string // id of the current event
	lastID    string
	firstID   string // id of the first complete event since DropPartial that had one
	after     string // the first id since DropPartial must be greater, if both are numbers; empty: it may be any
	repeats   bool
	hasData   bool // the current event has data
	hasID     bool // the current event has an id of its own
	unnamed   bool // see Unnamed
	events    int
	skipLF    bool // the last byte was a carriage return
}

// maxLine bounds how much of a line is kept, in bytes; ids are short.
const maxLine = 256

// Scan parses the next bytes of the stream. It returns the length of the prefix of
// data that ends with the last complete event, 0 if no event ends in data.
func (s *Scanner) Scan(data []byte) (complete int) {
	for i, b := range data {
		switch {
		case b == '\n' && s.skipLF:
			s.skipLF = false
			if s.blank {
				complete = i + 1
			}
			continue
		case b == '\n' || b == '\r':
			s.skipLF = b == '\r'
			if s.endLine() {
				complete = i + 1
			}
			if s.repeats {
				return complete
			}
		default:
			s.skipLF = false
			s.blank = false
			if len(s.line) < maxLine {
				s.line = append(s.line, b)
			}
		}
	}
	return complete
}

// endLine ends the current line and reports whether events are complete up to here.
func (s *Scanner) endLine() bool {
	if len(s.line) > 0 {
		s.inEvent = true
		if id, ok := bytes.CutPrefix(s.line, []byte("id:")); ok {
			s.pendingID = strings.TrimPrefix(string(id), " ")
			s.hasID = s.pendingID != ""
		}
		s.hasData = s.hasData || bytes.HasPrefix(s.line, []byte("data:")) || string(s.line) == "data"
		s.line = s.line[:0]
		s.blank = false
		return false
	}
	s.blank = true
	if !s.inEvent {
		return true // a further blank line belongs to the event before it
	}
	unnamed := !s.hasID && (s.unnamed || s.hasData)
	s.inEvent, s.hasData, s.hasID = false, false, false
	if s.pendingID == "" {
		s.events++
		s.unnamed = unnamed
		return true
	}
	s.firstID = cmp.Or(s.firstID, s.pendingID)
	if !follows(s.pendingID, s.after) {
		s.repeats = true
		return false
	}
	s.events++
	s.lastID, s.after, s.unnamed = s.pendingID, "", unnamed
	return true
}

// follows reports whether an event may follow another one by their ids; different ids that are no numbers tell nothing.
func follows(id, after string) bool {
	next, ok := Next(id)
	least, known := Next(after)
	return id != after && (!ok || !known || next > least)
}

// Repeats reports whether the source that continues the stream began with an event that it already had. Scan stops there.
func (s *Scanner) Repeats() bool { return s.repeats }

// LastID returns the id of the last complete event that had one.
func (s *Scanner) LastID() string { return s.lastID }

// Unnamed reports whether events without an id of their own have followed that of LastID: a source that goes on behind it would
// send them again.
func (s *Scanner) Unnamed() bool { return s.unnamed }

// FirstID returns the id of the first complete event since DropPartial that had one.
func (s *Scanner) FirstID() string { return s.firstID }

// Events returns the number of complete events.
func (s *Scanner) Events() int { return s.events }

// Partial reports whether the stream is inside an event.
func (s *Scanner) Partial() bool { return s.inEvent || len(s.line) > 0 }

// DropPartial discards the current event, so that another source can continue the stream.
func (s *Scanner) DropPartial() {
	s.line = s.line[:0]
	s.inEvent, s.hasData, s.hasID, s.blank, s.skipLF = false, false, false, false, false
	s.pendingID, s.firstID, s.after, s.repeats = "", "", s.lastID, false
}

// Follow has the source begin behind an event that its receiver has from elsewhere, see Repeats.
func (s *Scanner) Follow(id string) { s.after = id }

// Next returns the number that follows a numeric id; ok is false if the id is not a
// number. A resumed stream can be checked for gaps with it.
func Next(id string) (next int64, ok bool) {
	n, err := strconv.ParseInt(strings.TrimSpace(id), 10, 64)
	if err != nil {
		return 0, false
	}
	return n + 1, true
}
