package entry

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"maststage.dev/daemon/peer"
)

// Only a process that is known to have ended, or that nobody counts as a member and nothing speaks
// for, is taken to have no run: a host that says nothing was, and its stream ran a second time.
func TestWhichLostHostsMayHaveARun(t *testing.T) {
	is := is.New(t)
	begun := func(ago time.Duration) *forwarding {
		began := time.Now().Add(-ago)
		return &forwarding{began: began, class: func() class { return class{until: began.Add(10 * time.Second)} }}
	}
	for _, c := range []struct {
		ago           time.Duration
		process       peer.Presence
		member, known bool
		want          bool
	}{
		{time.Second, peer.Stalled, true, false, true},
		{time.Second, peer.Stalled, false, true, true}, // evicted, and it has a run
		{time.Second, peer.Stalled, false, false, false},
		{time.Second, peer.Answers, false, true, true},
		{11 * time.Second, peer.Stalled, true, true, false}, // the rest is for a run elsewhere
		{time.Second, peer.Gone, true, true, false},
		{time.Second, peer.Unreachable, true, true, true},
		{time.Second, peer.Unreachable, false, true, false},
		{7 * time.Second, peer.Unreachable, true, true, false},
	} {
		t.Logf("%+v", c)
		is.Equal(begun(c.ago).mayRunAt(c.process, c.member, c.known), c.want)
	}
}
