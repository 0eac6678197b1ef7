// Package node assembles the components of a host and runs them.
package node

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	log "github.com/sirupsen/logrus"
	"google.golang.org/grpc"

	peerv1 "maststage.dev/api/peer/v1"
	"maststage.dev/api/platform/v1/platformv1connect"
	"maststage.dev/daemon/logio"
	"maststage.dev/daemon/metric"
	"maststage.dev/daemon/peer"
	"maststage.dev/daemon/run"
	"maststage.dev/daemon/settings"
	"maststage.dev/daemon/store"
	"maststage.dev/daemon/target"
	"maststage.dev/fold"
	"maststage.dev/lib/graceful"
	"maststage.dev/lib/guard"
	"maststage.dev/lib/inbound"
	"maststage.dev/lib/rendezvous"
)

const (
	maxConns      = 4096 // idle connections to one target
	snapshotCheck = 2 * time.Second
)

// Node is one host.
type Node struct {
	cfg      *settings.Settings
	store    *store.Store
	platform *platform
	tailer   *logio.Tailer
	registry *target.Registry
	pool     *peer.Pool
	engine   *run.Engine
	metrics  *metric.Set
	grpc     *grpc.Server
	http     *graceful.Server
	inbound  *inbound.Account
	evicted  atomic.Uint64 // requests and connections that the account has evicted
	loans    atomic.Uint64

	current         atomic.Pointer[identity]
	failureDetector atomic.Pointer[peer.Detector]
	startMu         sync.Mutex         // serializes the creation of identities
	stopDetector    context.CancelFunc // stops the heartbeats of the current identity
	ended           chan string        // incarnations of this host that the log has ended
	stopping        chan struct{}
	stopOnce        sync.Once
	leaving         chan struct{} // closed when callers' streams must move to another host

	mu        sync.Mutex
	published map[string]chan fold.Published
}

// New returns a host with the given settings; Run starts it.
func New(cfg *settings.Settings) *Node {
	n := &Node{
		cfg:       cfg,
		store:     store.New(),
		pool:      peer.NewPool(cfg.Peers.Secret, cfg.Peers.Via()),
		metrics:   metric.New(),
		ended:     make(chan string, 16),
		stopping:  make(chan struct{}),
		leaving:   make(chan struct{}),
		published: map[string]chan fold.Published{},
	}
	web := newHTTPClient(cfg)
	n.platform = newPlatform(n)
	n.tailer = logio.NewTailer(n.platform, n.platform, n.store)
	members := platformv1connect.NewMembersClient(web, "http://"+cfg.Platform.Members)
	n.registry = target.NewRegistry(cfg.Targets, cfg.Host.Domain, members, cfg.Platform.ListInterval, cfg.Platform.Timeout, web)
	n.engine = run.New(run.Options{
		Requests: cfg.Requests, Targets: cfg.Targets, Budgets: cfg.Budgets,
		Host: n, Store: n.store, Registry: n.registry, Metrics: n.metrics,
	})
	n.failureDetector.Store(n.newDetector(""))
	n.store.Subscribe(n)
	n.inbound = n.newInbound(cfg.Machine)
	n.grpc = peer.NewServer(peerHandler{n}, cfg.Peers.Secret)
	n.http = n.newHTTP()
	n.addGauges()
	return n
}

func (n *Node) detector() *peer.Detector { return n.failureDetector.Load() }

func (n *Node) newDetector(inc string) *peer.Detector {
	p := n.cfg.Peers
	return peer.NewDetector(peer.Options{
		Self: inc, Region: n.cfg.Host.Region, View: n.store, Pool: n.pool, Status: n.status,
		HostDelisted: n.registry.HostDelisted, Evict: n.evict,
		Interval: p.PingInterval, SuspectAfter: p.SuspectAfter, Timeout: p.Timeout,
	})
}

// Run serves until ctx is done or a graceful shutdown is complete.
func (n *Node) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	guard.Go("targets", func() { n.registry.Run(ctx) })
	if err := n.tailer.Bootstrap(ctx); err != nil {
		return fmt.Errorf("reading the log: %w", err)
	}
	guard.Go("log tailer", func() { n.followLog(ctx) })
	select {
	case <-n.tailer.CaughtUp():
	case <-ctx.Done():
		return ctx.Err()
	}
	n.startIdentity(ctx)
	if err := n.listen(); err != nil {
		return err
	}
	guard.Go("snapshots", func() { n.snapshots(ctx) })
	guard.Go("membership", func() { n.rejoinAfterEviction(ctx) })
	guard.Go("kept answers", func() { n.expireResponses(ctx) })
	guard.Go("standstills", func() { n.engine.Run(ctx) })
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-n.stopping:
	}
	n.drain(ctx)
	return nil
}

// startIdentity creates a new identity and its failure detector.
func (n *Node) startIdentity(ctx context.Context) {
	n.startMu.Lock()
	defer n.startMu.Unlock()
	id := n.newIdentity(ctx)
	d := n.newDetector(id.Incarnation)
	n.failureDetector.Store(d)
	if n.stopDetector != nil {
		n.stopDetector()
	}
	life, cancel := context.WithCancel(ctx)
	n.stopDetector = cancel
	guard.Go("heartbeats", func() { d.Run(life) })
}

