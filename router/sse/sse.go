// Package sse finds the ends of whole events in a stream of server-sent events
// and the id of the last one. It copies nothing and changes no byte.
package sse

import (
	"bytes"
	"strconv"
	"strings"
)

// Scanner follows one event stream. The zero value is ready.
type Scanner struct {
	line    []byte // the line under way, bounded
	blank   bool   // the line under way is empty so far and an event was begun
	begun   bool   // the event under way has a line
	pending string // id of the event under way
	lastID  string
	events  int
	skipLF  bool // the last byte was a carriage return
}

// maxLine bounds the part of a line that is looked at; ids are short.
const maxLine = 256

// Scan takes the next bytes of the stream and returns how many of them belong to
// events that are whole, 0 if none ends in them.
func (s *Scanner) Scan(data []byte) (whole int) {
	for i, b := range data {
		switch {
		case b == '\n' && s.skipLF:
			s.skipLF = false
			if s.blank {
				whole = i + 1
			}
			continue
		case b == '\n' || b == '\r':
			s.skipLF = b == '\r'
			if s.endLine() {
				whole = i + 1
			}
		default:
			s.skipLF = false
			s.blank = false
			if len(s.line) < maxLine {
				s.line = append(s.line, b)
			}
		}
	}
	return whole
}

// endLine ends the line under way and says whether it ended an event.
func (s *Scanner) endLine() bool {
	if len(s.line) > 0 {
		s.begun = true
		if id, ok := bytes.CutPrefix(s.line, []byte("id:")); ok {
			s.pending = strings.TrimPrefix(string(id), " ")
		}
		s.line = s.line[:0]
		s.blank = false
		return false
	}
	s.blank = true
	if !s.begun {
		return true // a blank line between events belongs to the one before
	}
	s.begun = false
	s.events++
	if s.pending != "" {
		s.lastID = s.pending
	}
	return true
}

// LastID is the id of the last whole event that had one.
func (s *Scanner) LastID() string { return s.lastID }

// Events counts the whole events.
func (s *Scanner) Events() int { return s.events }

// Partial says whether an event has begun and not ended.
func (s *Scanner) Partial() bool { return s.begun || len(s.line) > 0 }

// DropPartial forgets the event under way, so that the stream may go on from elsewhere.
func (s *Scanner) DropPartial() {
	s.line = s.line[:0]
	s.begun, s.blank, s.skipLF = false, false, false
	s.pending = ""
}

// Next is the number behind an id, if ids are numbers; used to check that a
// resumed stream leaves nothing out.
func Next(id string) (next int64, ok bool) {
	n, err := strconv.ParseInt(strings.TrimSpace(id), 10, 64)
	if err != nil {
		return 0, false
	}
	return n + 1, true
}
