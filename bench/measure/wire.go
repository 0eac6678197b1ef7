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

// countingListener counts the bytes of its connections, in both directions.
type countingListener struct {
	net.Listener
	bytes atomic.Int64
}

// Accept returns a connection whose bytes are counted.
func (l *countingListener) Accept() (net.Conn, error) {
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

// Read counts the bytes received.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Write counts the bytes sent.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// idlePeer is a peer that responds to calls without doing any work.
type idlePeer struct{}

func (idlePeer) Execute(context.Context, *peerv1.ExecuteRequest, func(*peerv1.ExecuteResponse) error) error {
	return nil
}
func (idlePeer) Claim(_, claimant string, epoch uint64) claim.Answer {
	return claim.Answer{Granted: true, Epoch: epoch, Claimant: claimant}
}
func (idlePeer) Release(string, string)                           {}
func (idlePeer) Hold(*peerv1.Bill)                                {}
func (idlePeer) Lend(string, string, string, uint64) uint64       { return 0 }
func (idlePeer) Recent(uint64, int) ([]*peerv1.TailEntry, uint64) { return relayedBatches, 1 }
func (idlePeer) State() ([]byte, error)                           { return nil, nil }
func (idlePeer) Relay(context.Context, []byte) error              { return nil }
func (idlePeer) Status() *peerv1.Status                           { return exampleStatus() }
func (idlePeer) Heard(*peerv1.Status)                             {}
func (idlePeer) Stop()                                            {}

// relayedBatches is what a host relays to one that can't reach the log: 100 batches
// of one bill each.
var relayedBatches = func() []*peerv1.TailEntry {
	var out []*peerv1.TailEntry
	for i := range 100 {
		out = append(out, &peerv1.TailEntry{Offset: uint64(i + 1), Data: batchOf(uint64(i+1), billRecord(i))})
	}
	return out
}()

// Call is the cost of one kind of call between hosts, for several numbers of calls.
type Call struct {
	Name  string
	At    []int     // number of calls
	Bytes []float64 // on the wire in both directions, per call
	CPU   []float64 // ns of both sides together, per call
}

// Calls measures the calls between hosts over a real connection.
func Calls(sizes ...int) ([]Call, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listening: %w", err)
	}
	l := &countingListener{Listener: ln}
	s := peer.NewServer(idlePeer{}, secret)
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

// kind is a kind of call to measure.
type kind struct {
	name string
	call func(context.Context) error
}

// loadCalls measures the call for a target's load report.
func loadCalls(sizes []int) ([]Call, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listening: %w", err)
	}
	l := &countingListener{Listener: ln}
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

func measureCalls(l *countingListener, kinds []kind, sizes []int) ([]Call, error) {
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

func calls(l *countingListener, n int, call func(context.Context) error) (bytes, cpu float64, err error) {
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
