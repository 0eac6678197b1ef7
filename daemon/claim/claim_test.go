package claim

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	peerv1 "maststage.dev/api/peer/v1"
	"maststage.dev/daemon/store"
	"maststage.dev/fold"
	"maststage.dev/fold/view"
)

const hosts = 5

var errPartitioned = errors.New("cut off")

// model is a cluster of hosts that share one log. Each action is one event at one
// host, so that rapid can search for an order that breaks the invariant.
type model struct {
	log     [][]byte
	hosts   []*host
	ran     map[string]int
	crashed int
}

// host is one incarnation with its state.
type host struct {
	model       *model
	inc         string
	store       *store.Store
	reg         *Register
	coord       *Coordinator
	outbox      []*peerv1.Record
	seq         uint64
	partitioned bool // from the log and from hosts that are not partitioned
	dead        bool
	pending     []*Grant        // waiting to be read back from the log
	table       map[string]bool // ids that it is running or has run
}

// Put queues records.
func (h *host) Put(r ...*peerv1.Record) error {
	h.outbox = append(h.outbox, r...)
	return nil
}

// ClaimAt reaches a member unless a partition separates the two.
func (h *host) ClaimAt(_ context.Context, m view.Member, r *peerv1.ClaimRequest) (Answer, error) {
	for _, o := range h.model.hosts {
		if o.inc != m.Incarnation {
			continue
		}
		if o.dead || o.partitioned != h.partitioned {
			return Answer{}, errPartitioned
		}
		if r.Release {
			o.reg.Release(r.Id, r.Claimant)
			return Answer{}, nil
		}
		return o.reg.Claim(r.Id, r.Claimant, r.Epoch), nil
	}
	return Answer{}, errPartitioned
}

func newModel() *model {
	m := &model{ran: map[string]int{}}
	for i := range hosts {
		h := &host{model: m, inc: fmt.Sprint("h", i), store: store.New(), table: map[string]bool{}}
		h.reg = NewRegister(h, h.store)
		h.coord = NewCoordinator(h.inc, "r", h.store, h, h.reg, h, func() bool { return false })
		h.coord.spawn = func(_ string, f func()) { f() }
		h.store.Subscribe(h.reg)
		m.hosts = append(m.hosts, h)
		h.outbox = []*peerv1.Record{{Kind: &peerv1.Record_Join{Join: &peerv1.Join{Host: h.inc, Domain: fmt.Sprint("d", i%3), Region: "r"}}}}
	}
	for range 3 { // joins, their flushes, and the flushes of the last joins
		for _, h := range m.hosts {
			h.append()
			for _, o := range m.hosts {
				o.catchUp(hosts * 10)
			}
		}
	}
	return m
}

func (h *host) append() {
	if len(h.outbox) == 0 {
		return
	}
	h.seq++
	data, err := proto.Marshal(&peerv1.Batch{Incarnation: h.inc, Seq: h.seq, Records: h.outbox})
	if err != nil {
		panic(err)
	}
	h.model.log = append(h.model.log, data)
	h.outbox = nil
}

func (h *host) catchUp(n int) {
	for range n {
		at, _ := h.store.Offset()
		if int(at) >= len(h.model.log) {
			return
		}
		h.store.Apply(at+1, h.model.log[at])
	}
}

func (m *model) pick(t *rapid.T) *host {
	h := m.hosts[rapid.IntRange(0, hosts-1).Draw(t, "host")]
	if h.dead {
		t.Skip("dead")
	}
	return h
}

// Claim makes one attempt as the coordinator does; once granted, it either asks the
// majority at once or waits for the log.
func (m *model) Claim(t *rapid.T) {
	h := m.pick(t)
	id := rapid.SampledFrom([]string{"o/1", "o/2"}).Draw(t, "id")
	members, epoch, settled := h.store.Replicas(id, "r")
	if _, in := h.store.Member(h.inc); !settled || !in {
		t.Skip("not settled")
	}
	if h.table[id] {
		t.Skip("already running here")
	}
	g, err := h.coord.attempt(context.Background(), id, members, epoch)
	if g == nil || err != nil {
		return
	}
	if err := h.reg.Log(id, g.token); err != nil {
		t.Fatal(err)
	}
	g.logged = true
	h.table[id] = true
	if rapid.Bool().Draw(t, "wait for the log") {
		h.pending = append(h.pending, g)
		return
	}
	m.dispatchOrRelease(h, g)
}

func (m *model) dispatchOrRelease(h *host, g *Grant) {
	if g.majority(context.Background()) == nil {
		m.ran[g.id]++
		return
	}
	m.release(h, g)
}

func (m *model) release(h *host, g *Grant) {
	g.Release()
	delete(h.table, g.id)
}

