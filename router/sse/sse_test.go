package sse

import (
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestScan(t *testing.T) {
	cases := []struct {
		name, text string
		complete   int
		events     int
		last       string
	}{
		{"empty", "", 0, 0, ""},
		{"one event", "id: 7\ndata: x\n\n", 15, 1, "7"},
		{"unfinished", "id: 7\ndata: x\n", 0, 0, ""},
		{"second unfinished", "id: 7\n\nid: 8\nda", 7, 1, "7"},
		{"carriage returns", "id: 7\r\ndata: x\r\n\r\n", 18, 1, "7"},
		{"no space", "id:7\n\n", 6, 1, "7"},
		{"event without id", "id: 7\n\ndata: y\n\n", 16, 2, "7"},
		{"comment", ": c\n\n", 5, 1, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var s Scanner
			is.Equal(s.Scan([]byte(c.text)), c.complete)
			is.Equal(s.Events(), c.events)
			is.Equal(s.LastID(), c.last)
		})
	}
}

// Guards against results that depend on how the stream is split into reads.
func TestScanInPieces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lines := rapid.SliceOf(rapid.SampledFrom([]string{"id: 1", "id: 22", "data: x", "", "event: y", ": c"})).Draw(t, "lines")
		newline := rapid.SampledFrom([]string{"\n", "\r\n"}).Draw(t, "newline")
		text := strings.Join(lines, newline)
		var one Scanner
		whole := one.Scan([]byte(text))

		var pieces Scanner
		at, found := 0, 0
		for at < len(text) {
			n := rapid.IntRange(1, len(text)-at).Draw(t, "piece")
			if w := pieces.Scan([]byte(text[at : at+n])); w > 0 {
				found = at + w
			}
			at += n
		}
		if found != whole || pieces.Events() != one.Events() || pieces.LastID() != one.LastID() {
			t.Fatalf("scanned in pieces: %d bytes, %d events, id %q; at once: %d, %d, %q", found, pieces.Events(), pieces.LastID(), whole, one.Events(), one.LastID())
		}
	})
}

func TestRestartForgetsThePartialEvent(t *testing.T) {
	is := is.New(t)
	var s Scanner
	s.Scan([]byte("id: 1\n\nid: 2\nda"))
	is.True(s.Partial())
	s.DropPartial()
	is.True(!s.Partial())
	is.Equal(s.LastID(), "1")
	s.Scan([]byte("id: 2\ndata: x\n\n"))
	is.Equal(s.LastID(), "2")
	is.Equal(s.Events(), 2)
}

// Guards against a source that continues a stream with events that the stream had: they must not be passed on.
func TestRepeatedEventsOfAResumedStreamAreFound(t *testing.T) {
	for _, c := range []struct {
		first, second string
		complete      int
		repeats       bool
		last          string
	}{
		{"id: 6\n\nid: 12\n\n", "id: 18\n\n", 8, false, "18"},
		{"id: 6\n\nid: 12\n\n", "id: 6\n\nid: 12\n\nid: 18\n\n", 0, true, "12"},
		{"id: 6\n\nid: 12\n\n", "id: 12\n\n", 0, true, "12"},
		{"id: 6\n\nid: 12\n\n", ": c\n\nid: 12\n\n", 5, true, "12"},
		{"id: 6\n\nid: 12\n\n", "data: x\n\nid: 13\n\nid: 5\n\n", 24, false, "5"}, // ids within one source are its own
		{"id: b\n\n", "id: a\n\n", 7, false, "a"},
		{"id: a\n\n", "id: a\n\nid: b\n\n", 0, true, "a"},
		{"id: 6\n\n", "id: a\n\n", 7, false, "a"},
		{"data: x\n\n", "id: 1\n\n", 7, false, "1"},
	} {
		is := is.New(t)
		var s Scanner
		s.Scan([]byte(c.first + "id: 99\nda"))
		s.DropPartial()
		is.Equal(s.Scan([]byte(c.second)), c.complete)
		is.Equal(s.Repeats(), c.repeats)
		is.Equal(s.LastID(), c.last)
	}
}

// Guards against going on behind the last id though events without one have followed it.
func TestEventsBehindTheLastIDAreFound(t *testing.T) {
	for text, behind := range map[string]bool{
		"": false, "id: 1\n\n": false, "id: 1\ndata: x\n\n": false, "id: 1\n\n: c\n\n": false, "id: 1\n\nevent: ping\n\n": false,
		"data: x\n\n": true, "data\n\n": true, "id: 1\n\ndata: y\n\n": true, "id: 1\n\nid:\ndata: y\n\n": true,
		"id: 1\n\ndata: y\n\nid: 2\n\n": false, "id: 1\n\ndata: y\n\n: c\n\n": true, "id: 1\n\ndata: y\n": false,
	} {
		is := is.New(t)
		var s Scanner
		s.Scan([]byte(text))
		is.Equal(s.Unnamed(), behind)
		s.DropPartial()
		is.Equal(s.Unnamed(), behind)
	}
	var s Scanner
	s.Scan([]byte("id: 1\n\n"))
	s.DropPartial()
	s.Scan([]byte("data: y\n\nid: 1\n\n")) // repeats the last event, which counts for nothing
	is.New(t).True(s.Unnamed())
}
