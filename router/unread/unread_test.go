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

// Callers that stop reading for good, twenty a second for ten minutes, hold no more than the
// bound, beside callers that read slowly and lose nothing. In virtual time.
func TestReadersThatStopForGood(t *testing.T) {
	is := is.New(t)
	const most, answer, each = 16 << 20, 256 << 10, 20
	cuts, peak := 0, int64(0)
	b := New(most, func() { cuts++ })
	random := rand.New(rand.NewPCG(1, 2))
	type slow struct {
		answer *Response
		ends   time.Time
	}
	var reading []slow
	begin := time.Now()
	for now := begin; now.Sub(begin) < 10*time.Minute; now = now.Add(lookEvery) {
		for range each * int(lookEvery) / int(time.Second) {
			b.Track(func() {}).BeginWrite(answer, now) // stops for good
			a := b.Track(func() { t.Error("a caller that reads was cut") })
			a.BeginWrite(answer, now)
			reading = append(reading, slow{a, now.Add(time.Duration(random.Int64N(int64(leastWait))))})
		}
		left := reading[:0]
		for _, r := range reading {
			if now.Before(r.ends) {
				left = append(left, r)
				continue
			}
			r.answer.EndWrite()
			b.Untrack(r.answer)
		}
		reading = left
		b.look(now)
		_, held := b.waits(now)
		peak = max(peak, held)
	}
	t.Logf("%d cut, %d bytes held at most", cuts, peak)
	is.True(cuts > 11_000)
	// Nobody is cut within leastWait, so what came within it may lie beyond the bound.
	is.True(peak <= most+int64((leastWait+lookEvery).Seconds()*2*each*answer))
}

// The caller that has waited longest is cut first, none before its least wait, and none twice.
func TestTheLongestWaitIsCutFirst(t *testing.T) {
	is := is.New(t)
	var cut []string
	b := New(100, func() {})
	now := time.Now()
	pass := func(name string) *Response {
		a := b.Track(func() { cut = append(cut, name) })
		a.BeginWrite(50, now)
		return a
	}
	pass("first")
	now = now.Add(time.Second)
	pass("second")
	pass("third").EndWrite()
	pass("fourth")
	b.look(now)
	is.Equal(cut, nil) // nobody has waited for long
	now = now.Add(leastWait)
	b.look(now)
	b.look(now)
	is.Equal(cut, []string{"first"}) // that is enough
}

// A caller that took its piece in the last moment is not cut: its connection may carry the
// answer to another request by then.
func TestTakenInTheLastMoment(t *testing.T) {
	is := is.New(t)
	b := New(100, func() {})
	now := time.Now()
	a := b.Track(func() { t.Error("cut") })
	a.BeginWrite(50, now)
	waits, _ := b.waits(now.Add(patience))
	a.EndWrite()
	a.BeginWrite(50, now.Add(patience))
	is.True(!waits[0].answer.cutIfWaiting(waits[0].since))
}

// Answers are held whole up to half of the bound, those that are read at the same moment
// counted.
func TestReserve(t *testing.T) {
	is := is.New(t)
	b := New(100, func() {})
	a := b.Track(func() {})
	a.BeginWrite(20, time.Now())
	is.True(b.Reserve(30))
	is.True(!b.Reserve(1))
	b.Release(30)
	a.EndWrite()
	is.True(b.Reserve(50))
	b.Release(50)
	is.Equal(b.Held(), int64(0))
}

// Below the bound only a caller is cut that has taken nothing for very long.
func TestBelowTheBoundOnlyPatienceEnds(t *testing.T) {
	is := is.New(t)
	cuts := 0
	b := New(1000, func() { cuts++ })
	now := time.Now()
	b.Track(func() {}).BeginWrite(100, now)
	b.look(now.Add(patience - time.Second))
	is.Equal(cuts, 0)
	b.look(now.Add(patience))
	is.Equal(cuts, 1)
}
