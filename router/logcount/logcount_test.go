package logcount

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"maststage.dev/router/eventlog"
	"maststage.dev/standin/memlog"
)

func TestCallsAreCounted(t *testing.T) {
	is := is.New(t)
	l := memlog.New()
	notified := 0
	counted := New(l.Host("h"), func(Key, int64) { notified++ })
	ctx := context.Background()
	p := eventlog.Partition{Topic: "t"}
	_, err := counted.Append(ctx, p, []eventlog.Record{{Key: "key", Value: []byte("value")}})
	is.NoErr(err)
	_, err = counted.AppendAt(ctx, p, eventlog.Position{Offset: 7}, []eventlog.Record{{Key: "key"}})
	is.True(err != nil)
	_, err = counted.Read(ctx, p, eventlog.Position{}, 0)
	is.NoErr(err)
	l.SetFault("h", memlog.Fault{Refuse: true})
	_, err = counted.Newest(ctx, p, "")
	is.True(err != nil)

	is.Equal(counted.Counts(), map[Key]Count{
		{"t", "append", OK}: {Calls: 1}, {"t", "append", Conflict}: {Calls: 1},
		{"t", "read", OK}: {Calls: 1, Bytes: 8}, {"t", "newest", Refused}: {Calls: 1},
	})
	is.Equal(notified, 4)
	counted.LogCounts()
}
