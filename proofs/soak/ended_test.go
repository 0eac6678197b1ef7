package soak

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against targets started after their cluster stopped: they took addresses of the next cluster
// on the same network, whose test then ended early.
func TestStoppedClusterStartsNoTargets(t *testing.T) {
	is := is.New(t)
	var w *world
	t.Run("world", func(t *testing.T) { w = newWorld(t, 1, 1) })
	time.Sleep(2 * replaceDelay)
	for number := range 2 * (engineTargets + plainTargets) {
		l, err := net.Listen("tcp", w.address(targetLinkPart, number))
		is.NoErr(err)
		is.NoErr(l.Close())
	}
}
