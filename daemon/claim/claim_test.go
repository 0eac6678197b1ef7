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

var errCut = errors.New("cut off")

// model is a few hosts round one log. Each step is one thing that happens to
// one host, so that rapid finds the order that breaks the promise.
type model struct {
	log     [][]byte
	hosts   []*host
	ran     map[string]int
	crashed int
}

// host is one incarnation with what it owns.
type host struct {
	model   *model
	inc     string
	store   *store.Store
	reg     *Register
	coord   *Coordinator
	outbox  []*peerv1.Record
	seq     uint64
	away    bool // cut off from the log and from hosts that are not away
	dead    bool
	pending []*Grant        // waiting for the log
	table   map[string]bool // ids that it runs or has run
}

// Put queues records.
func (h *host) Put(r ...*peerv1.Record) error {
	h.outbox = append(h.outbox, r...)
	return nil
}

// ClaimAt reaches a member unless a cut lies between.
func (h *host) ClaimAt(_ context.Context, m view.Member, r *peerv1.ClaimRequest) (Answer, error) {
	for _, o := range h.model.hosts {
		if o.inc != m.Incarnation {
			continue
		}
		if o.dead || o.away != h.away {
			return Answer{}, errCut
		}
		if r.Release {
			o.reg.Release(r.Id, r.Claimant)
			return Answer{}, nil
		}
		return o.reg.Claim(r.Id, r.Claimant, r.Epoch), nil
	}
	return Answer{}, errCut
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
	for range 3 { // joins, flushes, and the flushes of the last joins
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

// Claim tries once, as the coordinator does; with the claim it either asks the
// majority at once or waits for the log.
func (m *model) Claim(t *rapid.T) {
	h := m.pick(t)
	id := rapid.SampledFrom([]string{"o/1", "o/2"}).Draw(t, "id")
	members, epoch, settled := h.store.Replicas(id, "r")
	if _, in := h.store.Member(h.inc); !settled || !in {
		t.Skip("not settled")
	}
	if h.table[id] {
		t.Skip("it has the run")
	}
	g, err := h.coord.try(context.Background(), id, members, epoch)
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

// Waited ends the wait for the log of one claim.
func (m *model) Waited(t *rapid.T) {
	h := m.pick(t)
	if len(h.pending) == 0 {
		t.Skip("none waits")
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

// Append gets a host's outbox into the log.
func (m *model) Append(t *rapid.T) {
	h := m.pick(t)
	if h.away {
		t.Skip("cut off")
	}
	h.append()
}

// Read lets a host read on.
func (m *model) Read(t *rapid.T) {
	h := m.pick(t)
	if h.away {
		t.Skip("cut off")
	}
	h.catchUp(rapid.IntRange(1, 4).Draw(t, "entries"))
}

// Away cuts some hosts off together, or heals them.
func (m *model) Away(t *rapid.T) {
	for range rapid.IntRange(1, 2).Draw(t, "hosts") {
		h := m.pick(t)
		h.away = !h.away
	}
}

// Round lets all that are not cut off read and append all there is, twice.
func (m *model) Round(t *rapid.T) {
	for range 2 {
		for _, h := range m.hosts {
			if !h.dead && !h.away {
				h.catchUp(len(m.log))
				h.append()
			}
		}
	}
}

// Crash ends a host, a minority at most; what it held and had not logged is lost.
func (m *model) Crash(t *rapid.T) {
	h := m.pick(t)
	if m.crashed == (hosts-1)/2 || !m.latest().View().Has(h.inc) {
		t.Skip("enough")
	}
	m.crashed++
	h.dead = true
}

// latest folds the whole log.
func (m *model) latest() *snapshot {
	s := &snapshot{store.New()}
	for i, data := range m.log {
		s.Apply(uint64(i+1), data)
	}
	return s
}

type snapshot struct{ *store.Store }

func (s *snapshot) View() *view.View { return &view.View{Members: s.Members()} }

// Evict ends a member that is silent to fewer than half of the members, as the
// detector's rule has it.
func (m *model) Evict(t *rapid.T) {
	h := m.pick(t)
	if h.away {
		t.Skip("cut off")
	}
	members := h.store.Members()
	var silent []string
	for _, o := range m.hosts {
		in := slices.ContainsFunc(members, func(x view.Member) bool { return x.Incarnation == o.inc })
		if in && (o.dead || o.away) {
			silent = append(silent, o.inc)
		}
	}
	if len(silent) == 0 || 2*len(silent) >= len(members) {
		t.Skip("none to evict")
	}
	inc := rapid.SampledFrom(silent).Draw(t, "evicted")
	_ = h.Put(&peerv1.Record{Kind: &peerv1.Record_Evict{Evict: &peerv1.Evict{Incarnation: inc, Epoch: h.store.Epoch()}}})
	h.append()
	if rapid.Bool().Draw(t, "round") {
		m.Round(t)
	}
}

// Check is the promise.
func (m *model) Check(t *rapid.T) {
	for id, n := range m.ran {
		if n > 1 {
			t.Fatalf("%s ran %d times", id, n)
		}
	}
}

// However claims, reads, cuts, crashes and evictions fall, nothing runs twice.
func TestClaimsRunOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		t.Repeat(rapid.StateMachineActions(newModel()))
	})
}

// A register that reads an earlier try, or another's claim, in the log keeps the
// claim that it holds: the one in the log may be released.
func TestRegisterKeepsWhatIsNotLogged(t *testing.T) {
	is := is.New(t)
	m := newModel()
	h := m.hosts[0]
	epoch := h.store.Epoch()
	is.True(h.reg.Claim("o/1", "h1#2", epoch).Granted)
	h.reg.Event(fold.Intended{ID: "o/1", Claimant: "h1#1", Valid: true})
	is.Equal(h.reg.Holder("o/1"), "h1#2")
	h.reg.Event(fold.Intended{ID: "o/1", Claimant: "h2#9", Valid: true})
	is.Equal(h.reg.Holder("o/1"), "h1#2")
	is.True(!h.reg.Claim("o/1", "h1#1", epoch).Granted) // late
	is.True(!h.reg.Claim("o/1", "h2#1", epoch).Granted)
	h.reg.Release("o/1", "h1#1")
	is.Equal(h.reg.Holder("o/1"), "h1#2")
	h.reg.Event(fold.Intended{ID: "o/1", Claimant: "h1#2", Valid: true})
	is.Equal(h.reg.Held(), 0)
}
