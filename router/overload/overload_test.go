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

// dials notes n connections in turn to some targets.
func dials(m *Monitor, now time.Time, n, targets int, took time.Duration) {
	for i := range n {
		m.RecordDial(fmt.Sprint("t", i%targets), took, now)
	}
}

func TestSlowConnectionsToManyTargetsMeanTheHost(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	m := New()
	dials(m, now, 20, 5, 2*ms)
	is.True(!m.IsUnready(now))
	is.True(m.Admit(now))
	dials(m, now, 60, 5, 300*ms)
	is.True(m.IsUnready(now))
	is.True(m.Overloaded(now))
	admitted := 0
	for range 1000 {
		if m.Admit(now) {
			admitted++
		}
	}
	is.True(admitted > 260 && admitted < 410) // 100 ms of 300
}

// One target that is gone is not the host's matter.
func TestOneSlowTargetIsNotTheHost(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	m := New()
	dials(m, now, 30, 1, 300*ms)
	is.True(!m.IsUnready(now))
	for i := 1; i < 8; i++ {
		m.RecordDial(fmt.Sprint("t", i), 2*ms, now)
	}
	is.True(!m.IsUnready(now))
	is.True(!m.Overloaded(now))
}

// Where some targets are reached at once the host's link is not full: the others are dark.
func TestDarkTargetsAreNotTheHost(t *testing.T) {
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

// A host that recovers takes requests at once, and calls itself ready a moment later.
func TestRecovers(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	m := New()
	dials(m, now, 20, 5, 300*ms)
	now = now.Add(span + ms)
	is.True(m.Admit(now))
	is.True(!m.Overloaded(now))
	is.True(m.IsUnready(now))
	now = now.Add(rest)
	is.True(!m.IsUnready(now))
}
