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

// peerHandler serves the calls of other hosts.
type peerHandler struct{ node *Node }

// Execute starts or joins a request.
func (d peerHandler) Execute(ctx context.Context, req *peerv1.ExecuteRequest, send func(*peerv1.ExecuteResponse) error) error {
	return d.node.engine.Execute(ctx, req, send)
}

// Claim grants or denies a claim as a replica of the id.
func (d peerHandler) Claim(id, claimant string, epoch uint64) claim.Answer {
	return d.node.current.Load().Register.Claim(id, claimant, epoch)
}

// Release drops a claim.
func (d peerHandler) Release(id, claimant string) {
	d.node.current.Load().Register.Release(id, claimant)
}

// Hold keeps a bill for another host.
func (d peerHandler) Hold(b *peerv1.Bill) { d.node.current.Load().Bills.Hold(b) }

// Lend lends tokens to another host and returns how many.
func (d peerHandler) Lend(id, to, budget string, tokens uint64) uint64 {
	return d.node.current.Load().Ledger.Lend(id, to, budget, tokens)
}

// Recent returns recent entries of the log.
func (d peerHandler) Recent(from uint64, max int) ([]*peerv1.TailEntry, uint64) {
	return d.node.tailer.Recent(from, max)
}

// State returns an encoded copy of the replicated state.
func (d peerHandler) State() ([]byte, error) { return d.node.store.Encode() }

// Relay appends to the log for a host that can't reach it.
func (d peerHandler) Relay(ctx context.Context, data []byte) error {
	return d.node.platform.appendDirect(ctx, data)
}

// Status returns the status that heartbeats carry.
func (d peerHandler) Status() *peerv1.Status { return d.node.status() }

// Heard records a peer's heartbeat.
func (d peerHandler) Heard(s *peerv1.Status) {
	d.node.detector().Heard(s)
	d.node.registry.Avoid(s.GetAvoid())
}

// Stop starts a graceful shutdown.
func (d peerHandler) Stop() { d.node.Stop() }

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

// LogUp reports whether the platform's log serves reads and accepts appends.
func (n *Node) LogUp() bool {
	if !n.tailer.Up() {
		return false
	}
	id := n.current.Load()
	return id == nil || id.writer.Stuck() < logDownAfter
}

// logDownAfter is how long a batch may be missing from the log before the log counts
// as unavailable.
const logDownAfter = time.Second

// Identity returns the current incarnation for the engine.
func (n *Node) Identity() *run.Identity { return &n.current.Load().Identity }

// fleet implements the calls that operators make.
type fleet struct{ node *Node }

// Publish appends declarations to the log and waits until they are read back.
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

// Status returns the last status of a member, or nil.
func (f fleet) Status(inc string) *peerv1.Status {
	if inc == f.node.current.Load().Incarnation {
		return f.node.status()
	}
	return f.node.detector().Last(inc)
}

// Silent reports whether this host suspects a member.
func (f fleet) Silent(inc string) bool { return f.node.detector().Silent(inc) }

// Stop starts a graceful shutdown of a member.
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
