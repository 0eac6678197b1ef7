package fleet

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"maststage.dev/router/eventlog"
	"maststage.dev/router/replica"
)

// source is the address of the host that others pull from in these tests.
const source = "10.0.0.1:1"

// pulling returns a fleet with a replica of topic t, whose calls reach a host with another replica at source.
func pulling(own, others *replica.Replica) *Fleet {
	responder := New(Options{Self: Host{Name: "source"}, Replicas: map[string]*replica.Replica{"t": others}})
	return New(Options{
		Self: Host{Name: "puller"}, CallTimeout: time.Second, Replicas: map[string]*replica.Replica{"t": own},
		Transport: inProcess{source: responder.Handler()},
	})
}

// Guards against hosts that count as stale though another host, which knows no more, has just heard from the log; and
// against those that count as fresher than the host that they pulled from.
func TestPullMakesAsFreshAsTheSource(t *testing.T) {
	for name, known := range map[string][]string{"knows as much": {"1", "2"}, "knows less": {"1"}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				own, others := packedReplica(known...), packedReplica("1", "2")
				time.Sleep(time.Minute)
				others.Confirm(others.End(), time.Second)
				f := pulling(own, others)
				topics := map[string]eventlog.Position{"t": own.End()}
				is.NoErr(newPuller(f).pull(t.Context(), source, topics))
				is.Equal(own.End(), others.End())
				is.Equal(own.Age(), time.Second)
			})
		})
	}
}

// Guards against a pull that waits for another one beyond its own end.
func TestPullThatWaitsForAnotherEndsInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		own, others := packedReplica(), packedReplica("1")
		p := newPuller(pulling(own, others))
		topics := map[string]eventlog.Position{"t": own.End()}
		p.fetching <- struct{}{} // another pull fetches
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		began := time.Now()
		err := p.pull(ctx, source, topics)
		is.True(errors.Is(err, context.DeadlineExceeded))
		is.Equal(time.Since(began), time.Second)

		<-p.fetching
		for range 2 { // each gives its turn back
			is.NoErr(p.pull(t.Context(), source, topics))
		}
		is.Equal(own.End(), others.End())
	})
}

// Guards against hosts that take another one without a topic for one that knows it to be empty.
func TestTopicThatIsNotLoadedIsNotServed(t *testing.T) {
	is := is.New(t)
	own := replica.New(replica.Options{})
	f := pulling(own, replica.New(replica.Options{}))
	is.NoErr(newPuller(f).pull(t.Context(), source, map[string]eventlog.Position{"t": {}}))
	is.True(!own.Loaded())
	_, err := f.followReader(t.Context(), source, "t", eventlog.Position{})
	is.True(errors.Is(err, errNotAhead))
}

// Guards against a reader that answers its followers at once or only after a change, and against one that holds the calls
// of those that want no wait.
func TestReaderHoldsCallsUntilAChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		others := packedReplica("1", "2")
		f := pulling(replica.New(replica.Options{}), others)
		began := time.Now()
		update, err := f.followReader(t.Context(), source, "t", eventlog.Position{})
		is.NoErr(err)
		is.Equal(len(update.Records), 2)
		is.Equal(time.Since(began), time.Duration(0))

		update, err = f.followReader(t.Context(), source, "t", update.End)
		is.NoErr(err)
		is.Equal(len(update.Records), 0)
		is.Equal(time.Since(began), followHold)

		time.AfterFunc(300*time.Millisecond, func() { appendTo(others, "3") })
		update, err = f.followReader(t.Context(), source, "t", update.End)
		is.NoErr(err)
		is.Equal(len(update.Records), 1)
		is.True(update.Complete)
		is.Equal(time.Since(began), followHold+300*time.Millisecond)

		var response pullResponse
		request := newPullRequest(map[string]eventlog.Position{"t": update.End})
		is.NoErr(f.client.call(t.Context(), source, pathPull, request, &response))
		is.Equal(response.Topics["t"].End, int64(3))
		is.Equal(time.Since(began), followHold+300*time.Millisecond)
	})
}
