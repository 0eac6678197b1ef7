package suspend

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// fakeClocks are clocks that the test advances.
type fakeClocks struct{ monotonic, boot time.Duration }

func (h *fakeClocks) clocks() Clocks {
	return Clocks{Monotonic: func() time.Duration { return h.monotonic }, Boot: func() time.Duration { return h.boot }}
}

func (h *fakeClocks) run(d time.Duration)     { h.monotonic += d; h.boot += d }
func (h *fakeClocks) suspend(d time.Duration) { h.boot += d }

func TestSuspensionIsReportedOnce(t *testing.T) {
	is := is.New(t)
	h := &fakeClocks{boot: time.Hour}
	var reported []time.Duration
	d := New(h.clocks(), func(suspended time.Duration) { reported = append(reported, suspended) })
	h.run(time.Minute)
	d.Check()
	is.Equal(len(reported), 0)
	h.suspend(10 * time.Second)
	d.Check()
	d.Check()
	is.Equal(reported, []time.Duration{10 * time.Second})
	h.run(time.Second)
	h.suspend(MinSuspension / 2) // too short
	d.Check()
	is.Equal(len(reported), 1)
	h.suspend(MinSuspension / 2) // but shorter ones add up
	d.Check()
	is.Equal(len(reported), 2)
	is.Equal(d.Total(), 10*time.Second+MinSuspension)
}

// Guards against a suspension that the first request after it does not detect by the wall clock,
// and against a wall clock that was set, in either direction, being taken for a suspension.
func TestFirstRequestDetectsSuspension(t *testing.T) {
	is := is.New(t)
	h := &fakeClocks{}
	reported := 0
	d := New(h.clocks(), func(time.Duration) { reported++ })
	d.checkWallOffset(0)
	d.checkWallOffset(time.Hour)
	d.checkWallOffset(0)
	is.Equal(reported, 0)
	h.suspend(time.Minute)
	d.checkWallOffset(MinSuspension / 2) // the wall clock may be off by this much
	is.Equal(reported, 0)
	d.checkWallOffset(time.Minute)
	is.Equal(reported, 1)
	d.RequestArrived(time.Now())
	is.Equal(reported, 1)
}

func TestSystemClocksShowNoSuspension(t *testing.T) {
	is := is.New(t)
	c := SystemClocks()
	boot := c.Boot()
	is.True(boot > 0)
	time.Sleep(20 * time.Millisecond)
	is.True(c.Boot()-boot >= 20*time.Millisecond)
	d := New(c, func(suspended time.Duration) { t.Errorf("reported a suspension of %v", suspended) })
	d.Check()
}
