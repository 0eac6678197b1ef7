package overload

import (
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"
	log "github.com/sirupsen/logrus"
)

const ms = time.Millisecond

func TestMain(m *testing.M) {
	log.SetOutput(io.Discard)
	m.Run()
}

// recordDials records n dials of the same duration, spread over the targets.
func recordDials(m *Monitor, now time.Time, n, targets int, took time.Duration) {
	for i := range n {
		m.RecordDial(fmt.Sprint("t", i%targets), took, now)
	}
}

// Guards against an overload that goes unnoticed, and against admission that doesn't follow the dial time.
func TestSlowDialsToManyTargetsMeanHostOverload(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	m := New()
	recordDials(m, now, 20, 5, 2*ms)
	is.True(!m.IsUnready(now))
	is.True(m.Admit(now))
	recordDials(m, now, 60, 5, 300*ms)
	is.True(m.IsUnready(now))
	is.True(m.Overloaded(now))
	admitted := 0
	for range 1000 {
		if m.Admit(now) {
			admitted++
		}
	}
	is.True(admitted > 260 && admitted < 410) // a third: 100 ms of 300 ms
}

// Guards against a host that becomes unready because one target that is dialled often is gone.
func TestOneSlowTargetIsNoHostOverload(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	m := New()
	recordDials(m, now, 30, 1, 300*ms)
	is.True(!m.IsUnready(now))
	for i := 1; i < 8; i++ {
		m.RecordDial(fmt.Sprint("t", i), 2*ms, now)
	}
	is.True(!m.IsUnready(now))
	is.True(!m.Overloaded(now))
}

// Guards against a host that becomes unready because most targets are unreachable, though some are reached
// fast, so its link isn't full.
func TestUnreachableTargetsAreNoHostOverload(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	m := New()
	for i := range 15 {
		took := 300 * ms
		if i%3 == 0 {
			took = 2 * ms
		}
		m.RecordDial(fmt.Sprint("t", i), took, now)
	}
	is.True(!m.IsUnready(now))
	is.True(m.Admit(now))
}

// Guards against a recovered host that goes on refusing requests, or that reports itself ready at once and gets
// all callers back.
func TestRecoveredHostAdmitsBeforeItIsReady(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	m := New()
	recordDials(m, now, 20, 5, 300*ms)
	now = now.Add(window + ms)
	is.True(m.Admit(now))
	is.True(!m.Overloaded(now))
	is.True(m.IsUnready(now))
	now = now.Add(unreadyTime)
	is.True(!m.IsUnready(now))
}
