package forward

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A host that stood still finds the time of all its targets over as it goes on, though their answers
// may lie there unread. It gives each the time once more, and no more than that.
func TestStandstillIsNotATargetsSilence(t *testing.T) {
	is := is.New(t)
	claims := 0
	claim := func() bool { claims++; return false }
	s := &silence{span: time.Hour, timer: time.AfterFunc(time.Hour, func() {}), claim: claim}
	defer s.timer.Stop()
	s.began = time.Now().Add(-time.Hour - time.Minute) // a minute late
	s.over()
	is.Equal(claims, 0)
	is.True(s.stood)
	s.began = time.Now().Add(-time.Hour - time.Minute)
	s.over()
	is.Equal(claims, 1)

	onTime := &silence{span: time.Hour, began: time.Now().Add(-time.Hour), claim: claim}
	onTime.over()
	is.Equal(claims, 2)
}
