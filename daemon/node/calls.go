package node

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"time"

	"connectrpc.com/connect"

	peerv1 "maststage.dev/api/peer/v1"
	platformv1 "maststage.dev/api/platform/v1"
	"maststage.dev/api/platform/v1/platformv1connect"
	"maststage.dev/daemon/claim"
	"maststage.dev/daemon/ledger"
	"maststage.dev/daemon/settings"
	"maststage.dev/fold/view"
	"maststage.dev/lib/guard"
	"maststage.dev/lib/patience"
)

const (
	stateTimeout = 10 * time.Second
	// maxReadTime bounds a read of the log that keeps receiving bytes: 500 entries over a slow link.
	// A read that is cut off starts at the same entry again.
	maxReadTime  = 30 * time.Second
	maxLoanPeers = 6 // maximum number of hosts asked for one loan
)

// platform is the client of the platform's log. If an append fails, it is relayed through
// another host.
type platform struct {
	log  platformv1connect.LogClient
	node *Node
}

// newPlatform returns a client of the log that the settings name.
func newPlatform(n *Node) *platform {
	return &platform{log: platformv1connect.NewLogClient(newHTTPClient(n.cfg), "http://"+n.cfg.Platform.Log), node: n}
}

// newHTTPClient returns the client for calls to the platform and to targets.
func newHTTPClient(cfg *settings.Settings) *http.Client {
	return &http.Client{Transport: patience.Transport(framedTransport{&http.Transport{
		MaxIdleConnsPerHost: maxConns,
		IdleConnTimeout:     time.Minute,
		DialContext:         (&net.Dialer{Timeout: cfg.Platform.Timeout}).DialContext,
	}})}
}

// Append appends to the log. After an error the entry may have been appended or not.
func (p *platform) Append(ctx context.Context, data []byte) error {
	err := p.appendDirect(ctx, data)
	if err == nil {
		return nil
	}
	for _, m := range p.node.others() {
		if s := p.node.detector().Last(m.Incarnation); s == nil || !s.LogUp {
			continue
		}
		c, cancel := context.WithTimeout(context.WithoutCancel(ctx), p.node.cfg.Platform.Timeout)
		defer cancel()
		client, cerr := p.node.pool.Client(m.Address)
		if cerr != nil {
			return cerr
		}
		_, err = client.Relay(c, &peerv1.RelayRequest{Data: data})
		return err
	}
	return err
}

func (p *platform) appendDirect(ctx context.Context, data []byte) error {
	_, err := p.log.Append(ctx, connect.NewRequest(&platformv1.AppendRequest{Data: data}))
	return err
}

// Read reads entries from an offset and waits up to wait for the first one.
func (p *platform) Read(ctx context.Context, from uint64, max uint32, wait time.Duration) (*platformv1.ReadResponse, error) {
	timeout := p.node.cfg.Platform.Timeout
	ctx, cancel := patience.New(ctx, patience.Limits{First: wait + timeout, Silence: timeout, Most: wait + maxReadTime})
	defer cancel()
	r, err := p.log.Read(ctx, connect.NewRequest(&platformv1.ReadRequest{
		From: from, Max: max, WaitMs: uint32(wait.Milliseconds()),
	}))
	if err != nil {
		return nil, err
	}
	return r.Msg, nil
}

// Tail reads recent log entries from the responsive peer with the highest offset.
func (p *platform) Tail(ctx context.Context, from uint64) ([]*peerv1.TailEntry, error) {
	var best view.Member
	var offset uint64
	for _, m := range p.node.others() {
		if s := p.node.detector().Last(m.Incarnation); s != nil && s.Offset > offset && !p.node.detector().Silent(m.Incarnation) {
			best, offset = m, s.Offset
		}
	}
	if offset < from {
		return nil, fmt.Errorf("no peer has offset %d", from)
	}
	c, cancel := context.WithTimeout(ctx, p.node.cfg.Peers.Timeout)
	defer cancel()
	client, err := p.node.pool.Client(best.Address)
	if err != nil {
		return nil, err
	}
	r, err := client.Tail(c, &peerv1.TailRequest{From: from, Max: maxTailEntries})
	if err != nil {
		return nil, err
	}
	return r.Entries, nil
}

const maxTailEntries = 500

// State fetches the replicated state from a host in the platform's membership list.
func (p *platform) State(ctx context.Context) ([]byte, error) {
	addrs := p.node.registry.Hosts()
	rand.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
	err := fmt.Errorf("the platform lists no other host")
	for _, addr := range addrs {
		if addr == p.node.cfg.Host.PeerAddress {
			continue
		}
		var data []byte
		if data, err = p.stateFrom(ctx, addr); err == nil {
			return data, nil
		}
	}
	return nil, err
}

func (p *platform) stateFrom(ctx context.Context, addr string) ([]byte, error) {
	c, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	client, err := p.node.pool.Client(addr)
	if err != nil {
		return nil, err
	}
	r, err := client.State(c, &peerv1.StateRequest{})
	if err != nil {
		return nil, err
	}
	return r.State, nil
}

