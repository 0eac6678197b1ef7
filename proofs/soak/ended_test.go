package soak

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A world that has ended starts no targets any more: they took addresses of the world that had its
// network next, whose test then ended before its time.
func TestEndedWorldStartsNoTargets(t *testing.T) {
	is := is.New(t)
	var w *world
	t.Run("world", func(t *testing.T) { w = newWorld(t, 1, 1) })
	time.Sleep(2 * deadlyBack)
	for number := range 2 * (engineTargets + plainTargets) {
		l, err := net.Listen("tcp", w.address(targetLinkPart, number))
		is.NoErr(err)
		is.NoErr(l.Close())
	}
}
