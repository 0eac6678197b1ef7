package suspend

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// hands are clocks that the test moves.
type hands struct{ steady, boot time.Duration }

func (h *hands) clocks() Clocks {
	return Clocks{Monotonic: func() time.Duration { return h.steady }, Boot: func() time.Duration { return h.boot }}
}

func (h *hands) run(d time.Duration)     { h.steady += d; h.boot += d }
func (h *hands) suspend(d time.Duration) { h.boot += d }

func TestSuspensionIsTold(t *testing.T) {
	is := is.New(t)
	h := &hands{boot: time.Hour}
	var told []time.Duration
	w := New(h.clocks(), func(lost time.Duration) { told = append(told, lost) })
	h.run(time.Minute)
	w.Check()
	is.Equal(len(told), 0)
	h.suspend(10 * time.Second)
	w.Check()
	w.Check()
	is.Equal(told, []time.Duration{10 * time.Second})
	h.run(time.Second)
	h.suspend(MinSuspension / 2) // too short
	w.Check()
	is.Equal(len(told), 1)
	h.suspend(MinSuspension / 2) // but they add up
	w.Check()
	is.Equal(len(told), 2)
	is.Equal(w.Total(), 10*time.Second+MinSuspension)
}

// The first request after a suspension notices it, by the time of day. A time of day that was
// set is no suspension, in either direction.
func TestRequestNoticesIt(t *testing.T) {
	is := is.New(t)
	h := &hands{}
	told := 0
	w := New(h.clocks(), func(time.Duration) { told++ })
	w.arrived(0)
	w.arrived(time.Hour)
	w.arrived(0)
	is.Equal(told, 0)
	h.suspend(time.Minute)
	w.arrived(MinSuspension / 2) // the time of day may be off by so much
	is.Equal(told, 0)
	w.arrived(time.Minute)
	is.Equal(told, 1)
	w.RequestArrived(time.Now())
	is.Equal(told, 1)
}

func TestSystemClocksAgree(t *testing.T) {
	is := is.New(t)
	c := SystemClocks()
	boot := c.Boot()
	is.True(boot > 0)
	time.Sleep(20 * time.Millisecond)
	is.True(c.Boot()-boot >= 20*time.Millisecond)
	w := New(c, func(lost time.Duration) { t.Errorf("suspended for %v", lost) })
	w.Check()
}
