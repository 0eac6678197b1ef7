package intake

import (
	"io"
	"testing"
	"time"

	"github.com/matryer/is"
	log "github.com/sirupsen/logrus"
)

func TestMain(m *testing.M) {
	log.SetOutput(io.Discard)
	m.Run()
}

// connect has connections come at a rate, each in use for held, of which the host has room for some. It returns how many were
// turned away, and how many were taken and then refused for lack of room.
func connect(g *Gate, now *time.Time, perSecond int, length, held time.Duration, room int) (turned, refused int) {
	var ends []time.Time
	pause := time.Second / time.Duration(perSecond)
	for end := now.Add(length); now.Before(end); *now = now.Add(pause) {
		for len(ends) > 0 && !ends[0].After(*now) {
			ends = ends[1:]
		}
		switch {
		case !g.Admit(len(ends), *now):
			turned++
		case len(ends) >= room:
			refused++
			g.RecordLack(len(ends), *now)
		default:
			ends = append(ends, now.Add(held))
		}
	}
	return turned, refused
}

// Guards against a host that reads, and then refuses, what it has no room for while it gets most new connections.
func TestFewAreReadAndRefusedDuringASurge(t *testing.T) {
	is := is.New(t)
	g, now := New(), time.Unix(1000, 0)
	turned, refused := connect(g, &now, 20, 20*time.Second, 300*time.Millisecond, 36)
	is.Equal(turned+refused, 0)
	is.True(!g.Unready(now))
	turned, refused = connect(g, &now, 480, 8*time.Second, 300*time.Millisecond, 36)
	t.Logf("turned away %d, refused %d of %d", turned, refused, 8*480)
	is.True(refused*20 < 8*480-turned) // of those that were read
	is.True(8*480-turned > 8*80)       // the room is used: 120 a second would fill it
	is.True(g.Unready(now))
	now = now.Add(unreadyTime)
	is.True(!g.Unready(now))
	turned, _ = connect(g, &now, 20, 20*time.Second, 300*time.Millisecond, 36)
	is.Equal(turned, 0)
}

// Guards against closing connections of callers who have nowhere else to go: all hosts lack room at their usual rate.
func TestNoneIsTurnedAwayAtTheUsualRate(t *testing.T) {
	is := is.New(t)
	g, now := New(), time.Unix(1000, 0)
	connect(g, &now, 100, 20*time.Second, 300*time.Millisecond, 36)
	turned, refused := connect(g, &now, 100, 20*time.Second, 300*time.Millisecond, 10)
	is.Equal(turned, 0)
	is.True(refused > 0)
}

// Guards against a host that turns connections away though it has room.
func TestSurgeWithRoomIsTaken(t *testing.T) {
	is := is.New(t)
	g, now := New(), time.Unix(1000, 0)
	connect(g, &now, 20, 20*time.Second, 300*time.Millisecond, 1000)
	turned, refused := connect(g, &now, 480, 10*time.Second, 300*time.Millisecond, 1000)
	is.Equal(turned+refused, 0)
}
