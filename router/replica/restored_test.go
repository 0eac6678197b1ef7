package replica

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"maststage.dev/router/eventlog"
	"maststage.dev/standin/memlog"
	"maststage.dev/standin/until"
)

// Guards against new records that are ignored since a log that came back from a copy gives them offsets below those of
// lost records.
func TestRecordsAfterTheLogWasRestoredAreApplied(t *testing.T) {
	is := is.New(t)
	l := memlog.New()
	l.Put(partition, "a", []byte("1"))
	copied := l.Snapshot()
	f := follow(t, l, "f")
	for i := range 20 {
		l.Put(partition, "a", []byte(fmt.Sprint("lost ", i)))
	}
	until.True(t, "the newest record before the loss", func() bool { return f.value("a") == "lost 19" })

	l.Restore(copied)
	l.Put(partition, "a", []byte("2"))
	l.Put(partition, "b", []byte("1"))
	began := time.Now()
	until.True(t, "records after the loss", func() bool { return f.value("a") == "2" && f.value("b") == "1" })
	is.True(time.Since(began) < time.Second)
	l.Put(partition, "a", []byte("3"))
	until.True(t, "the next record", func() bool { return f.value("a") == "3" })
}

// Guards against reads that a restored log answers at once, again and again, until it has grown beyond the lost records.
func TestRestoredLogIsNotReadInALoop(t *testing.T) {
	is := is.New(t)
	l := memlog.New()
	l.Put(partition, "a", []byte("1"))
	copied := l.Snapshot()
	f := follow(t, l, "f")
	for range 20 {
		l.Put(partition, "a", []byte("lost"))
	}
	until.True(t, "the newest record before the loss", func() bool { return f.value("a") == "lost" })
	l.Restore(copied)
	_, before := l.Calls()
	time.Sleep(time.Second)
	_, after := l.Calls()
	is.True(after-before <= 30) // a long poll takes 50 ms
}

// Guards against a record of the copy that replaces a newer one, which the log had acknowledged before it was restored.
func TestRecordsOfTheCopyDoNotReplaceNewerOnes(t *testing.T) {
	is := is.New(t)
	l := memlog.New()
	l.Put(partition, "a", []byte("old"))
	l.Put(partition, "deleted", []byte("1"))
	copied := l.Snapshot()
	f := follow(t, l, "f")
	until.True(t, "the first records", func() bool { return f.value("deleted") == "1" })
	l.Put(partition, "a", []byte("new"))
	l.Put(partition, "deleted", nil)
	l.Put(partition, "c", []byte("1"))
	until.True(t, "the newest records", func() bool { return f.value("c") == "1" })

	l.Restore(copied)
	time.Sleep(300 * time.Millisecond)
	is.Equal(f.value("a"), "new")
	is.Equal(f.value("deleted"), "")
	l.Put(partition, "a", []byte("next"))
	l.Put(partition, "deleted", []byte("2"))
	until.True(t, "the next records", func() bool { return f.value("a") == "next" && f.value("deleted") == "2" })
}

// Guards against updates of another host that is in another era of the log: an older one would bring records back that
// the restored log has superseded, and one that is newer but incomplete would leave records out.
func TestUpdatesOfOtherEras(t *testing.T) {
	is := is.New(t)
	in := func(era, offset int64) eventlog.Position { return eventlog.Position{Era: era, Offset: offset} }
	record := func(value string, at eventlog.Position) eventlog.Record {
		return eventlog.Record{Key: "a", Value: []byte(value), Position: at}
	}
	r := New(Options{Partition: partition})
	r.Merge([]eventlog.Record{record("1", in(1, 4))}, in(1, 5), in(1, 4))

	r.MergeUpdate(Update{Records: []eventlog.Record{record("old", in(0, 90))}, End: in(0, 91)})
	r.MergeUpdate(Update{Records: []eventlog.Record{record("old", in(0, 90))}, End: in(0, 91), Full: true})
	r.Merge([]eventlog.Record{record("old", in(0, 90))}, in(0, 91), in(0, 90))
	is.Equal(string(r.records["a"].Value), "1")
	r.MergeUpdate(Update{Records: []eventlog.Record{record("partial", in(2, 2))}, End: in(2, 3)})
	is.Equal(r.End(), in(1, 5))

	r.MergeUpdate(Update{Records: []eventlog.Record{record("2", in(2, 2))}, End: in(2, 3), Full: true})
	is.Equal(string(r.records["a"].Value), "2")
	is.Equal(r.End(), in(2, 3))
	is.True(r.CatchUpFrom(in(1, 5)).Full) // for a host in an earlier era
	is.True(!r.CatchUpFrom(in(2, 3)).Full)
}

// Guards against records that the log lost and that hosts started later never get.
func TestLostRecordsAreListedUntilTheyAreWrittenAgain(t *testing.T) {
	is := is.New(t)
	l := memlog.New()
	l.Put(partition, "a", []byte("1"))
	copied := l.Snapshot()
	r := New(Options{Log: l.Host("h"), Partition: partition, ReadTimeout: time.Second, KeepLost: time.Minute})
	_, err := r.step(t.Context())
	is.NoErr(err)
	l.Put(partition, "a", []byte("2"))
	l.Put(partition, "b", []byte("1"))
	_, err = r.step(t.Context())
	is.NoErr(err)
	l.Restore(copied)
	_, err = r.step(t.Context())
	is.NoErr(err)
	is.Equal(len(r.Lost()), 2)
	is.Equal(string(r.records["a"].Value), "2")
	is.Equal(string(r.records["b"].Value), "1")
	_, err = l.Host("h").AppendAt(t.Context(), partition, r.End(), r.Lost())
	is.NoErr(err)
	_, err = r.step(t.Context())
	is.NoErr(err)
	is.Equal(len(r.Lost()), 0)
}

// Guards against a key that was deleted after the log had been restored, before this replica read it, and that stays.
func TestDeletionAfterTheLogWasRestoredIsNoticed(t *testing.T) {
	is := is.New(t)
	l := memlog.New()
	l.Put(partition, "order", []byte("1"))
	copied := l.Snapshot()
	r := New(Options{Log: l.Host("h"), Partition: partition, ReadTimeout: time.Second, KeepLost: 50 * time.Millisecond})
	_, err := r.step(t.Context())
	is.NoErr(err)
	l.Restore(copied)
	l.Put(partition, "order", nil)
	_, err = r.step(t.Context())
	is.NoErr(err)
	is.Equal(string(r.records["order"].Value), "1") // it may be lost and written again
	time.Sleep(60 * time.Millisecond)
	_, err = r.step(t.Context())
	is.NoErr(err)
	is.Equal(len(r.records["order"].Value), 0)
}