// Waited ends one claim's wait for the log.
func (m *model) Waited(t *rapid.T) {
	h := m.pick(t)
	if len(h.pending) == 0 {
		t.Skip("no claim is waiting")
	}
	g := h.pending[0]
	h.pending = h.pending[1:]
	f, _ := h.store.Fact(g.id)
	switch {
	case f.First() == g.token:
		m.ran[g.id]++
	case f.First() != "":
		m.release(h, g)
	default:
		m.dispatchOrRelease(h, g)
	}
}

// Append writes a host's outbox to the log.
func (m *model) Append(t *rapid.T) {
	h := m.pick(t)
	if h.partitioned {
		t.Skip("cut off")
	}
	h.append()
}

// Read lets a host read further in the log.
func (m *model) Read(t *rapid.T) {
	h := m.pick(t)
	if h.partitioned {
		t.Skip("cut off")
	}
	h.catchUp(rapid.IntRange(1, 4).Draw(t, "entries"))
}

// Away partitions some hosts together, or reconnects them.
func (m *model) Away(t *rapid.T) {
	for range rapid.IntRange(1, 2).Draw(t, "hosts") {
		h := m.pick(t)
		h.partitioned = !h.partitioned
	}
}

// Round lets every reachable host read the whole log and append its outbox, twice.
func (m *model) Round(t *rapid.T) {
	for range 2 {
		for _, h := range m.hosts {
			if !h.dead && !h.partitioned {
				h.catchUp(len(m.log))
				h.append()
			}
		}
	}
}

// Crash kills a host, at most a minority in all; its unlogged claims are lost.
func (m *model) Crash(t *rapid.T) {
	h := m.pick(t)
	if m.crashed == (hosts-1)/2 || !m.foldWholeLog().View().Has(h.inc) {
		t.Skip("enough hosts crashed")
	}
	m.crashed++
	h.dead = true
}

// foldWholeLog folds the whole log.
func (m *model) foldWholeLog() *snapshot {
	s := &snapshot{store.New()}
	for i, data := range m.log {
		s.Apply(uint64(i+1), data)
	}
	return s
}

type snapshot struct{ *store.Store }

func (s *snapshot) View() *view.View { return &view.View{Members: s.Members()} }

// Evict removes a silent member, provided that fewer than half of the members are
// silent, as the detector requires.
func (m *model) Evict(t *rapid.T) {
	h := m.pick(t)
	if h.partitioned {
		t.Skip("cut off")
	}
	members := h.store.Members()
	var silent []string
	for _, o := range m.hosts {
		in := slices.ContainsFunc(members, func(x view.Member) bool { return x.Incarnation == o.inc })
		if in && (o.dead || o.partitioned) {
			silent = append(silent, o.inc)
		}
	}
	if len(silent) == 0 || 2*len(silent) >= len(members) {
		t.Skip("no member to evict")
	}
	inc := rapid.SampledFrom(silent).Draw(t, "evicted")
	_ = h.Put(&peerv1.Record{Kind: &peerv1.Record_Evict{Evict: &peerv1.Evict{Incarnation: inc, Epoch: h.store.Epoch()}}})
	h.append()
	if rapid.Bool().Draw(t, "round") {
		m.Round(t)
	}
}

// Check asserts the invariant: no request runs twice.
func (m *model) Check(t *rapid.T) {
	for id, n := range m.ran {
		if n > 1 {
			t.Fatalf("%s ran %d times", id, n)
		}
	}
}

// No request runs twice, whatever the order of claims, reads, partitions, crashes and evictions.
func TestNoRequestRunsTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		t.Repeat(rapid.StateMachineActions(newModel()))
	})
}

// A register that reads an earlier attempt or another incarnation's claim in the log
// keeps the claim it holds: the logged one may be released.
func TestRegisterKeepsUnloggedClaim(t *testing.T) {
	is := is.New(t)
	m := newModel()
	h := m.hosts[0]
	epoch := h.store.Epoch()
	is.True(h.reg.Claim("o/1", "h1#2", epoch).Granted)
	h.reg.Event(fold.Intended{ID: "o/1", Claimant: "h1#1", Valid: true})
	is.Equal(h.reg.Holder("o/1"), "h1#2")
	h.reg.Event(fold.Intended{ID: "o/1", Claimant: "h2#9", Valid: true})
	is.Equal(h.reg.Holder("o/1"), "h1#2")
	is.True(!h.reg.Claim("o/1", "h1#1", epoch).Granted) // delayed message of an earlier attempt
	is.True(!h.reg.Claim("o/1", "h2#1", epoch).Granted)
	h.reg.Release("o/1", "h1#1")
	is.Equal(h.reg.Holder("o/1"), "h1#2")
	h.reg.Event(fold.Intended{ID: "o/1", Claimant: "h1#2", Valid: true})
	is.Equal(h.reg.Held(), 0)
}
