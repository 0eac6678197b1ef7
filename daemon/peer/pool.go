// Package peer is how hosts talk: the calls between them, the heartbeats, and
// the eviction of hosts that fell silent.
package peer

import (
	"context"
	"crypto/subtle"
	"fmt"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	peerv1 "maststage.dev/api/peer/v1"
)

const (
	secretKey  = "maststage-secret"
	maxMessage = 64 << 20 // bytes; a state is the largest
)

// Pool keeps a connection for each address.
type Pool struct {
	secret string
	via    map[string]string // addresses reached by way of others

	mu    sync.Mutex
	conns map[string]*conn
}

// conn is a connection, and since when its address is not in the view.
type conn struct {
	*grpc.ClientConn
	unwanted time.Time
}

// keepUnwanted is how long a connection outlives its host's place in the view:
// streams to a host that was evicted while alive go on.
const keepUnwanted = time.Minute

// NewPool makes a pool; secret is shared by all hosts, via gives the address to
// dial for those that are not reached directly.
func NewPool(secret string, via map[string]string) *Pool {
	return &Pool{secret: secret, via: via, conns: map[string]*conn{}}
}

// Client gives a client for an address.
func (p *Pool) Client(addr string) (peerv1.PeerClient, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.conns[addr]
	if c == nil {
		cc, err := grpc.NewClient("passthrough:///"+p.dialed(addr),
			grpc.WithTransportCredentials(insecure.NewCredentials()),
			grpc.WithPerRPCCredentials(secret(p.secret)),
			grpc.WithConnectParams(connectParams),
			grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessage)))
		if err != nil {
			return nil, fmt.Errorf("connecting to %s: %w", addr, err)
		}
		c = &conn{ClientConn: cc}
		p.conns[addr] = c
	}
	return peerv1.NewPeerClient(c.ClientConn), nil
}

// Keep closes the connections of addresses that were not wanted for a while.
func (p *Pool) Keep(wanted map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for addr, c := range p.conns {
		switch {
		case wanted[addr]:
			c.unwanted = time.Time{}
		case c.unwanted.IsZero():
			c.unwanted = now
		case now.Sub(c.unwanted) > keepUnwanted:
			_ = c.Close()
			delete(p.conns, addr)
		}
	}
}

// secret goes with each call between hosts.
type secret string

func (s secret) GetRequestMetadata(context.Context, ...string) (map[string]string, error) {
	return map[string]string{secretKey: string(s)}, nil
}

func (s secret) RequireTransportSecurity() bool { return false }

// check refuses calls that don't carry the secret.
func check(ctx context.Context, want string) error {
	md, _ := metadata.FromIncomingContext(ctx)
	got := md.Get(secretKey)
	if len(got) != 1 || subtle.ConstantTimeCompare([]byte(got[0]), []byte(want)) != 1 {
		return status.Error(codes.Unauthenticated, "not a host of this fleet")
	}
	return nil
}
