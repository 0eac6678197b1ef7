package streamversion

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"maststage.dev/router/eventlog"
	"maststage.dev/standin/memlog"
	"maststage.dev/standin/until"
)

const journalTopic = "streams"

func newTestJournal(t *testing.T, l *memlog.Log, host string) *Journal {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	j := NewJournal(JournalOptions{
		Log: l.Host(host), Topic: journalTopic, Partitions: 3, Host: host, Hosts: func() int { return 6 },
		Timeout: 300 * time.Millisecond, Count: func(string) {}, Go: func(_ string, run func()) { go run() },
	})
	go j.Run(ctx)
	return j
}

// announcements describes n streams.
func announcements(first, n int) (list []Announcement) {
	for i := range n {
		list = append(list, Announcement{Key: KeyOf("org", fmt.Sprint(first+i)), Origin: Origin{service, "v1"}, KeepMs: time.Minute.Milliseconds()})
	}
	return list
}

// knows reports whether a journal finds the stream of a number.
func (j *Journal) knows(n int) bool {
	a, err := j.find(context.Background(), KeyOf("org", fmt.Sprint(n)))
	return err == nil && a != nil && *a.Origin == Origin{service, "v1"}
}

// Guards against streams that nobody knows once all hosts have ended.
func TestJournalOutlivesItsHosts(t *testing.T) {
	is := is.New(t)
	l := memlog.New()
	newTestJournal(t, l, "h0").Add(announcements(0, 3*maxJournalBatch))
	newTestJournal(t, l, "h1").Add(announcements(5000, 10))
	started := newTestJournal(t, l, "h2")
	until.True(t, "all streams are found", func() bool {
		return started.knows(0) && started.knows(3*maxJournalBatch-1) && started.knows(5009)
	})
	is.True(!started.knows(9999))
}

// Guards against a journal that can't be read once the log has dropped old records or was restored.
func TestJournalIsReadBehindTrimmedRecordsAndInALaterEra(t *testing.T) {
	l := memlog.New()
	writer, reader := newTestJournal(t, l, "h0"), newTestJournal(t, l, "h1")
	writer.Add(announcements(0, 1))
	until.True(t, "it is found", func() bool { return reader.knows(0) })
	copied := l.Snapshot()
	l.TrimAll()
	writer.Add(announcements(1, 1))
	started := newTestJournal(t, l, "h2")
	until.True(t, "what follows is found", func() bool { return reader.knows(1) && started.knows(1) })
	l.Restore(copied)
	writer.Add(announcements(2, 1))
	until.True(t, "what follows is found", func() bool { return reader.knows(2) && started.knows(2) })
}

// Guards against streams that are lost with a failed append, and against a wait for a log that does not respond.
func TestJournalOutlastsAnOutageOfTheLog(t *testing.T) {
	is := is.New(t)
	l := memlog.New()
	writer, reader := newTestJournal(t, l, "h0"), newTestJournal(t, l, "h1")
	l.SetFault("", memlog.Fault{Silent: true})
	writer.Add(announcements(0, 5))
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	_, err := reader.find(ctx, KeyOf("org", "0"))
	is.True(err != nil)
	l.SetFault("", memlog.Fault{})
	until.True(t, "all are found", func() bool { return reader.knows(0) && reader.knows(4) })
}

// Guards against a read of the log for each of many callers.
func TestCallersShareReadsOfTheJournal(t *testing.T) {
	is := is.New(t)
	l := memlog.New()
	reader := newTestJournal(t, l, "h1")
	var all sync.WaitGroup
	for i := range 200 {
		all.Go(func() { _, _ = reader.find(context.Background(), KeyOf("org", fmt.Sprint(i))) })
	}
	all.Wait()
	_, reads := l.Calls()
	is.True(reads <= 3*reader.opts.Partitions)
}

// Guards against records of other writers in the topic.
func TestInvalidRecordsOfStreamsAreIgnored(t *testing.T) {
	l := memlog.New()
	l.Put(eventlog.Partition{Topic: journalTopic}, "h9", []byte(`{"key":1}`))
	l.Put(eventlog.Partition{Topic: journalTopic}, "h9", []byte(`[{"key":"zz"}]`))
	writer, reader := newTestJournal(t, l, "h0"), newTestJournal(t, l, "h1")
	writer.Add(announcements(0, 1))
	until.True(t, "the valid ones are found", func() bool { return reader.knows(0) })
}
