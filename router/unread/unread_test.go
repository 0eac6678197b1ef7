package unread

import (
	"io"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	log "github.com/sirupsen/logrus"
)

func TestMain(m *testing.M) {
	log.SetOutput(io.Discard)
	m.Run()
}

// Guards against callers that stop reading for good, twenty a second for ten minutes, exceeding
// the bound, and against aborting callers beside them that read slowly. Runs in virtual time.
func TestStoppedReadersStayWithinBound(t *testing.T) {
	is := is.New(t)
	const maxBytes, size, perSecond = 16 << 20, 256 << 10, 20
	aborts, peak := 0, int64(0)
	tracker := New(maxBytes, func() { aborts++ })
	random := rand.New(rand.NewPCG(1, 2))
	type slowReader struct {
		response *Response
		ends     time.Time
	}
	var reading []slowReader
	begin := time.Now()
	for now := begin; now.Sub(begin) < 10*time.Minute; now = now.Add(checkInterval) {
		for range perSecond * int(checkInterval) / int(time.Second) {
			tracker.Track(func() {}).BeginWrite(size, now) // never read
			response := tracker.Track(func() { t.Error("aborted a caller that reads") })
			response.BeginWrite(size, now)
			reading = append(reading, slowReader{response, now.Add(time.Duration(random.Int64N(int64(minWait))))})
		}
		rest := reading[:0]
		for _, r := range reading {
			if now.Before(r.ends) {
				rest = append(rest, r)
				continue
			}
			r.response.EndWrite()
			tracker.Untrack(r.response)
		}
		reading = rest
		tracker.check(now)
		_, held := tracker.blockedWrites(now)
		peak = max(peak, held)
	}
	t.Logf("%d aborted, %d bytes held at most", aborts, peak)
	is.True(aborts > 11_000)
	// No write is aborted within minWait, so the writes of that time may exceed the bound.
	is.True(peak <= maxBytes+int64((minWait+checkInterval).Seconds()*2*perSecond*size))
}

// Guards against aborting another write than the one blocked longest, one blocked for less than
// minWait, or the same one twice.
func TestLongestBlockedWriteIsAbortedFirst(t *testing.T) {
	is := is.New(t)
	var aborted []string
	tracker := New(100, func() {})
	now := time.Now()
	begin := func(name string) *Response {
		response := tracker.Track(func() { aborted = append(aborted, name) })
		response.BeginWrite(50, now)
		return response
	}
	begin("first")
	now = now.Add(time.Second)
	begin("second")
	begin("third").EndWrite()
	begin("fourth")
	tracker.check(now)
	is.Equal(aborted, nil) // none has been blocked for minWait
	now = now.Add(minWait)
	tracker.check(now)
	tracker.check(now)
	is.Equal(aborted, []string{"first"}) // the rest is within the bound
}

// Guards against aborting a write that returned after it was listed: the connection may carry the
// response to another request by then.
func TestWriteThatJustReturnedIsNotAborted(t *testing.T) {
	is := is.New(t)
	tracker := New(100, func() {})
	now := time.Now()
	response := tracker.Track(func() { t.Error("aborted") })
	response.BeginWrite(50, now)
	writes, _ := tracker.blockedWrites(now.Add(maxWait))
	response.EndWrite()
	response.BeginWrite(50, now.Add(maxWait))
	is.True(!writes[0].response.abortIfBlocked(writes[0].since))
}

// Guards against buffering responses beyond half of the bound, with blocked writes counted.
func TestReserveIsBoundedByBufferedShare(t *testing.T) {
	is := is.New(t)
	tracker := New(100, func() {})
	response := tracker.Track(func() {})
	response.BeginWrite(20, time.Now())
	is.True(tracker.Reserve(30))
	is.True(!tracker.Reserve(1))
	tracker.Release(30)
	response.EndWrite()
	is.True(tracker.Reserve(50))
	tracker.Release(50)
	is.Equal(tracker.Held(), int64(0))
}

// Guards against aborting writes below the bound before maxWait.
func TestBelowBoundWritesAreAbortedAfterMaxWait(t *testing.T) {
	is := is.New(t)
	aborts := 0
	tracker := New(1000, func() { aborts++ })
	now := time.Now()
	tracker.Track(func() {}).BeginWrite(100, now)
	tracker.check(now.Add(maxWait - time.Second))
	is.Equal(aborts, 0)
	tracker.check(now.Add(maxWait))
	is.Equal(aborts, 1)
}
