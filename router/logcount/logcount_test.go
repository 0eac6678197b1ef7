package logcount

import (
	"context"
	"errors"
	"testing"
	"time"

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

// Guards against calls about groups that are missing in the load that a host puts on the log, or count under a wrong
// outcome.
func TestGroupCallsAreCountedByOutcome(t *testing.T) {
	is := is.New(t)
	l := memlog.New()
	view := l.Host("h")
	notified := 0
	counts := New(view, func(Key, int64) { notified++ })
	groups := NewGroups(view, counts)
	m := eventlog.Membership{Group: "g", Member: "h", Topic: "t", TTL: time.Minute}
	for range 2 {
		assignment, err := groups.Join(t.Context(), m)
		is.NoErr(err)
		is.True(len(assignment.Partitions) > 0) // results are passed on
	}
	owners, err := groups.Owners(t.Context(), "g")
	is.NoErr(err)
	is.True(len(owners) > 0)

	l.SetFault("h", memlog.Fault{Refuse: true})
	_, err = groups.Join(t.Context(), m)
	is.True(errors.Is(err, eventlog.ErrRefused))
	_, err = groups.Owners(t.Context(), "g")
	is.True(errors.Is(err, eventlog.ErrRefused))

	l.SetFault("h", memlog.Fault{Silent: true})
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = groups.Join(ctx, m)
	is.True(errors.Is(err, context.Canceled))
	_, err = groups.Owners(ctx, "g")
	is.True(errors.Is(err, context.Canceled))

	is.Equal(counts.Counts(), map[Key]Count{
		{"g", "join", OK}: {Calls: 2}, {"g", "join", Refused}: {Calls: 1}, {"g", "join", Unknown}: {Calls: 1},
		{"g", "owners", OK}: {Calls: 1}, {"g", "owners", Refused}: {Calls: 1}, {"g", "owners", Unknown}: {Calls: 1},
	})
	is.Equal(notified, 7)
}
