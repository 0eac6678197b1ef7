package replica

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	log "github.com/sirupsen/logrus"

	"maststage.dev/router/eventlog"
	"maststage.dev/standin/memlog"
	"maststage.dev/standin/until"
)

var partition = eventlog.Partition{Topic: "t"}

// at is an offset of a log that was never restored.
func at(offset int64) eventlog.Position { return eventlog.Position{Offset: offset} }

// follower is a replica that records its changes.
type follower struct {
	*Replica
	mu      sync.Mutex
	changes []Change
	lost    int
	found   int
}

func follow(t *testing.T, l *memlog.Log, host string) *follower {
	log.SetOutput(io.Discard)
	f := &follower{}
	f.Replica = New(Options{
		Log: l.Host(host), Partition: partition, LongPoll: 50 * time.Millisecond, ReadTimeout: 100 * time.Millisecond,
		OnChange: func(c []Change) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.changes = append(f.changes, c...)
		},
		OnConnectivity: func(err error) {
			f.mu.Lock()
			defer f.mu.Unlock()
			if err != nil {
				f.lost++
			} else {
				f.found++
			}
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return f
}

// value returns the newest value of a key, empty if it was deleted.
func (f *follower) value(key string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	v := ""
	for _, c := range f.changes {
		if c.Record.Key == key {
			v = string(c.Record.Value)
		}
	}
	return v
}

func (f *follower) gaps(key string) []bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	var gaps []bool
	for _, c := range f.changes {
		if c.Record.Key == key {
			gaps = append(gaps, c.Gap)
		}
	}
	return gaps
}

func TestFollowsTheLog(t *testing.T) {
	is := is.New(t)
	l := memlog.New()
	l.Put(partition, "a", []byte("1"))
	f := follow(t, l, "h")
	until.True(t, "the first record", func() bool { return f.value("a") == "1" })
	l.Put(partition, "a", []byte("2"))
	l.Put(partition, "b", []byte("3"))
	until.True(t, "later records", func() bool { return f.value("a") == "2" && f.value("b") == "3" })
	l.Put(partition, "b", nil)
	until.True(t, "a deletion", func() bool { return f.value("b") == "" })
	is.Equal(f.gaps("a"), []bool{true, false}) // the initial load may have skipped earlier records
	is.Equal(f.End(), at(4))
}

func TestTrimmedRecordsAreReloaded(t *testing.T) {
	is := is.New(t)
	l := memlog.New()
	l.Put(partition, "a", []byte("1"))
	l.Put(partition, "gone", []byte("1"))
	f := follow(t, l, "h")
	until.True(t, "the first record", func() bool { return f.value("gone") == "1" })
	l.SetFault("h", memlog.Fault{Refuse: true})
	until.True(t, "the log is reported unreachable", func() bool { up, _ := f.Up(); return !up })
	l.Put(partition, "a", []byte("2"))
	l.Put(partition, "a", []byte("3"))
	l.Put(partition, "gone", nil)
	l.Trim(partition)
	l.SetFault("h", memlog.Fault{})
	until.True(t, "the newest record", func() bool { return f.value("a") == "3" })
	until.True(t, "the deletion", func() bool { return f.value("gone") == "" })
	is.Equal(f.gaps("a"), []bool{true, true})
	f.mu.Lock()
	defer f.mu.Unlock()
	is.True(f.lost > 0 && f.found > 1)
}

func TestUnreachableLogIsReported(t *testing.T) {
	for name, fault := range map[string]memlog.Fault{"refused": {Refuse: true}, "silent": {Silent: true}} {
		t.Run(name, func(t *testing.T) {
			l := memlog.New()
			l.Put(partition, "a", []byte("1"))
			l.SetFault("h", fault)
			f := follow(t, l, "h")
			until.True(t, "the loss of the log is reported", func() bool { f.mu.Lock(); defer f.mu.Unlock(); return f.lost == 1 })
			l.SetFault("h", memlog.Fault{})
			until.True(t, "the record", func() bool { return f.value("a") == "1" })
		})
	}
}

func TestMergesRecordsOfAnotherReplica(t *testing.T) {
	is := is.New(t)
	l := memlog.New()
	l.Put(partition, "a", []byte("1"))
	l.Put(partition, "dead", []byte("1"))
	l.SetFault("cut", memlog.Fault{Refuse: true})
	good, cut := follow(t, l, "good"), follow(t, l, "cut")
	until.True(t, "the record", func() bool { return good.value("a") == "1" })
	l.Put(partition, "a", []byte("2"))
	l.Put(partition, "dead", nil)
	until.True(t, "the newest record", func() bool { return good.value("a") == "2" && good.End() == at(4) })
	newer, ok := good.UpdateSince(cut.End())
	is.True(ok)
	cut.MergeNewest(newer.Records, newer.End)
	is.Equal(cut.value("a"), "2")
	is.Equal(cut.value("dead"), "")
	is.Equal(cut.End(), at(4))

	// An older replica changes nothing.
	cut.MergeNewest([]eventlog.Record{{Key: "a", Value: []byte("old"), Position: at(0)}}, at(1))
	is.Equal(cut.value("a"), "2")
	is.Equal(cut.End(), at(4))

	// Reading the log continues where the other replica ended.
	l.SetFault("cut", memlog.Fault{})
	l.Put(partition, "a", []byte("3"))
	until.True(t, "the next record", func() bool { return cut.value("a") == "3" })
}

// A record with the same DedupKey as its predecessor is not reported, neither here nor to other hosts.
func TestHeartbeatsAreNotReportedAsChanges(t *testing.T) {
	is := is.New(t)
	var reported []string
	r := New(Options{
		OnChange: func(changes []Change) {
			for _, c := range changes {
				reported = append(reported, string(c.Record.Value))
			}
		},
		DedupKey: func(rec eventlog.Record) any {
			if len(rec.Value) == 0 {
				return nil
			}
			return rec.Value[0] // the rest counts heartbeats
		},
	})
	put := func(offset int64, value string) {
		r.Merge([]eventlog.Record{{Key: "k", Value: []byte(value), Position: at(offset)}}, at(offset+1), at(offset))
	}
	put(0, "a1")
	put(1, "a2")
	put(2, "b3")
	put(3, "b4")
	is.Equal(reported, []string{"a1", "b3"})
	since := func(offset int64) int {
		part, _ := r.UpdateSince(at(offset))
		is.Equal(part.End, at(4))
		return len(part.Records)
	}
	is.Equal(since(2), 1) // b3 has offset 2
	is.Equal(since(3), 0)
	put(4, "")
	put(5, "b6") // listed again
	is.Equal(reported, []string{"a1", "b3", "", "b6"})
}

// A replica does not read the log if its relay responds, and reads it if the relay does not.
func TestRelayReplacesReadsOfTheLog(t *testing.T) {
	is := is.New(t)
	l := memlog.New()
	l.Put(partition, "k", []byte("1"))
	relay := true
	r := New(Options{
		Log: l.Host("h"), Partition: partition, ReadTimeout: time.Second,
		Relay: func(_ context.Context, from eventlog.Position) (Update, bool) {
			is.Equal(from, at(1))
			records := []eventlog.Record{{Key: "k", Value: []byte("2"), Position: at(1)}}
			return Update{Records: records, End: at(2), Age: time.Minute}, relay
		},
	})
	ctx := context.Background()
	_, err := r.step(ctx) // the first step loads all records
	is.NoErr(err)
	_, before := l.Calls()
	age, err := r.step(ctx)
	is.NoErr(err)
	is.Equal(age, time.Minute)
	_, after := l.Calls()
	is.Equal(after, before)
	is.Equal(r.End(), at(2))
	is.Equal(string(r.records["k"].Value), "2")

	r.opts.Relay = func(context.Context, eventlog.Position) (Update, bool) { return Update{}, false }
	l.Put(partition, "k", []byte("2"))
	l.Put(partition, "k", []byte("3"))
	_, err = r.step(ctx)
	is.NoErr(err)
	is.Equal(r.End(), at(3))
}

// busyPages is a log of many pages that refuses every third call.
type busyPages struct {
	eventlog.Log
	pages, calls int
}

func (l *busyPages) Newest(_ context.Context, _ eventlog.Partition, after string) (eventlog.Page, error) {
	l.calls++
	if l.calls%3 == 0 {
		return eventlog.Page{}, eventlog.ErrRefused
	}
	n := 0
	if after != "" {
		_, _ = fmt.Sscanf(after, "k%d", &n)
		n++
	}
	rec := eventlog.Record{Key: fmt.Sprintf("k%02d", n), Value: []byte("v"), Position: at(int64(n))}
	return eventlog.Page{Records: []eventlog.Record{rec}, More: n < l.pages-1, End: at(int64(l.pages))}, nil
}

// Guards against loads that never complete: when a large fleet starts at once, the log may refuse one
// call in three, and a load of twenty pages that starts over at each refusal does not end.
func TestLoadResumesAfterARefusedPage(t *testing.T) {
	is := is.New(t)
	l := &busyPages{pages: 20}
	r := New(Options{Log: l, Partition: partition, ReadTimeout: time.Second})
	for tries := 0; !r.Loaded() && tries < 15; tries++ {
		_, _ = r.step(t.Context())
	}
	is.True(r.Loaded())
	is.Equal(len(r.records), 20)
	is.True(l.calls <= 20*3/2)
}

// The maximum backoff grows with the fleet so that retries of all hosts do not overload the log.
func TestBackoffGrowsWithTheFleet(t *testing.T) {
	is := is.New(t)
	is.Equal(New(Options{}).backoffLimit(eventlog.ErrRefused), maxBackoff)
	is.Equal(New(Options{Hosts: func() int { return 90 }}).backoffLimit(eventlog.ErrRefused), maxBackoff)
	is.Equal(New(Options{Hosts: func() int { return 2000 }}).backoffLimit(eventlog.ErrRefused), 4*time.Second)
}

// The age of an update is that of the log's response that it is based on, however many hosts relayed
// it.
func TestRelayedUpdateKeepsItsAge(t *testing.T) {
	is := is.New(t)
	r := New(Options{})
	r.recordContact(time.Minute, nil)
	part, _ := r.UpdateSince(at(0))
	is.True(part.Age >= time.Minute)
	is.True(r.Stale(time.Now()))
}

// shortResponses is a log that sends at most one record per response, and counts the records sent.
type shortResponses struct {
	eventlog.Log
	sent atomic.Int64
}

func (l *shortResponses) Read(ctx context.Context, p eventlog.Partition, from eventlog.Position, wait time.Duration) (eventlog.Batch, error) {
	batch, err := l.Log.Read(ctx, p, from, wait)
	batch.Records = batch.Records[:min(len(batch.Records), 1)]
	l.sent.Add(int64(len(batch.Records)))
	return batch, err
}

// A replica that is many versions behind reads only the newest.
func TestLaggingReplicaReadsOnlyNewestRecords(t *testing.T) {
	is := is.New(t)
	l := memlog.New()
	l.Put(partition, "a", []byte("0"))
	short := &shortResponses{Log: l.Host("h")}
	r := New(Options{Log: short, Partition: partition, LongPoll: 50 * time.Millisecond, ReadTimeout: 100 * time.Millisecond})
	_, err := r.load(t.Context())
	is.NoErr(err)
	for i := range 100 {
		l.Put(partition, "a", []byte(fmt.Sprint(i)))
	}
	for r.End().Before(at(101)) {
		_, err = r.step(t.Context())
		is.NoErr(err)
	}
	is.Equal(short.sent.Load(), int64(1))
	known, _ := r.UpdateSince(at(0))
	is.Equal(string(known.Records[0].Value), "99")

	// It then follows the log again.
	l.Put(partition, "a", []byte("next"))
	_, err = r.step(t.Context())
	is.NoErr(err)
	is.Equal(short.sent.Load(), int64(2))
	is.Equal(r.End(), at(102))
}

// A replica that dropped tombstones reports an update from below them as incomplete.
func TestUpdateSinceIsIncompleteBelowTombstoneHorizon(t *testing.T) {
	is := is.New(t)
	r := New(Options{})
	for i := range int64(maxTombstones + 1) {
		r.Merge([]eventlog.Record{{Key: fmt.Sprint(i), Position: at(i)}}, at(i+1), at(i))
	}
	_, ok := r.UpdateSince(at(1))
	is.True(!ok)
	_, ok = r.UpdateSince(at(0))
	is.True(ok) // an empty replica needs no tombstones
	_, ok = r.UpdateSince(r.End())
	is.True(ok)
}

// Guards against deleted records coming back from another host's older replica, when the log deleted
// them before this replica loaded: a starting host asks the log and other hosts at the same time.
func TestDeletedRecordsAreNotRestoredByOtherReplicas(t *testing.T) {
	is := is.New(t)
	l := memlog.New()
	l.Put(partition, "gone", []byte("1"))
	l.Put(partition, "kept", []byte("1"))
	other := follow(t, l, "other")
	until.True(t, "the other replica has both", func() bool { return other.End() == at(2) })
	old, ok := other.UpdateSince(at(0))
	is.True(ok)
	l.Put(partition, "gone", nil)
	f := follow(t, l, "f")
	until.True(t, "the log is read", func() bool { return f.End() == at(3) })
	f.MergeNewest(old.Records, old.End)
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.changes {
		is.True(c.Record.Key != "gone")
	}
	is.Equal(f.End(), at(3))
}

// A replica that was loaded after a key was deleted has no tombstone for it. Guards against it sending
// only its changes to a host that still knows the key, which would then keep the key forever.
func TestFullUpdateReportsEarlierDeletions(t *testing.T) {
	is := is.New(t)
	l := memlog.New()
	l.Put(partition, "gone", []byte("1"))
	l.Put(partition, "kept", []byte("1"))
	older := follow(t, l, "older")
	until.True(t, "the older replica has both", func() bool { return older.End() == at(2) })
	l.SetFault("older", memlog.Fault{Refuse: true})
	l.Put(partition, "new", []byte("1"))
	l.Put(partition, "gone", nil)
	fresh := follow(t, l, "fresh")
	until.True(t, "the fresh replica is loaded", func() bool { return fresh.End() == at(4) })
	_, ok := fresh.UpdateSince(at(2))
	is.True(!ok)
	older.MergeUpdate(fresh.CatchUpFrom(at(2)))
	is.Equal(older.End(), at(4))
	older.mu.Lock()
	defer older.mu.Unlock()
	last := older.changes[len(older.changes)-1]
	is.Equal(len(older.records["gone"].Value), 0)
	is.Equal(string(older.records["new"].Value), "1")
	is.True(last.Record.Key == "gone" || last.Record.Key == "new")
}

// Refresh starts a read at once, also while the replica pauses between two reads.
func TestRefreshEndsThePauseBetweenReads(t *testing.T) {
	is := is.New(t)
	l := memlog.New()
	l.Put(partition, "k", []byte("1"))
	r := New(Options{Log: l.Host("h"), Partition: partition, LongPoll: 10 * time.Millisecond, ReadTimeout: 100 * time.Millisecond, MinInterval: time.Minute})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	until.True(t, "the first read", r.Loaded)
	time.Sleep(50 * time.Millisecond) // the replica is pausing now
	began := time.Now()
	r.Refresh()
	until.True(t, "the second read", func() bool { return r.RefreshedSince(began) })
	is.True(time.Since(began) < time.Second)
}
