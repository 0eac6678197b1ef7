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

// loneGuard is the guard of a single host. It records what it would send to others.
type loneGuard struct {
	*Guard
	mu            sync.Mutex
	notices       []Notice
	quarantined   []Digest
	records       []eventlog.Record
	writeFailures int // remaining writes that fail
}

func newLoneGuard() *loneGuard {
	l := &loneGuard{}
	l.Guard = New(Options{Host: "h", Write: l.write, OnQuarantine: l.onQuarantine, Count: func(string) {}, Go: func(_ string, f func()) { go f() }})
	l.SetPeers(l)
	return l
}

func (l *loneGuard) CountingHosts(Kind, Digest) ([]string, int)     { return nil, 0 }
func (l *loneGuard) Report(context.Context, string, []Report) error { return nil }
func (l *loneGuard) Cleared(context.Context, Digest) bool           { return false }
func (l *loneGuard) Survived(_ context.Context, part Digest) (time.Duration, bool) {
	return l.SurvivedAgo(part)
}
func (l *loneGuard) Broadcast(_ context.Context, n Notice) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.notices = append(l.notices, n)
}
func (l *loneGuard) onQuarantine(d Digest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.quarantined = append(l.quarantined, d)
}
func (l *loneGuard) write(_ context.Context, rec eventlog.Record) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.writeFailures > 0 {
		l.writeFailures--
		return errors.New("down")
	}
	l.records = append(l.records, rec)
	return nil
}

// crashThreeTargets reports the exits of three targets under a request.
func (l *loneGuard) crashThreeTargets(d Digest) {
	for _, target := range []string{"a", "b", "c"} {
		l.RecordExit(Report{Digest: d, Organisation: "o", Service: "s", RequestID: "r-" + target, Target: target, Early: true})
	}
	sleep(time.Second)
}

// sleep advances virtual time and waits for what happens meanwhile.
func sleep(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

func TestEntryIsBroadcastAndPersisted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := newLoneGuard()
		l.writeFailures = 3
		l.crashThreeTargets(crasher)
		sleep(5 * time.Second)
		is.True(l.IsQuarantined(crasher))
		is.Equal(l.quarantined, []Digest{crasher})
		is.Equal(len(l.notices), 1)
		is.Equal(len(l.records), 1) // although the log was unavailable at first
		var e Entry
		is.NoErr(json.Unmarshal(l.records[0].Value, &e))
		is.Equal(e.Targets, []string{"a", "b", "c"})
		is.Equal(e.RequestID, "r-c")
		is.Equal(l.records[0].Key, KeyPrefix+crasher.String())
		// A host that reads the record quarantines the request, too.
		other := newLoneGuard()
		other.ApplyChanges([]replica.Change{{Record: l.records[0]}})
		is.True(other.IsQuarantined(crasher))
		is.Equal(len(other.Unpersisted()), 0)
		is.Equal(len(l.Unpersisted()), 1) // it has not read back its own record yet
	})
}

func TestCompletedRequestIsNotQuarantined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := newLoneGuard()
		l.RecordCompletion(crasher)
		l.crashThreeTargets(crasher)
		is.True(!l.IsQuarantined(crasher))
	})
}

// A request that was in flight when it was quarantined, and then completed, lifts the quarantine.
func TestCompletionLiftsQuarantine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := newLoneGuard()
		l.crashThreeTargets(crasher)
		is.True(l.IsQuarantined(crasher))
		l.RecordCompletion(crasher)
		sleep(time.Second)
		is.True(!l.IsQuarantined(crasher))
		is.True(l.notices[len(l.notices)-1].Lifted)
		is.Equal(len(l.records[len(l.records)-1].Value), 0) // its record is deleted
	})
}

// A host that has seen a request complete overrules another host's decision.
func TestNoticeOfAClearedRequestIsLifted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := newLoneGuard()
		l.RecordCompletion(crasher)
		l.HandleNotice(Notice{Entry: Entry{Digest: crasher}})
		sleep(time.Second)
		is.True(!l.IsQuarantined(crasher))
		is.Equal(len(l.notices), 1)
		is.True(l.notices[0].Lifted)
	})
}

func TestOperatorLiftsByDeletingTheRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := newLoneGuard()
		l.crashThreeTargets(crasher)
		is.True(l.IsQuarantined(crasher))
		l.ApplyChanges([]replica.Change{{Record: eventlog.Record{Key: KeyPrefix + crasher.String()}}})
		is.True(!l.IsQuarantined(crasher))
		// Counting starts anew.
		l.RecordExit(Report{Digest: crasher, Target: "d", Early: true})
		sleep(time.Second)
		is.True(!l.IsQuarantined(crasher))
	})
}

func TestInvalidRecordsAreIgnored(t *testing.T) {
	is := is.New(t)
	l := newLoneGuard()
	key := KeyPrefix + crasher.String()
	for _, rec := range []eventlog.Record{
		{Key: "host-1", Value: []byte("{}")}, {Key: KeyPrefix, Value: []byte("{}")}, {Key: KeyPrefix + "zz", Value: []byte("{}")},
		{Key: key, Value: []byte("{")}, {Key: key, Value: []byte("7")}, {Key: key, Value: []byte("{}")},
		{Key: key, Value: []byte(`{"digest":"` + digestOf(1).String() + `"}`)}, {Key: key, Value: []byte(`{"digest":5}`)},
	} {
		l.ApplyChanges([]replica.Change{{Record: rec}})
	}
	is.Equal(l.Len(), 0)
}

func TestOldestEntriesAreEvicted(t *testing.T) {
	is := is.New(t)
	entries := newEntryList()
	now := time.Now()
	for i := range maxEntries {
		_, dropped := entries.add(Entry{Digest: digestOf(i), At: now.Add(time.Duration(i))}, true)
		is.Equal(len(dropped), 0)
	}
	_, dropped := entries.add(Entry{Digest: crasher, At: now.Add(time.Hour)}, true)
	is.Equal(len(dropped), 1)
	is.Equal(dropped[0].Digest, digestOf(0))
	is.Equal(len(entries.entries), maxEntries)
}
