package ledger

import (
	"context"
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	peerv1 "maststage.dev/api/peer/v1"
	"maststage.dev/daemon/settings"
	"maststage.dev/daemon/store"
	"maststage.dev/lib/errkind"
)

const total = 1000

// model is a cluster of hosts that spend one budget through one log.
type model struct {
	log   [][]byte
	hosts []*host
	spent uint64 // at the targets
	loans int
}

type host struct {
	model       *model
	inc         string
	store       *store.Store
	ledger      *Ledger
	outbox      []*peerv1.Record
	seq         uint64
	open        []*Reservation
	dead        bool
	partitioned bool // partitioned from the log
	lossy       bool // replies to its loan requests are lost
}

// Put queues records.
func (h *host) Put(r ...*peerv1.Record) error {
	h.outbox = append(h.outbox, r...)
	return nil
}

// Borrow asks all other hosts; a reply may be lost after the lender's debit.
func (h *host) Borrow(_ context.Context, budget string, tokens uint64) uint64 {
	var got uint64
	for _, o := range h.model.hosts {
		if o == h || o.dead || got >= tokens {
			continue
		}
		h.model.loans++
		id := fmt.Sprint(h.inc, "/", h.model.loans)
		n := o.ledger.Lend(id, h.inc, budget, tokens-got)
		if n == 0 || h.lossy {
			continue
		}
		h.ledger.Credit(id, budget, n)
		got += n
	}
	return got
}

func newModel() *model {
	m := &model{}
	cfg := settings.Budgets{SliceSeconds: 5, MaxSlice: 300, LeftDivisor: 2, IdleAfter: time.Second, Wait: time.Nanosecond, Borrow: true}
	for i := range 3 {
		h := &host{model: m, inc: fmt.Sprint("h", i), store: store.New()}
		h.ledger = New(h.inc, cfg, h, h.store, h, func() bool { return !h.partitioned })
		h.store.Subscribe(h.ledger)
		m.hosts = append(m.hosts, h)
		_ = h.Put(&peerv1.Record{Kind: &peerv1.Record_Join{Join: &peerv1.Join{Host: h.inc}}})
	}
	text := "[organisation o]\nkey_sha256 = 0000000000000000000000000000000000000000000000000000000000000000\nbudget = b\n[budget b]\norganisation = o\ntokens = 1000\n"
	_ = m.hosts[0].Put(&peerv1.Record{Kind: &peerv1.Record_Publish{Publish: &peerv1.Publish{Text: text}}})
	for _, h := range m.hosts {
		h.append(1)
	}
	for _, h := range m.hosts {
		h.read(len(m.log))
	}
	return m
}

// append writes the outbox to the log, several times if replies are lost.
func (h *host) append(times int) {
	if len(h.outbox) == 0 {
		return
	}
	h.seq++
	data, err := proto.Marshal(&peerv1.Batch{Incarnation: h.inc, Seq: h.seq, Records: h.outbox})
	if err != nil {
		panic(err)
	}
	for range times {
		h.model.log = append(h.model.log, data)
	}
	h.outbox = nil
}

func (h *host) read(n int) {
	for range n {
		at, _ := h.store.Offset()
		if int(at) >= len(h.model.log) {
			return
		}
		h.store.Apply(at+1, h.model.log[at])
	}
}

func (m *model) pick(t *rapid.T) *host {
	h := m.hosts[rapid.IntRange(0, len(m.hosts)-1).Draw(t, "host")]
	if h.dead {
		t.Skip("dead")
	}
	return h
}

// Reserve starts a request.
func (m *model) Reserve(t *rapid.T) {
	h := m.pick(t)
	n := rapid.SampledFrom([]uint64{20, 90, 200}).Draw(t, "tokens")
	r, err := h.ledger.Reserve(context.Background(), "b", n)
	if err != nil && !h.partitioned && rapid.Bool().Draw(t, "again") {
		h.append(1)
		h.read(len(m.log))
		r, err = h.ledger.Reserve(context.Background(), "b", n)
	}
	if err == nil {
		h.open = append(h.open, r)
		return
	}
	if k := errkind.From(err).Kind; k != errkind.Budget {
		t.Fatalf("refused as %s", k)
	}
}

// ReserveMore starts several requests.
func (m *model) ReserveMore(t *rapid.T) {
	for range rapid.IntRange(1, 4).Draw(t, "requests") {
		m.Reserve(t)
	}
}

// Use ends a request, whose target used at most what was reserved.
func (m *model) Use(t *rapid.T) {
	h := m.pick(t)
	if len(h.open) == 0 {
		t.Skip("no open request")
	}
	r := h.open[0]
	h.open = h.open[1:]
	n := rapid.Uint64Range(0, r.Tokens()).Draw(t, "used")
	m.spent += n
	r.Close(n)
}

// Tick settles use and returns idle tokens.
func (m *model) Tick(t *rapid.T) {
	h := m.pick(t)
	idle := time.Duration(rapid.IntRange(0, 1).Draw(t, "idle")) * time.Minute
	h.ledger.Tick(time.Now().Add(idle), time.Second)
}

// Append writes records to the log, sometimes twice.
func (m *model) Append(t *rapid.T) {
	h := m.pick(t)
	if !h.partitioned {
		h.append(rapid.IntRange(1, 2).Draw(t, "times"))
	}
}

// Read lets a host read further in the log.
func (m *model) Read(t *rapid.T) {
	h := m.pick(t)
	if !h.partitioned {
		h.read(rapid.IntRange(1, 5).Draw(t, "entries"))
	}
}

// Round lets every reachable host append its outbox and read the whole log.
func (m *model) Round(*rapid.T) {
	for range 2 {
		for _, h := range m.hosts {
			if !h.dead && !h.partitioned {
				h.append(1)
				h.read(len(m.log))
			}
		}
	}
}

// Cut partitions a host from the log, or reconnects it.
func (m *model) Cut(t *rapid.T) {
	h := m.pick(t)
	h.partitioned = !h.partitioned
}

// Lossy starts or stops the loss of replies to a host's loan requests.
func (m *model) Lossy(t *rapid.T) {
	h := m.pick(t)
	h.lossy = !h.lossy
}

// Die kills a host; its targets continue and use all that was reserved.
func (m *model) Die(t *rapid.T) {
	h := m.pick(t)
	if rapid.IntRange(0, 19).Draw(t, "die") > 0 {
		t.Skip("stays alive")
	}
	h.dead = true
	for _, r := range h.open {
		m.spent += r.Tokens()
	}
}

// Evict removes any host from the view, alive or not.
func (m *model) Evict(t *rapid.T) {
	if rapid.IntRange(0, 11).Draw(t, "evict") > 0 {
		t.Skip("not now")
	}
	by, victim := m.pick(t), m.hosts[rapid.IntRange(0, 2).Draw(t, "victim")]
	_ = by.Put(&peerv1.Record{Kind: &peerv1.Record_Evict{Evict: &peerv1.Evict{Incarnation: victim.inc, Epoch: by.store.Epoch()}}})
}

// Check asserts the invariant: what the targets used, and may still use for open
// requests, is within the budget.
func (m *model) Check(t *rapid.T) {
	sum := m.spent
	for _, h := range m.hosts {
		if h.dead {
			continue
		}
		for _, r := range h.open {
			sum += r.Tokens()
		}
	}
	if sum > total {
		t.Fatalf("%d tokens used or reserved of %d", sum, total)
	}
}

// The budget is never overspent, whatever the order of takes, loans, partitions, crashes and
// evictions.
func TestNeverOverspent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		t.Repeat(rapid.StateMachineActions(newModel()))
	})
}
