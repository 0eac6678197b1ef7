package peer

import (
	"context"
	"errors"
	"net"
	"os"
	"syscall"
	"time"
)

// Presence is the state of another host's process as a new connection shows it. A timeout alone
// can't tell a stalled process from one that exited or from a network partition.
type Presence int

// Results of a probe.
const (
	Answers     Presence = iota // the process sends data
	Stalled                     // the kernel accepts the connection, the process sends nothing
	Gone                        // nobody listens: the process has exited
	Unreachable                 // no reply: a network partition, or a machine that is off
)

func (p Presence) String() string {
	return [...]string{"answers", "stalled", "gone", "unreachable"}[p]
}

// probeTimeout bounds each step of a probe: the connect, and the first bytes, which a gRPC
// server sends unprompted.
const probeTimeout = 400 * time.Millisecond

// Probe reports the state of the process at an address.
func (p *Pool) Probe(ctx context.Context, addr string) Presence {
	c, err := (&net.Dialer{Timeout: probeTimeout}).DialContext(ctx, "tcp", p.dialAddress(addr))
	if errors.Is(err, syscall.ECONNREFUSED) {
		return Gone
	}
	if err != nil {
		return Unreachable
	}
	defer c.Close()
	if err := c.SetReadDeadline(time.Now().Add(probeTimeout)); err != nil {
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

// dialAddress returns the address to dial for addr.
func (p *Pool) dialAddress(addr string) string {
	if other, ok := p.via[addr]; ok {
		return other
	}
	return addr
}
