package fleet

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"maststage.dev/router/eventlog"
	"maststage.dev/router/replica"
)

// writeOnly is a log that accepts announcements and returns no records.
type writeOnly struct{ eventlog.Log }

func (writeOnly) Append(context.Context, eventlog.Partition, []eventlog.Record) (eventlog.Position, error) {
	return eventlog.Position{}, nil
}

// Guards against a host that can't read the log, drops all others after a while, and then takes all
// of what they share, while they still count it as one of them.
func TestHostThatReadsNothingTakesNoDuty(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		f := New(Options{Self: Host{Name: "a"}, Log: writeOnly{}, AnnounceInterval: 8 * time.Second, PullInterval: time.Minute, CallTimeout: time.Second})
		go f.Run(ctx)
		var changes []replica.Change
		for _, name := range []string{"a", "b", "c"} {
			value, err := json.Marshal(Host{Name: name, Incarnation: "1"})
			is.NoErr(err)
			changes = append(changes, replica.Change{Record: eventlog.Record{Key: name, Value: value}})
		}
		f.HandleChanges(changes)
		time.Sleep(10 * time.Second)
		hosts, self := f.Elected("duty", 3)
		is.Equal(hosts, 3)
		is.True(self)
		time.Sleep(time.Minute)
		_, self = f.Elected("duty", 3)
		is.True(!self)
	})
}
