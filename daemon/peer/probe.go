package peer

import (
	"context"
	"errors"
	"net"
	"os"
	"syscall"
	"time"
)

// Presence is what a new connection shows of another host's process. A time-out alone tells a
// process that stands still neither from one that ended nor from a cut.
type Presence int

// What there is at an address.
const (
	Answers     Presence = iota // the process sends
	Stalled                     // the system takes connections, the process says nothing
	Gone                        // nobody listens: the process has ended
	Unreachable                 // nothing answers: a cut, or a machine that is off
)

func (p Presence) String() string {
	return [...]string{"answers", "stalled", "gone", "unreachable"}[p]
}

// probeTime bounds each step of a probe: the connection, and the first bytes, which a gRPC
// server sends without being asked.
const probeTime = 400 * time.Millisecond

// Probe looks what there is at an address.
func (p *Pool) Probe(ctx context.Context, addr string) Presence {
	c, err := (&net.Dialer{Timeout: probeTime}).DialContext(ctx, "tcp", p.dialed(addr))
	if errors.Is(err, syscall.ECONNREFUSED) {
		return Gone
	}
	if err != nil {
		return Unreachable
	}
	defer c.Close()
	if err := c.SetReadDeadline(time.Now().Add(probeTime)); err != nil {
		return Unreachable
	}
	var first [1]byte
	_, err = c.Read(first[:])
	switch {
	case err == nil:
		return Answers
	case errors.Is(err, os.ErrDeadlineExceeded):
		return Stalled
	}
	return Gone
}

// dialed is the address to dial for one.
func (p *Pool) dialed(addr string) string {
	if other, ok := p.via[addr]; ok {
		return other
	}
	return addr
}