func (n *Node) listen() error {
	pl, err := net.Listen("tcp", n.cfg.Host.PeerListen)
	if err != nil {
		return fmt.Errorf("listening for hosts: %w", err)
	}
	cl, err := net.Listen("tcp", n.cfg.Host.Listen)
	if err != nil {
		return fmt.Errorf("listening for callers: %w", err)
	}
	guard.Go("peer server", func() {
		if err := n.grpc.Serve(n.peerListener(pl)); err != nil {
			log.WithError(err).Error("peer server failed")
		}
	})
	guard.Go("caller server", func() {
		if err := n.http.Serve(cl); err != nil && !errors.Is(err, http.ErrServerClosed) {
			log.WithError(err).Error("caller server failed")
		}
	})
	log.WithFields(log.Fields{"callers": n.cfg.Host.Listen, "hosts": n.cfg.Host.PeerListen}).Info("listening")
	return nil
}

// followLog applies the log. A host that is behind the oldest retained entry loads the
// state anew and takes a new incarnation, because it has missed the outcome of its own
// records.
func (n *Node) followLog(ctx context.Context) {
	for {
		err := n.tailer.Run(ctx)
		if ctx.Err() != nil {
			return
		}
		log.WithError(err).Warn("behind the oldest retained log entry; loading the state anew")
		if n.tailer.Bootstrap(ctx) != nil {
			return
		}
		if old := n.current.Load(); old != nil {
			n.startIdentity(ctx)
			n.requeueUnlogged(old, n.current.Load())
			n.stopIdentity(old)
		}
	}
}

// rejoinAfterEviction creates a new identity when the log has ended the current one.
func (n *Node) rejoinAfterEviction(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case inc := <-n.ended:
			old := n.current.Load()
			if old.Incarnation != inc || n.Draining() {
				continue
			}
			log.WithField("incarnation", inc).Warn("evicted while alive")
			n.startIdentity(ctx)
			guard.Go("retired identity", func() { n.retire(ctx, old) })
		}
	}
}

// Event receives publishes and the end of this host's incarnations.
func (n *Node) Event(e fold.Event) {
	switch k := e.(type) {
	case fold.Published:
		n.mu.Lock()
		ch := n.published[k.ID]
		n.mu.Unlock()
		if ch != nil {
			select {
			case ch <- k:
			default:
			}
		}
	case fold.Ended:
		if id := n.current.Load(); id != nil && id.Incarnation == k.Incarnation {
			n.ended <- k.Incarnation
		}
	}
}

func (n *Node) awaitPublish(id string) <-chan fold.Published {
	ch := make(chan fold.Published, 1)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.published[id] = ch
	return ch
}

func (n *Node) forgetPublish(id string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.published, id)
}

// evict queues a request to evict a silent member.
func (n *Node) evict(inc string, epoch uint64) {
	log.WithField("incarnation", inc).Warn("requesting the eviction of a silent host")
	rec := &peerv1.Evict{Incarnation: inc, Epoch: epoch}
	if err := n.current.Load().writer.Put(&peerv1.Record{Kind: &peerv1.Record_Evict{Evict: rec}}); err != nil {
		log.WithError(err).Error("queueing the eviction record failed")
	}
}

// snapshots appends the state to the log before the log drops entries after the last
// snapshot. One member, chosen by hash, does it.
func (n *Node) snapshots(ctx context.Context) {
	every := time.NewTicker(snapshotCheck)
	defer every.Stop()
	var asked uint64
	for {
		select {
		case <-ctx.Done():
			return
		case <-every.C:
		}
		offset, snap := n.store.Offset()
		due := uint64(n.cfg.Platform.SnapshotEvery)
		if offset-snap < due || offset-asked < due || !n.ranksFirst("snapshot") {
			continue
		}
		data, err := n.store.Encode()
		if err != nil {
			log.WithError(err).Error("encoding a snapshot failed")
			continue
		}
		rec := &peerv1.Record{Kind: &peerv1.Record_Snapshot{Snapshot: &peerv1.Snapshot{State: data}}}
		if n.current.Load().writer.Put(rec) == nil {
			asked = offset
		}
	}
}

// ranksFirst reports whether this host ranks first for a duty among the members not suspected.
func (n *Node) ranksFirst(duty string) bool {
	self := n.current.Load().Incarnation
	best, name := uint64(0), ""
	for _, m := range n.store.Members() {
		if n.detector().Silent(m.Incarnation) {
			continue
		}
		if s := rendezvous.Score(duty, m.Incarnation); name == "" || s > best {
			best, name = s, m.Incarnation
		}
	}
	return name == self
}

func (n *Node) expireResponses(ctx context.Context) {
	every := time.NewTicker(time.Second)
	defer every.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-every.C:
			n.engine.Tick(now)
		}
	}
}
