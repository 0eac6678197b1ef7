package replica

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"maststage.dev/router/eventlog"
)

// Guards against hosts that keep for good, or can't write again, what a restored log lacks, because they follow another
// host that kept it.
func TestFollowerKeepsLostRecordsAsLongAsItsReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		restored := func(offset int64) eventlog.Position { return eventlog.Position{Era: 1, Offset: offset} }
		records := []eventlog.Record{{Key: "kept", Value: []byte("1"), Position: at(0)}, {Key: "lost", Value: []byte("1"), Position: at(1)}}
		newReplica := func() *Replica {
			r := New(Options{KeepLost: 5 * time.Second})
			r.Merge(records, at(2), at(0))
			return r
		}
		reader, follower := newReplica(), newReplica()
		reader.replaceAll([]eventlog.Record{{Key: "kept", Value: []byte("1"), Position: restored(0)}}, restored(1))
		follower.MergeUpdate(reader.CatchUpFrom(follower.End()))
		is.Equal(follower.End(), restored(1))
		is.Equal(len(reader.Lost()), 1)
		is.Equal(follower.Lost(), reader.Lost())
		time.Sleep(4 * time.Second)
		follower.dropUnconfirmed(time.Now())
		is.Equal(string(follower.records["lost"].Value), "1")
		time.Sleep(2 * time.Second)
		reader.dropUnconfirmed(time.Now())
		follower.dropUnconfirmed(time.Now())
		is.Equal(len(reader.records["lost"].Value), 0)
		is.Equal(len(follower.records["lost"].Value), 0)
	})
}

// Guards against a follower that stays in an earlier era for good since it knew a topic as empty.
func TestFollowerOfAnEmptyTopicEntersTheNextEra(t *testing.T) {
	is := is.New(t)
	reader, follower := New(Options{}), New(Options{})
	reader.Merge(nil, at(0), at(0))
	follower.Merge(nil, at(0), at(0))
	end := eventlog.Position{Era: 1, Offset: 1}
	reader.replaceAll([]eventlog.Record{{Key: "k", Value: []byte("1"), Position: eventlog.Position{Era: 1}}}, end)
	follower.MergeUpdate(reader.CatchUpFrom(follower.End()))
	is.Equal(follower.End(), end)
}
