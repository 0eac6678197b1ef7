package fleet

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"maststage.dev/router/eventlog"
	"maststage.dev/router/replica"
)

// packedReplica returns a replica that read some records from the begin of the log and that the log confirmed just now.
func packedReplica(values ...string) *replica.Replica {
	r := replica.New(replica.Options{})
	r.Merge(nil, eventlog.Position{}, eventlog.Position{})
	for _, value := range values {
		appendTo(r, value)
	}
	r.Confirm(r.End(), 0)
	return r
}

// appendTo adds a record to a replica.
func appendTo(r *replica.Replica, value string) {
	end := r.End()
	r.Merge([]eventlog.Record{{Key: "k" + value, Value: []byte(value), Position: end}}, end.Plus(1), end)
}

// sameEncoding reports whether two updates share one encoding.
func sameEncoding(a, b topicUpdate) bool {
	return len(a.Packed) > 0 && len(b.Packed) > 0 && &a.Packed[0] == &b.Packed[0]
}

// packsOf asks a cache for the changes of a topic.
func packsOf(t *testing.T, cache *packCache, r *replica.Replica) func(from int64) topicUpdate {
	return func(from int64) topicUpdate {
		t.Helper()
		update, err := cache.update("t", r, eventlog.Position{Offset: from})
		if err != nil {
			t.Fatal(err)
		}
		return update
	}
}

// Guards against a reader that encodes a whole topic for each of the hosts that start at the same time, and against hosts
// that take an old encoding for a fresh one.
func TestWholeTopicIsEncodedOnceASecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := packedReplica("1", "2")
		get := packsOf(t, &packCache{}, r)
		first := get(0)
		is.Equal(first.End, int64(2))
		is.Equal(first.age(), time.Duration(0))

		time.Sleep(600 * time.Millisecond)
		appendTo(r, "3")
		r.Confirm(r.End(), 0) // which the encoding does not hold
		second := get(0)
		is.True(sameEncoding(first, second))
		is.Equal(second.End, int64(2))
		is.Equal(second.age(), 600*time.Millisecond)
		is.Equal(get(0).age(), 600*time.Millisecond) // and not added up

		time.Sleep(400 * time.Millisecond)
		third := get(0)
		is.True(!sameEncoding(first, third))
		is.Equal(third.End, int64(3))
		is.Equal(third.age(), 400*time.Millisecond)
		update, err := third.update()
		is.NoErr(err)
		is.Equal(len(update.Records), 3)
	})
}

// Guards against a reader that encodes a change for each of the hosts that follow it, or tells them less than it knows.
func TestChangeIsEncodedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := packedReplica("1", "2")
		get := packsOf(t, &packCache{}, r)
		first := get(1)
		is.Equal(first.End, int64(2))
		is.True(first.Complete)
		time.Sleep(time.Minute)
		is.True(sameEncoding(first, get(1)))

		appendTo(r, "3")
		third := get(1) // a later end, at once
		is.Equal(third.End, int64(3))
		update, err := third.update()
		is.NoErr(err)
		is.Equal(len(update.Records), 2)
		other := get(2) // another position
		update, err = other.update()
		is.NoErr(err)
		is.Equal(len(update.Records), 1)
		is.True(sameEncoding(other, get(2)))
	})
}

// Guards against followers that take their reader for cut off from the log, as the age of its cached response grows while
// nothing changes.
func TestCachedChangeIsAsFreshAsTheReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := packedReplica("1", "2")
		get := packsOf(t, &packCache{}, r)
		for range 10 {
			for _, from := range []int64{2, 1} {
				is.Equal(get(from).age(), time.Duration(0))
				is.Equal(get(from).End, int64(2))
			}
			time.Sleep(time.Second)
			is.Equal(get(2).age(), time.Second) // the log did not respond for a second
			r.Confirm(r.End(), 0)
			is.Equal(get(2).age(), time.Duration(0))
		}
	})
}

// Guards against a follower of an empty topic that does not get its first change as long as the cached topic is empty.
func TestFirstChangeOfAnEmptyTopicIsNotHidden(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := packedReplica()
		get := packsOf(t, &packCache{}, r)
		is.Equal(get(0).End, int64(0))
		appendTo(r, "1")
		update := get(0)
		is.Equal(update.End, int64(1))
		is.True(sameEncoding(update, get(0)))
	})
}

// Guards against topics that share an encoding.
func TestTopicsAreCachedApart(t *testing.T) {
	is := is.New(t)
	cache := &packCache{}
	one, two := packedReplica("1"), packedReplica("1", "2")
	for range 2 {
		update, err := cache.update("one", one, eventlog.Position{})
		is.NoErr(err)
		is.Equal(update.End, int64(1))
		update, err = cache.update("two", two, eventlog.Position{})
		is.NoErr(err)
		is.Equal(update.End, int64(2))
	}
}

// Guards against a replica that was never confirmed by the log, only loaded from a snapshot, and makes others fresh for
// ever: its age is the longest duration, which must not overflow when more is added.
func TestUnconfirmedRecordsConfirmNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		unconfirmed := replica.New(replica.Options{})
		unconfirmed.MergeNewest([]eventlog.Record{{Key: "k", Value: []byte("v")}}, eventlog.Position{Offset: 1})
		get := packsOf(t, &packCache{}, unconfirmed)
		for range 2 { // encoded, and cached
			for _, from := range []int64{0, 1} {
				update, err := get(from).update()
				is.NoErr(err)
				is.True(update.Age >= time.Hour)
			}
			time.Sleep(500 * time.Millisecond)
		}

		own := replica.New(replica.Options{})
		own.MergeNewest(nil, eventlog.Position{Offset: 1})
		f := New(Options{Replicas: map[string]*replica.Replica{"t": own}})
		ends := pullResponse{Topics: map[string]topicUpdate{"t": {End: 1, AgeMs: unconfirmed.Age().Milliseconds(), Aged: true}}}
		f.confirm(map[string]eventlog.Position{"t": {}}, ends, 5*time.Millisecond)
		is.True(own.Age() >= time.Hour)
	})
}
