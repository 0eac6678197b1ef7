package entry

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"maststage.dev/daemon/peer"
)

// A silent host was assumed to have no run, and its stream ran a second time. A host is now ruled
// out only if its process is known to have exited, it is evicted and either unreachable or without
// evidence of a run, or the time to wait for it is over.
func TestSilentHostMayHaveRun(t *testing.T) {
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
		{time.Second, peer.Stalled, false, true, true}, // evicted, and known to have a run
		{time.Second, peer.Stalled, false, false, false},
		{time.Second, peer.Answers, false, true, true},
		{11 * time.Second, peer.Stalled, true, true, false}, // the remaining time is for a run elsewhere
		{time.Second, peer.Gone, true, true, false},
		{time.Second, peer.Unreachable, true, true, true},
		{time.Second, peer.Unreachable, false, true, false},
		{7 * time.Second, peer.Unreachable, true, true, false},
	} {
		t.Logf("%+v", c)
		is.Equal(begun(c.ago).mayRunAt(c.process, c.member, c.known), c.want)
	}
}
