package peer

import (
	"context"
	"net"
	"testing"

	"github.com/matryer/is"
)

// A probe distinguishes a stalled process, whose kernel accepts connections though nothing is
// sent, from one that exited and from one that responds.
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

	ending := listen() // as a proxy does in front of a process that exited
	defer ending.Close()
	go func() {
		if c, err := ending.Accept(); err == nil {
			_ = c.Close()
		}
	}()
	is.Equal(probe(ending), Gone)
}
