package node

import (
	"context"
	"time"

	peerv1 "maststage.dev/api/peer/v1"
	"maststage.dev/daemon/claim"
	"maststage.dev/daemon/run"
	"maststage.dev/fold"
	"maststage.dev/fold/view"
	"maststage.dev/lib/errkind"
)

// duties is what this host does for its peers.
type duties struct{ node *Node }

// Execute runs or joins a request.
func (d duties) Execute(ctx context.Context, req *peerv1.ExecuteRequest, send func(*peerv1.ExecuteResponse) error) error {
	return d.node.engine.Execute(ctx, req, send)
}

// Claim answers as a replica.
func (d duties) Claim(id, claimant string, epoch uint64) claim.Answer {
	return d.node.current.Load().Register.Claim(id, claimant, epoch)
}

// Release takes a claim back.
func (d duties) Release(id, claimant string) {
	d.node.current.Load().Register.Release(id, claimant)
}

// Hold keeps a bill for another host.
func (d duties) Hold(b *peerv1.Bill) { d.node.current.Load().Bills.Hold(b) }

// Lend gives tokens to another host.
func (d duties) Lend(id, to, budget string, tokens uint64) uint64 {
	return d.node.current.Load().Ledger.Lend(id, to, budget, tokens)
}

// Recent serves the log's recent entries.
func (d duties) Recent(from uint64, max int) ([]*peerv1.TailEntry, uint64) {
	return d.node.tailer.Recent(from, max)
}

// State copies the fold.
func (d duties) State() ([]byte, error) { return d.node.store.Encode() }

// Relay appends for a host that can't reach the log.
func (d duties) Relay(ctx context.Context, data []byte) error {
	return d.node.platform.direct(ctx, data)
}

// Status is sent with heartbeats.
func (d duties) Status() *peerv1.Status { return d.node.status() }

// Heard takes in a peer's heartbeat.
func (d duties) Heard(s *peerv1.Status) {
	d.node.detector().Heard(s)
	d.node.registry.Avoid(s.GetAvoid())
}

// Stop begins a planned stop.
func (d duties) Stop() { d.node.Stop() }

func (n *Node) status() *peerv1.Status {
	offset, _ := n.store.Offset()
	version, _ := n.store.Config()
	s := &peerv1.Status{
		Host: n.cfg.Host.Name, Epoch: n.store.Epoch(), Offset: offset, ConfigVersion: version,
		Draining: n.Draining(), Avoid: n.registry.Leaving(), LogUp: n.LogUp(),
	}
	if id := n.current.Load(); id != nil {
		s.Incarnation = id.Incarnation
		s.Suspects = n.detector().Suspects()
	}
	return s
}

// LogUp says whether the platform's log answers reads and takes appends.
func (n *Node) LogUp() bool {
	if !n.tailer.Up() {
		return false
	}
	id := n.current.Load()
	return id == nil || id.writer.Stuck() < stuckAfter
}

// stuckAfter is when a batch not seen in the log means that it is down.
const stuckAfter = time.Second

// Identity gives the present incarnation to the engine.
func (n *Node) Identity() *run.Identity { return &n.current.Load().Identity }

// fleet serves operators.
type fleet struct{ node *Node }

// Publish logs declarations and waits until they are read back.
func (f fleet) Publish(ctx context.Context, base uint64, text string) (fold.Published, error) {
	id := newIncarnation("publish")
	got := f.node.awaitPublish(id)
	defer f.node.forgetPublish(id)
	rec := &peerv1.Publish{Id: id, BaseVersion: base, Text: text}
	if err := f.node.current.Load().writer.Put(&peerv1.Record{Kind: &peerv1.Record_Publish{Publish: rec}}); err != nil {
		return fold.Published{}, err
	}
	select {
	case p := <-got:
		return p, nil
	case <-ctx.Done():
		return fold.Published{}, errkind.New(errkind.Unknown,
			"not read back from the log in time: it may still come in force, look with 'maststage get'")
	}
}

// Status gives the last status of a member.
func (f fleet) Status(inc string) *peerv1.Status {
	if inc == f.node.current.Load().Incarnation {
		return f.node.status()
	}
	return f.node.detector().Last(inc)
}

// Silent says whether a member was not heard of for long.
func (f fleet) Silent(inc string) bool { return f.node.detector().Silent(inc) }

// Stop begins a planned stop of a member.
func (f fleet) Stop(ctx context.Context, m view.Member) error {
	if m.Incarnation == f.node.current.Load().Incarnation {
		f.node.Stop()
		return nil
	}
	client, err := f.node.pool.Client(m.Address)
	if err != nil {
		return err
	}
	_, err = client.Stop(ctx, &peerv1.StopRequest{})
	return err
}
