package replica

import (
	"context"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	log "github.com/sirupsen/logrus"

	"maststage.dev/router/eventlog"
	"maststage.dev/standin/memlog"
	"maststage.dev/standin/until"
)

var part = eventlog.Partition{Topic: "t"}

// follower is a replica with a record of its changes.
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
		Log: l.Host(host), Partition: part, LongPoll: 50 * time.Millisecond, Slack: 100 * time.Millisecond,
		OnChange: func(c []Change) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.changes = append(f.changes, c...)
		},
		OnContact: func(err error) {
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

// value is the newest value of a key, empty if it was deleted.
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

func TestFollows(t *testing.T) {
	is := is.New(t)
	l := memlog.New()
	l.Put(part, "a", []byte("1"))
	f := follow(t, l, "h")
	until.True(t, "the first record", func() bool { return f.value("a") == "1" })
	l.Put(part, "a", []byte("2"))
	l.Put(part, "b", []byte("3"))
	until.True(t, "later records", func() bool { return f.value("a") == "2" && f.value("b") == "3" })
	l.Put(part, "b", nil)
	until.True(t, "a deletion", func() bool { return f.value("b") == "" })
	is.Equal(f.gaps("a"), []bool{true, false}) // what was read at the start may follow others
	is.Equal(f.End(), int64(4))
}

func TestTrimmedRecordsAreReadAsNewest(t *testing.T) {
	is := is.New(t)
	l := memlog.New()
	l.Put(part, "a", []byte("1"))
	l.Put(part, "gone", []byte("1"))
	f := follow(t, l, "h")
	until.True(t, "the first record", func() bool { return f.value("gone") == "1" })
	l.SetFault("h", memlog.Fault{Refuse: true})
	until.True(t, "the loss is noticed", func() bool { up, _ := f.Up(); return !up })
	l.Put(part, "a", []byte("2"))
	l.Put(part, "a", []byte("3"))
	l.Put(part, "gone", nil)
	l.Trim(part)
	l.SetFault("h", memlog.Fault{})
	until.True(t, "the newest record", func() bool { return f.value("a") == "3" })
	until.True(t, "the deletion", func() bool { return f.value("gone") == "" })
	is.Equal(f.gaps("a"), []bool{true, true})
	f.mu.Lock()
	defer f.mu.Unlock()
	is.True(f.lost > 0 && f.found > 1)
}

func TestMissingLogIsNoticed(t *testing.T) {
	for name, fault := range map[string]memlog.Fault{"refused": {Refuse: true}, "silent": {Silent: true}} {
		t.Run(name, func(t *testing.T) {
			l := memlog.New()
			l.Put(part, "a", []byte("1"))
			l.SetFault("h", fault)
			f := follow(t, l, "h")
			until.True(t, "the loss is told", func() bool { f.mu.Lock(); defer f.mu.Unlock(); return f.lost == 1 })
			l.SetFault("h", memlog.Fault{})
			until.True(t, "the record", func() bool { return f.value("a") == "1" })
		})
	}
}

func TestTakesOverFromAnotherCopy(t *testing.T) {
	is := is.New(t)
	l := memlog.New()
	l.Put(part, "a", []byte("1"))
	l.Put(part, "dead", []byte("1"))
	l.SetFault("cut", memlog.Fault{Refuse: true})
	good, cut := follow(t, l, "good"), follow(t, l, "cut")
	until.True(t, "the record", func() bool { return good.value("a") == "1" })
	l.Put(part, "a", []byte("2"))
	l.Put(part, "dead", nil)
	until.True(t, "the newest record", func() bool { return good.value("a") == "2" && good.End() == 4 })
	cut.MergeNewest(good.Since(cut.End()))
	is.Equal(cut.value("a"), "2")
	is.Equal(cut.value("dead"), "")
	is.Equal(cut.End(), int64(4))

	// An older copy changes nothing.
	cut.MergeNewest([]eventlog.Record{{Key: "a", Value: []byte("old"), Offset: 0}}, 1)
	is.Equal(cut.value("a"), "2")
	is.Equal(cut.End(), int64(4))

	// The log goes on where the other copy ended.
	l.SetFault("cut", memlog.Fault{})
	l.Put(part, "a", []byte("3"))
	until.True(t, "the next record", func() bool { return cut.value("a") == "3" })
}