// peerCalls makes the calls of one incarnation to other hosts.
type peerCalls struct {
	inc    string
	node   *Node
	ledger *ledger.Ledger // of the same incarnation; loans are credited to it
}

func (n *Node) newPeerCalls(inc string) *peerCalls { return &peerCalls{inc: inc, node: n} }

// ClaimAt sends a claim to one replica, which may be this host.
func (l *peerCalls) ClaimAt(ctx context.Context, m view.Member, r *peerv1.ClaimRequest) (claim.Answer, error) {
	if m.Incarnation == l.inc {
		reg := l.node.current.Load().Register
		if r.Release {
			reg.Release(r.Id, r.Claimant)
			return claim.Answer{}, nil
		}
		return reg.Claim(r.Id, r.Claimant, r.Epoch), nil
	}
	c, cancel := context.WithTimeout(ctx, l.node.cfg.Peers.Timeout)
	defer cancel()
	client, err := l.node.pool.Client(m.Address)
	if err != nil {
		return claim.Answer{}, err
	}
	res, err := client.Claim(c, r)
	if err != nil {
		return claim.Answer{}, err
	}
	return claim.Answer{Granted: res.Granted, Epoch: res.Epoch, Claimant: res.Claimant}, nil
}

// billHolders is the number of other hosts that hold a bill until it is in the log.
const billHolders = 2

// Hold asks other hosts to hold a bill, those of other failure domains first, until two
// do. One is enough if no more are reachable; with none it fails.
func (l *peerCalls) Hold(ctx context.Context, b *peerv1.Bill) error {
	candidates := l.node.holderCandidates()
	held := 0
	for held < billHolders && len(candidates) > 0 {
		n := min(billHolders-held, len(candidates))
		held += l.holdAll(ctx, candidates[:n], b)
		candidates = candidates[n:]
	}
	if held == 0 {
		return fmt.Errorf("no other host can be reached")
	}
	return nil
}

// holdAll asks hosts concurrently to hold a bill and returns how many do.
func (l *peerCalls) holdAll(ctx context.Context, members []view.Member, b *peerv1.Bill) int {
	results := make(chan error, len(members))
	for _, m := range members {
		guard.Go("bill holder", func() { results <- l.holdAt(ctx, m, b) })
	}
	held := 0
	for range members {
		if <-results == nil {
			held++
		}
	}
	return held
}

func (l *peerCalls) holdAt(ctx context.Context, m view.Member, b *peerv1.Bill) error {
	c, cancel := context.WithTimeout(ctx, l.node.cfg.Peers.Timeout)
	defer cancel()
	client, err := l.node.pool.Client(m.Address)
	if err != nil {
		return err
	}
	_, err = client.Hold(c, &peerv1.HoldRequest{Incarnation: l.inc, Bills: []*peerv1.Bill{b}})
	return err
}

// Borrow asks other hosts in turn for a loan and returns the tokens that it got.
func (l *peerCalls) Borrow(ctx context.Context, budget string, tokens uint64) uint64 {
	var got uint64
	for i, m := range l.node.others() {
		if i >= maxLoanPeers || got >= tokens {
			break
		}
		if l.node.detector().Silent(m.Incarnation) {
			continue
		}
		got += l.borrowAt(ctx, m, budget, tokens-got)
	}
	return got
}

func (l *peerCalls) borrowAt(ctx context.Context, m view.Member, budget string, tokens uint64) uint64 {
	c, cancel := context.WithTimeout(ctx, l.node.cfg.Peers.Timeout)
	defer cancel()
	client, err := l.node.pool.Client(m.Address)
	if err != nil {
		return 0
	}
	id := fmt.Sprintf("%s/%d", l.inc, l.node.loans.Add(1))
	r, err := client.Borrow(c, &peerv1.BorrowRequest{Id: id, Incarnation: l.inc, Budget: budget, Tokens: tokens})
	if err != nil || r.Tokens == 0 {
		return 0
	}
	l.ledger.Credit(id, budget, r.Tokens)
	return r.Tokens
}

// others returns the other members of this host's region in random order.
func (n *Node) others() []view.Member {
	self := n.current.Load()
	var out []view.Member
	for _, m := range n.store.Members() {
		if m.Region == n.cfg.Host.Region && (self == nil || m.Incarnation != self.Incarnation) {
			out = append(out, m)
		}
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// holderCandidates returns the other members that are not suspected, in the order in which they
// are asked to hold a bill.
func (n *Node) holderCandidates() []view.Member {
	var heard []view.Member
	for _, m := range n.others() {
		if !n.detector().Silent(m.Incarnation) {
			heard = append(heard, m)
		}
	}
	return holderOrder(heard, n.cfg.Host.Domain)
}

// holderOrder puts one member of each other failure domain first and leaving members
// last, because a graceful shutdown waits until the host holds no bill.
func holderOrder(members []view.Member, own string) []view.Member {
	var far, near, leaving []view.Member
	seen := map[string]bool{own: true}
	for _, m := range members {
		switch {
		case m.Leaving:
			leaving = append(leaving, m)
		case seen[m.Domain]:
			near = append(near, m)
		default:
			seen[m.Domain] = true
			far = append(far, m)
		}
	}
	return slices.Concat(far, near, leaving)
}
