package archive

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	log "github.com/sirupsen/logrus"

	"maststage.dev/router/eventlog"
	"maststage.dev/router/replica"
	"maststage.dev/standin/bigconfig"
	"maststage.dev/standin/memlog"
	"maststage.dev/standin/until"
)

func TestMain(m *testing.M) {
	log.SetOutput(io.Discard)
	m.Run()
}

var listed = eventlog.Partition{Topic: "list"}

// start starts a host's replica of the list and its archive; stop kills it.
func start(t *testing.T, l *memlog.Log, name string, writer bool) (c *replica.Replica, stop func()) {
	return startLimited(t, l, name, writer, 1000)
}

// startLimited is start with another limit on the size of records.
func startLimited(t *testing.T, l *memlog.Log, name string, writer bool, maxBytes int) (c *replica.Replica, stop func()) {
	c = replica.New(replica.Options{Log: l.Host(name), Partition: listed, LongPoll: 50 * time.Millisecond, ReadTimeout: 50 * time.Millisecond})
	a := New(Options{
		Log: l.Host(name), Topic: "copies", Replicas: map[string]*replica.Replica{"list": c},
		WriteInterval: 20 * time.Millisecond, FallbackDelay: 20 * time.Millisecond, CallTimeout: time.Second, MaxRecordBytes: maxBytes, Partitions: 3,
		IsWriter: func() bool { return writer },
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{}, 2)
	go func() { c.Run(ctx); ended <- struct{}{} }()
	go func() { a.Run(ctx); ended <- struct{}{} }()
	stop = func() {
		cancel()
		<-ended
		<-ended
	}
	return c, stop
}

func archived(l *memlog.Log) bool {
	_, ok := l.Get(eventlog.Partition{Topic: "copies", Number: 2}, "list")
	return ok
}

// A host that starts while the list is unreadable starts from the snapshot, and follows the list from
// the end of the snapshot once the list is readable.
func TestStartsFromASnapshot(t *testing.T) {
	is := is.New(t)
	l := memlog.New()
	l.Put(listed, "a", []byte("1"))
	l.Put(listed, "dead", []byte("1"))
	l.Put(listed, "dead", nil)
	_, stop := start(t, l, "h1", true)
	until.True(t, "a snapshot is written", func() bool { return archived(l) })
	stop()

	l.SetPartitionFault(listed, memlog.Fault{Refuse: true})
	l.SetPartitionFault(eventlog.Partition{Topic: "copies", Number: 0}, memlog.Fault{Refuse: true})
	l.SetPartitionFault(eventlog.Partition{Topic: "copies", Number: 1}, memlog.Fault{Silent: true})
	c, stop := start(t, l, "h2", false)
	defer stop()
	until.True(t, "the snapshot is loaded", c.Loaded)
	part, _ := c.UpdateSince(eventlog.Position{})
	is.Equal(len(part.Records), 1)
	is.Equal(part.Records[0].Key, "a")
	is.Equal(part.End, eventlog.Position{Offset: 3})

	l.Put(listed, "b", []byte("2"))
	l.SetPartitionFault(listed, memlog.Fault{})
	until.True(t, "the list is followed again", func() bool { return c.End().Offset == 4 })
}

// Guards against hosts that all read the snapshots from a log that can't bear it, or start from an old snapshot, while
// others read the log for them; and against hosts that never load one.
func TestSnapshotsAreLoadedOnlyWhenAllowed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := memlog.New()
		l.Put(listed, "a", []byte("1"))
		_, stop := start(t, l, "h1", true)
		time.Sleep(time.Second)
		is.True(archived(l))
		stop()

		var allowed atomic.Bool
		c := replica.New(replica.Options{})
		a := New(Options{
			Log: l.Host("h2"), Topic: "copies", Replicas: map[string]*replica.Replica{"list": c}, WriteInterval: time.Second,
			FallbackDelay: time.Second, CallTimeout: time.Second, MaxRecordBytes: 1000, Partitions: 3,
			MayLoad: allowed.Load, IsWriter: func() bool { return false },
		})
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			a.Run(ctx)
		}()
		_, before := l.Calls()
		time.Sleep(time.Minute)
		_, after := l.Calls()
		is.Equal(after, before)
		is.True(!c.Loaded())

		allowed.Store(true)
		time.Sleep(2 * maxLoadDelay) // the longest pause, with jitter
		is.True(c.Loaded())
		is.Equal(c.End(), eventlog.Position{Offset: 1})
		cancel()
		<-ended
	})
}

func TestOnlyTheWriterWrites(t *testing.T) {
	is := is.New(t)
	l := memlog.New()
	l.Put(listed, "a", []byte("1"))
	c, stop := start(t, l, "h1", false)
	until.True(t, "the list is read", c.Loaded)
	time.Sleep(100 * time.Millisecond)
	stop()
	is.True(!archived(l))
}

func TestOversizedSnapshotIsNotWritten(t *testing.T) {
	is := is.New(t)
	l := memlog.New()
	l.Put(listed, "a", make([]byte, 2000))
	c, stop := start(t, l, "h1", true)
	until.True(t, "the list is read", c.Loaded)
	time.Sleep(100 * time.Millisecond)
	stop()
	is.True(!archived(l))
}

func TestStartWithoutLogOrSnapshots(t *testing.T) {
	is := is.New(t)
	l := memlog.New()
	l.SetPartitionFault(listed, memlog.Fault{Refuse: true})
	c, stop := start(t, l, "h1", true)
	time.Sleep(100 * time.Millisecond)
	stop()
	is.True(!c.Loaded())
}

// Guards against hosts starting with a configuration that is two dozen seconds old and responding 404
// for its newer routes: once the configuration had grown beyond the largest record that the log
// accepts, no snapshot was written any more, which only a debug line reported.
func TestLargeConfigurationIsArchived(t *testing.T) {
	is := is.New(t)
	l := memlog.New()
	want := bigconfig.Routes(1770, 1)
	l.Put(listed, "config", want)
	_, stop := startLimited(t, l, "h1", true, 1<<18)
	until.True(t, "a snapshot is written", func() bool { return archived(l) })
	stop()

	l.SetPartitionFault(listed, memlog.Fault{Refuse: true})
	c, stop := startLimited(t, l, "h2", false, 1<<18)
	defer stop()
	until.True(t, "the snapshot is loaded", c.Loaded)
	part, _ := c.UpdateSince(eventlog.Position{})
	is.Equal(string(part.Records[0].Value), string(want))
	is.Equal(part.End, eventlog.Position{Offset: 1})
}
