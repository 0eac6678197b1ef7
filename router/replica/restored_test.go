package replica

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

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
