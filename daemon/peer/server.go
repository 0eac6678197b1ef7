package peer

import (
	"context"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"
	"google.golang.org/grpc/tap"

	peerv1 "maststage.dev/api/peer/v1"
	"maststage.dev/daemon/claim"
)

// connectParams keeps backoff short, so that a restarted host is reached again soon.
var connectParams = grpc.ConnectParams{
	Backoff:           backoff.Config{BaseDelay: 100 * time.Millisecond, Multiplier: 1.5, Jitter: 0.2, MaxDelay: time.Second},
	MinConnectTimeout: time.Second,
}

const maxTailEntries = 500

// Bounds of what a client may send, and of its time, before it has shown the secret.
const (
	maxHeaderList    = 16 << 10
	handshakeTimeout = 5 * time.Second
)

// Handler serves the calls of other hosts.
type Handler interface {
	Execute(ctx context.Context, req *peerv1.ExecuteRequest, send func(*peerv1.ExecuteResponse) error) error
	Claim(id, claimant string, epoch uint64) claim.Answer
	Release(id, claimant string)
	Hold(b *peerv1.Bill)
	Lend(id, to, budget string, tokens uint64) uint64
	Recent(from uint64, max int) ([]*peerv1.TailEntry, uint64)
	State() ([]byte, error)
	Relay(ctx context.Context, data []byte) error
	Status() *peerv1.Status
	Heard(*peerv1.Status)
	Stop()
}

// Server adapts a Handler to the gRPC service.
type Server struct {
	peerv1.UnimplementedPeerServer
	handler Handler
}

// NewServer returns a gRPC server for d; callers must send the secret.
func NewServer(d Handler, secret string) *grpc.Server {
	g := grpc.NewServer(
		grpc.MaxRecvMsgSize(maxMessage),
		// Before a message is read: clients without the secret make the host hold none.
		grpc.InTapHandle(func(ctx context.Context, _ *tap.Info) (context.Context, error) { return ctx, authenticate(ctx, secret) }),
		grpc.MaxHeaderListSize(maxHeaderList),
		grpc.ConnectionTimeout(handshakeTimeout),
		grpc.UnaryInterceptor(func(ctx context.Context, req any, _ *grpc.UnaryServerInfo, next grpc.UnaryHandler) (any, error) {
			if err := authenticate(ctx, secret); err != nil {
				return nil, err
			}
			return next(ctx, req)
		}),
		grpc.StreamInterceptor(func(srv any, ss grpc.ServerStream, _ *grpc.StreamServerInfo, next grpc.StreamHandler) error {
			if err := authenticate(ss.Context(), secret); err != nil {
				return err
			}
			return next(srv, ss)
		}),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: 10 * time.Second, Timeout: 5 * time.Second}),
	)
	peerv1.RegisterPeerServer(g, &Server{handler: d})
	return g
}

// Ping exchanges the statuses of two hosts.
func (s *Server) Ping(_ context.Context, r *peerv1.PingRequest) (*peerv1.PingResponse, error) {
	s.handler.Heard(r.Status)
	return &peerv1.PingResponse{Status: s.handler.Status()}, nil
}

// Execute starts or joins a request that this host owns.
func (s *Server) Execute(r *peerv1.ExecuteRequest, stream grpc.ServerStreamingServer[peerv1.ExecuteResponse]) error {
	return s.handler.Execute(stream.Context(), r, stream.Send)
}

// Claim grants, denies or releases a claim on an id of which this host is a replica.
func (s *Server) Claim(_ context.Context, r *peerv1.ClaimRequest) (*peerv1.ClaimResponse, error) {
	if r.Release {
		s.handler.Release(r.Id, r.Claimant)
		return &peerv1.ClaimResponse{}, nil
	}
	a := s.handler.Claim(r.Id, r.Claimant, r.Epoch)
	return &peerv1.ClaimResponse{Granted: a.Granted, Epoch: a.Epoch, Claimant: a.Claimant}, nil
}

// Hold keeps bills of another host until they are in the log.
func (s *Server) Hold(_ context.Context, r *peerv1.HoldRequest) (*peerv1.HoldResponse, error) {
	for _, b := range r.Bills {
		s.handler.Hold(b)
	}
	return &peerv1.HoldResponse{}, nil
}

// Borrow lends tokens to another host.
func (s *Server) Borrow(_ context.Context, r *peerv1.BorrowRequest) (*peerv1.BorrowResponse, error) {
	n := s.handler.Lend(r.Id, r.Incarnation, r.Budget, r.Tokens)
	return &peerv1.BorrowResponse{Tokens: n}, nil
}

// Tail returns recent entries of the log.
func (s *Server) Tail(_ context.Context, r *peerv1.TailRequest) (*peerv1.TailResponse, error) {
	entries, oldest := s.handler.Recent(r.From, int(min(r.Max, maxTailEntries)))
	return &peerv1.TailResponse{Entries: entries, Oldest: oldest}, nil
}

// State returns an encoded copy of the replicated state.
func (s *Server) State(context.Context, *peerv1.StateRequest) (*peerv1.StateResponse, error) {
	data, err := s.handler.State()
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	return &peerv1.StateResponse{State: data}, nil
}

// Relay appends to the log for a host that can't reach it.
func (s *Server) Relay(ctx context.Context, r *peerv1.RelayRequest) (*peerv1.RelayResponse, error) {
	if err := s.handler.Relay(ctx, r.Data); err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	return &peerv1.RelayResponse{}, nil
}

// Stop starts a graceful shutdown.
func (s *Server) Stop(context.Context, *peerv1.StopRequest) (*peerv1.StopResponse, error) {
	s.handler.Stop()
	return &peerv1.StopResponse{}, nil
}
