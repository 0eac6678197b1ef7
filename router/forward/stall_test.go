package forward

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a host that stalled and then abandons all targets as silent, though their responses
// may be there unread: the timeout is extended once, and once only.
func TestStalledHostDoesNotAbandonTargets(t *testing.T) {
	is := is.New(t)
	claims := 0
	claim := func() bool { claims++; return false }
	s := &silenceTimer{timeout: time.Hour, timer: time.AfterFunc(time.Hour, func() {}), claim: claim}
	defer s.timer.Stop()
	s.startedAt = time.Now().Add(-time.Hour - time.Minute) // the timer fires a minute late
	s.expire()
	is.Equal(claims, 0)
	is.True(s.stalled)
	s.startedAt = time.Now().Add(-time.Hour - time.Minute)
	s.expire()
	is.Equal(claims, 1)

	onTime := &silenceTimer{timeout: time.Hour, startedAt: time.Now().Add(-time.Hour), claim: claim}
	onTime.expire()
	is.Equal(claims, 2)
}
