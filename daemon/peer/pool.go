// Package peer implements the RPCs between hosts, the heartbeats and the eviction of
// silent hosts.
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
	maxMessage = 64 << 20 // bytes; an encoded state is the largest message
)

// Pool keeps one connection per address.
type Pool struct {
	secret string
	via    map[string]string // address to dial instead, by address

	mu    sync.Mutex
	conns map[string]*conn
}

// conn is a connection and the time since which its address is not in the view.
type conn struct {
	*grpc.ClientConn
	unwanted time.Time
}

// keepUnwanted is how long a connection stays open after its host left the view, so that
// streams to a host that was evicted while alive can continue.
const keepUnwanted = time.Minute

// NewPool returns a pool. secret is shared by all hosts; via maps the addresses that are
// not reached directly to the addresses to dial.
func NewPool(secret string, via map[string]string) *Pool {
	return &Pool{secret: secret, via: via, conns: map[string]*conn{}}
}

// Client returns a client for an address.
func (p *Pool) Client(addr string) (peerv1.PeerClient, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.conns[addr]
	if c == nil {
		cc, err := grpc.NewClient("passthrough:///"+p.dialAddress(addr),
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

// Keep closes the connections to addresses that have not been wanted for keepUnwanted.
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

// secret is sent as metadata with each call between hosts.
type secret string

func (s secret) GetRequestMetadata(context.Context, ...string) (map[string]string, error) {
	return map[string]string{secretKey: string(s)}, nil
}

func (s secret) RequireTransportSecurity() bool { return false }

// authenticate rejects calls that don't carry the secret.
func authenticate(ctx context.Context, want string) error {
	md, _ := metadata.FromIncomingContext(ctx)
	got := md.Get(secretKey)
	if len(got) != 1 || subtle.ConstantTimeCompare([]byte(got[0]), []byte(want)) != 1 {
		return status.Error(codes.Unauthenticated, "not a host of this fleet")
	}
	return nil
}
