package peer

import (
	"context"
	"net"
	"testing"

	"github.com/matryer/is"
)

// A process that stands still is told from one that ended and from one that answers: its system
// takes connections, and nothing comes.
func TestProbe(t *testing.T) {
	is := is.New(t)
	pool := NewPool("a-secret-of-hosts-only", nil)
	probe := func(l net.Listener) Presence { return pool.Probe(context.Background(), l.Addr().String()) }
	listen := func() net.Listener {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		return l
	}

	stalled := listen()
	defer stalled.Close()
	is.Equal(probe(stalled), Stalled)

	answers := listen()
	server := NewServer(nil, "a-secret-of-hosts-only")
	go func() { _ = server.Serve(answers) }()
	defer server.Stop()
	is.Equal(probe(answers), Answers)

	ended := listen()
	is.NoErr(ended.Close())
	is.Equal(probe(ended), Gone)

	ending := listen() // as a proxy does before a process that ended
	defer ending.Close()
	go func() {
		if c, err := ending.Accept(); err == nil {
			_ = c.Close()
		}
	}()
	is.Equal(probe(ending), Gone)
}
