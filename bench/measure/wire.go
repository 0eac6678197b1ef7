package measure

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	peerv1 "maststage.dev/api/peer/v1"
	platformv1 "maststage.dev/api/platform/v1"
	"maststage.dev/api/platform/v1/platformv1connect"
	"maststage.dev/daemon/claim"
	"maststage.dev/daemon/peer"
	"maststage.dev/standin/target"
)

// counted counts the bytes of a listener's connections, both ways.
type counted struct {
	net.Listener
	bytes atomic.Int64
}

// Accept wraps a connection.
func (l *counted) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: c, bytes: &l.bytes}, nil
}

type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read counts what comes in.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Write counts what goes out.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// idle answers peers with nothing to do.
type idle struct{}

func (idle) Execute(context.Context, *peerv1.ExecuteRequest, func(*peerv1.ExecuteResponse) error) error {
	return nil
}
func (idle) Claim(_, claimant string, epoch uint64) claim.Answer {
	return claim.Answer{Granted: true, Epoch: epoch, Claimant: claimant}
}
func (idle) Release(string, string)                           {}
func (idle) Hold(*peerv1.Bill)                                {}
func (idle) Lend(string, string, string, uint64) uint64       { return 0 }
func (idle) Recent(uint64, int) ([]*peerv1.TailEntry, uint64) { return relayed, 1 }
func (idle) State() ([]byte, error)                           { return nil, nil }
func (idle) Relay(context.Context, []byte) error              { return nil }
func (idle) Status() *peerv1.Status                           { return exampleStatus() }
func (idle) Heard(*peerv1.Status)                             {}
func (idle) Stop()                                            {}

// relayed is what a host gives to one that can't reach the log: 100 batches of
// one bill each.
var relayed = func() []*peerv1.TailEntry {
	var out []*peerv1.TailEntry
	for i := range 100 {
		out = append(out, &peerv1.TailEntry{Offset: uint64(i + 1), Data: batchOf(uint64(i+1), billRecord(i))})
	}
	return out
}()

// Call is the cost of one call between hosts.
type Call struct {
	Name  string
	At    []int     // calls made
	Bytes []float64 // on the wire, both ways, for each call
	CPU   []float64 // ns of both sides together, for each call
}

// Calls measures the calls between hosts over a real connection.
func Calls(sizes ...int) ([]Call, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listening: %w", err)
	}
	l := &counted{Listener: ln}
	s := peer.NewServer(idle{}, secret)
	go func() { _ = s.Serve(l) }()
	defer s.Stop()
	client, err := peer.NewPool(secret, nil).Client(ln.Addr().String())
	if err != nil {
		return nil, err
	}
	kinds := []kind{
		{"heartbeat", func(ctx context.Context) error {
			_, err := client.Ping(ctx, &peerv1.PingRequest{Status: exampleStatus()})
			return err
		}},
		{"relay of 100 batches of the log", func(ctx context.Context) error {
			_, err := client.Tail(ctx, &peerv1.TailRequest{From: 1, Max: 100})
			return err
		}},
		{"claim", func(ctx context.Context) error {
			_, err := client.Claim(ctx, &peerv1.ClaimRequest{Id: exampleID, Claimant: exampleInc + "#123456", Epoch: 100000})
			return err
		}},
		{"bill held", func(ctx context.Context) error {
			_, err := client.Hold(ctx, &peerv1.HoldRequest{Incarnation: exampleInc, Bills: []*peerv1.Bill{{Id: exampleID, Budget: exampleBudget, Tokens: 900, Claimant: exampleInc}}})
			return err
		}},
	}
	out, err := measureCalls(l, kinds, sizes)
	if err != nil {
		return nil, err
	}
	load, err := loadCalls(sizes)
	return append(out, load...), err
}

// kind is a call to measure.
type kind struct {
	name string
	call func(context.Context) error
}

// loadCalls measures the load report of a target.
func loadCalls(sizes []int) ([]Call, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listening: %w", err)
	}
	l := &counted{Listener: ln}
	mux := http.NewServeMux()
	mux.Handle(platformv1connect.NewTargetHandler(target.New("e", manySlots, 0, false)))
	s := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = s.Serve(l) }()
	defer s.Close()
	client := platformv1connect.NewTargetClient(http.DefaultClient, "http://"+ln.Addr().String())
	return measureCalls(l, []kind{{"load report of a target", func(ctx context.Context) error {
		_, err := client.Load(ctx, connect.NewRequest(&platformv1.LoadRequest{}))
		return err
	}}}, sizes)
}

func measureCalls(l *counted, kinds []kind, sizes []int) ([]Call, error) {
	var out []Call
	for _, k := range kinds {
		c := Call{Name: k.name, At: sizes}
		for _, n := range sizes {
			bytes, cpu, err := calls(l, n, k.call)
			if err != nil {
				return nil, fmt.Errorf("%s: %w", k.name, err)
			}
			c.Bytes = append(c.Bytes, bytes)
			c.CPU = append(c.CPU, cpu)
		}
		out = append(out, c)
	}
	return out, nil
}

const secret = "a-secret-of-hosts-only"

func calls(l *counted, n int, call func(context.Context) error) (bytes, cpu float64, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	if err := call(ctx); err != nil {
		return 0, 0, err
	}
	before, used := l.bytes.Load(), selfCPU()
	for range n {
		if err := call(ctx); err != nil {
			return 0, 0, err
		}
	}
	return float64(l.bytes.Load()-before) / float64(n), float64(selfCPU()-used) / float64(n), nil
}
