package quarantine

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"maststage.dev/router/eventlog"
	"maststage.dev/router/replica"
)

// lonely is a guard of one host whose calls to others are kept.
type lonely struct {
	*Guard
	mu      sync.Mutex
	notices []Notice
	held    []Digest
	records []eventlog.Record
	failing int // writes that fail yet
}

func newLonely() *lonely {
	l := &lonely{}
	l.Guard = New(Options{Host: "h", Write: l.write, OnQuarantine: l.onHold, Count: func(string) {}, Go: func(_ string, f func()) { go f() }})
	l.SetPeers(l)
	return l
}

func (l *lonely) CountingHosts(Digest) ([]string, int)           { return nil, 0 }
func (l *lonely) Report(context.Context, string, []Report) error { return nil }
func (l *lonely) Cleared(context.Context, Digest) bool           { return false }
func (l *lonely) Broadcast(_ context.Context, n Notice) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.notices = append(l.notices, n)
}
func (l *lonely) onHold(d Digest) { l.mu.Lock(); defer l.mu.Unlock(); l.held = append(l.held, d) }
func (l *lonely) write(_ context.Context, rec eventlog.Record) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failing > 0 {
		l.failing--
		return errors.New("down")
	}
	l.records = append(l.records, rec)
	return nil
}

// accuseOf lets three targets end under a request.
func (l *lonely) accuseOf(d Digest) {
	for _, target := range []string{"a", "b", "c"} {
		l.RecordExit(Report{Digest: d, Organisation: "o", Service: "s", RequestID: "r-" + target, Target: target, Early: true})
	}
	settle(time.Second)
}

// settle lets virtual time pass and waits for what happens in it.
func settle(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

func TestEntryIsToldAndLasts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := newLonely()
		l.failing = 3
		l.accuseOf(guilty)
		settle(5 * time.Second)
		is.True(l.IsQuarantined(guilty))
		is.Equal(l.held, []Digest{guilty})
		is.Equal(len(l.notices), 1)
		is.Equal(len(l.records), 1) // though the log was away at first
		var e Entry
		is.NoErr(json.Unmarshal(l.records[0].Value, &e))
		is.Equal(e.Targets, []string{"a", "b", "c"})
		is.Equal(e.RequestID, "r-c")
		is.Equal(l.records[0].Key, KeyPrefix+guilty.String())
		// A host that reads the record holds it, too.
		other := newLonely()
		other.ApplyChanges([]replica.Change{{Record: l.records[0]}})
		is.True(other.IsQuarantined(guilty))
		is.Equal(len(other.Unpersisted()), 0)
		is.Equal(len(l.Unpersisted()), 1) // it did not read its own record back yet
	})
}

func TestWholeAnswerClears(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := newLonely()
		l.RecordCompletion(guilty)
		l.accuseOf(guilty)
		is.True(!l.IsQuarantined(guilty))
	})
}

// A run that was under way as its request was held, and came whole, lifts the quarantine.
func TestWholeAnswerLifts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := newLonely()
		l.accuseOf(guilty)
		is.True(l.IsQuarantined(guilty))
		l.RecordCompletion(guilty)
		settle(time.Second)
		is.True(!l.IsQuarantined(guilty))
		is.True(l.notices[len(l.notices)-1].Lifted)
		is.Equal(len(l.records[len(l.records)-1].Value), 0) // its record is deleted
	})
}

// A host that knows a whole answer objects to another one's decision.
func TestNoticeOfAClearedRequestIsLifted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := newLonely()
		l.RecordCompletion(guilty)
		l.HandleNotice(Notice{Entry: Entry{Digest: guilty}})
		settle(time.Second)
		is.True(!l.IsQuarantined(guilty))
		is.Equal(len(l.notices), 1)
		is.True(l.notices[0].Lifted)
	})
}

func TestOperatorLiftsByDeletingTheRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := newLonely()
		l.accuseOf(guilty)
		is.True(l.IsQuarantined(guilty))
		l.ApplyChanges([]replica.Change{{Record: eventlog.Record{Key: KeyPrefix + guilty.String()}}})
		is.True(!l.IsQuarantined(guilty))
		// It counts anew.
		l.RecordExit(Report{Digest: guilty, Target: "d", Early: true})
		settle(time.Second)
		is.True(!l.IsQuarantined(guilty))
	})
}

func TestRecordsThatCantBeReadAreIgnored(t *testing.T) {
	is := is.New(t)
	l := newLonely()
	key := KeyPrefix + guilty.String()
	for _, rec := range []eventlog.Record{
		{Key: "host-1", Value: []byte("{}")}, {Key: KeyPrefix, Value: []byte("{}")}, {Key: KeyPrefix + "zz", Value: []byte("{}")},
		{Key: key, Value: []byte("{")}, {Key: key, Value: []byte("7")}, {Key: key, Value: []byte("{}")},
		{Key: key, Value: []byte(`{"digest":"` + digestOf(1).String() + `"}`)}, {Key: key, Value: []byte(`{"digest":5}`)},
	} {
		l.ApplyChanges([]replica.Change{{Record: rec}})
	}
	is.Equal(l.Len(), 0)
}

func TestOldestEntriesGiveWay(t *testing.T) {
	is := is.New(t)
	entries := newList()
	now := time.Now()
	for i := range maxEntries {
		_, dropped := entries.add(Entry{Digest: digestOf(i), At: now.Add(time.Duration(i))}, true)
		is.Equal(len(dropped), 0)
	}
	_, dropped := entries.add(Entry{Digest: guilty, At: now.Add(time.Hour)}, true)
	is.Equal(len(dropped), 1)
	is.Equal(dropped[0].Digest, digestOf(0))
	is.Equal(len(entries.entries), maxEntries)
}
