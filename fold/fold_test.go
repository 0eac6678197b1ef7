package fold

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	peerv1 "maststage.dev/api/peer/v1"
)

const total = 1000

const text = `[organisation o]
key_sha256 = 0000000000000000000000000000000000000000000000000000000000000000
budget = b
[budget b]
organisation = o
tokens = 1000
`

// oracle is a simple model of the budgets, bills and claims.
type oracle struct {
	left     int64
	live     map[string]bool
	held     map[string]int64 // by incarnation, live or ended
	consumed int64
	billed   map[string]uint64
	claimed  map[string]string
}

// machine applies random records to a state and to the oracle. rapid calls its exported methods.
type machine struct {
	state  *State
	oracle oracle
	seqs   map[string]uint64
	log    [][]byte
	sent   [][]byte // batches that may be resent
}

func newMachine() *machine {
	m := &machine{state: New(), seqs: map[string]uint64{}}
	m.oracle = oracle{left: total, live: map[string]bool{}, held: map[string]int64{}, billed: map[string]uint64{}, claimed: map[string]string{}}
	m.append("op", &peerv1.Record{Kind: &peerv1.Record_Publish{Publish: &peerv1.Publish{Text: text}}})
	return m
}

func (m *machine) append(inc string, records ...*peerv1.Record) []Event {
	m.seqs[inc]++
	data, err := proto.Marshal(&peerv1.Batch{Incarnation: inc, Seq: m.seqs[inc], Records: records})
	if err != nil {
		panic(err)
	}
	m.sent = append(m.sent, data)
	return m.raw(data)
}

func (m *machine) raw(data []byte) []Event {
	m.log = append(m.log, data)
	return m.state.Apply(uint64(len(m.log)), data)
}

var (
	incarnations = rapid.SampledFrom([]string{"a", "b", "c", "d"})
	ids          = rapid.SampledFrom([]string{"o/1", "o/2", "o/3"})
	amounts      = rapid.Uint64Range(0, 400)
)

func (m *machine) Join(t *rapid.T) {
	inc := incarnations.Draw(t, "inc")
	m.append(inc, &peerv1.Record{Kind: &peerv1.Record_Join{Join: &peerv1.Join{Host: "host-" + inc, Domain: inc, Region: "r"}}})
	if !m.state.View.WasEvicted(inc) {
		m.oracle.live[inc] = true
	}
}

func (m *machine) Evict(t *rapid.T) {
	inc := incarnations.Draw(t, "inc")
	epoch := m.state.View.Epoch
	stale := rapid.Bool().Draw(t, "stale")
	if stale {
		epoch--
	}
	m.append("op", &peerv1.Record{Kind: &peerv1.Record_Evict{Evict: &peerv1.Evict{Incarnation: inc, Epoch: epoch}}})
	if !stale {
		m.oracle.live[inc] = false
	}
}

func (m *machine) Take(t *rapid.T) {
	inc, n := incarnations.Draw(t, "inc"), amounts.Draw(t, "n")
	events := m.append(inc, &peerv1.Record{Kind: &peerv1.Record_Take{Take: &peerv1.Take{Budget: "b", Tokens: n, Least: 1}}})
	var want uint64
	if m.oracle.live[inc] && m.oracle.left > 0 {
		want = min(n, uint64(m.oracle.left))
	}
	if g, ok := events[0].(Granted); !ok || g.Tokens != want {
		t.Fatalf("granted %v, want %d", events[0], want)
	}
	m.oracle.left -= int64(want)
	m.oracle.held[inc] += int64(want)
}

func (m *machine) Return(t *rapid.T) {
	inc, n := incarnations.Draw(t, "inc"), amounts.Draw(t, "n")
	m.append(inc, &peerv1.Record{Kind: &peerv1.Record_Return{Return: &peerv1.Return{Budget: "b", Tokens: n}}})
	if m.oracle.held[inc] >= int64(n) {
		m.oracle.held[inc] -= int64(n)
		m.oracle.left += int64(n)
	}
}

func (m *machine) Settle(t *rapid.T) {
	inc := incarnations.Draw(t, "inc")
	held := m.oracle.held[inc]
	if held <= 0 {
		return
	}
	n := rapid.Int64Range(0, held).Draw(t, "n")
	m.append(inc, &peerv1.Record{Kind: &peerv1.Record_Settle{Settle: &peerv1.Settle{Budget: "b", Tokens: uint64(n)}}})
	m.oracle.held[inc] -= n
	m.oracle.consumed += n
}

func (m *machine) Move(t *rapid.T) {
	from, to := incarnations.Draw(t, "from"), incarnations.Draw(t, "to")
	held := m.oracle.held[from]
	if held <= 0 {
		return
	}
	n := rapid.Int64Range(1, held).Draw(t, "n")
	m.append(from, &peerv1.Record{Kind: &peerv1.Record_Move{Move: &peerv1.Move{Budget: "b", To: to, Tokens: uint64(n)}}})
	m.oracle.held[from] -= n
	m.oracle.held[to] += n
}

func (m *machine) Bill(t *rapid.T) {
	inc, id, n := incarnations.Draw(t, "inc"), ids.Draw(t, "id"), amounts.Draw(t, "n")
	m.append(inc, &peerv1.Record{Kind: &peerv1.Record_Bill{Bill: &peerv1.Bill{Id: id, Budget: "b", Tokens: n}}})
	if _, ok := m.oracle.billed[id]; !ok {
		m.oracle.billed[id] = n
	}
}

func (m *machine) Intent(t *rapid.T) {
	inc, id := incarnations.Draw(t, "inc"), ids.Draw(t, "id")
	events := m.append(inc, &peerv1.Record{Kind: &peerv1.Record_Intent{Intent: &peerv1.Intent{Id: id, Claimant: inc + "#1"}}})
	if m.oracle.claimed[id] == "" {
		m.oracle.claimed[id] = inc
	}
	if e := events[0].(Intended); e.Valid != (m.oracle.claimed[id] == inc) {
		t.Fatalf("intent of %s valid: %v, first was %s", inc, e.Valid, m.oracle.claimed[id])
	}
}

// SentAgain appends an old batch again, as after a lost reply.
func (m *machine) SentAgain(t *rapid.T) {
	i := rapid.IntRange(0, len(m.sent)-1).Draw(t, "i")
	if events := m.raw(m.sent[i]); len(events) != 0 {
		t.Fatalf("a resent batch caused %v", events)
	}
}

// Copied encodes and decodes the state, as when a starting host gets it from another.
func (m *machine) Copied(t *rapid.T) {
	data, err := m.state.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if m.state, err = Decode(data); err != nil {
		t.Fatal(err)
	}
}

// Stranger appends bytes that are no batch.
func (m *machine) Stranger(t *rapid.T) {
	m.raw(rapid.SliceOfN(rapid.Byte(), 0, 20).Draw(t, "bytes"))
}

// Check compares the state with the oracle.
func (m *machine) Check(t *rapid.T) {
	a := m.state.Budgets["b"]
	if a.Granted > a.Total {
		t.Fatalf("%d granted of %d", a.Granted, a.Total)
	}
	if a.Left() != m.oracle.left || int64(a.Consumed) != m.oracle.consumed {
		t.Fatalf("left %d consumed %d, want %d and %d", a.Left(), a.Consumed, m.oracle.left, m.oracle.consumed)
	}
	if sum := int64(a.Consumed) + a.HeldSum() + a.StrandedSum(); sum != int64(a.Granted) {
		t.Fatalf("consumed, held and stranded are %d of %d granted", sum, a.Granted)
	}
	for inc, n := range m.oracle.held {
		if got := a.Held[inc] + a.Stranded[inc]; got != n {
			t.Fatalf("%s holds %d, want %d", inc, got, n)
		}
	}
	var billed uint64
	for _, n := range m.oracle.billed {
		billed += n
	}
	if a.Billed != billed {
		t.Fatalf("billed %d, want %d", a.Billed, billed)
	}
}

// The state must match the oracle after any sequence of records, also duplicate or stale ones.
func TestFoldAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine()
		t.Repeat(rapid.StateMachineActions(m))
		// The same log gives the same state on another host.
		other := New()
		for i, data := range m.log {
			other.Apply(uint64(i+1), data)
		}
		x, _ := m.state.Encode()
		y, _ := other.Encode()
		if !bytes.Equal(x, y) {
			t.Fatalf("the states of two hosts differ:\n%s\n%s", x, y)
		}
	})
}

// Of two publishes based on one version the first wins; the other's error names the version in force.
func TestSecondPublishFromSameVersionFails(t *testing.T) {
	is := is.New(t)
	m := newMachine()
	other := text + "[pool p]\nkind = engine\n"
	publish := func(inc string, base uint64, text string) Published {
		for _, e := range m.append(inc, &peerv1.Record{Kind: &peerv1.Record_Publish{Publish: &peerv1.Publish{BaseVersion: base, Text: text}}}) {
			if p, ok := e.(Published); ok {
				return p
			}
		}
		t.Fatal("a publish caused no Published event")
		return Published{}
	}
	is.NoErr(publish("x", 1, other).Err)
	lost := publish("y", 1, text)
	is.True(lost.Err != nil)
	is.Equal(lost.Err.Error(), "made from version 1, but version 2 is in force")
	is.Equal(m.state.Config.Version, uint64(2))
	is.Equal(m.state.Config.Text, other)
	is.True(publish("y", 2, "[budget x]\n").Err != nil) // invalid: nothing changes
	is.Equal(m.state.Config.Version, uint64(2))
}

// An entry at or below the last offset must change nothing.
func TestEntryAtOldOffsetChangesNothing(t *testing.T) {
	is := is.New(t)
	m := newMachine()
	before, _ := m.state.Encode()
	is.Equal(len(m.state.Apply(1, m.log[0])), 0)
	after, _ := m.state.Encode()
	is.Equal(string(before), string(after))
}

// A second bill of an id must be rejected, and Order lists each id once.
func TestOnlyFirstBillOfRequestCounts(t *testing.T) {
	is := is.New(t)
	s := New()
	for i := range 3 {
		s.Facts.Bill(fmt.Sprint(i), 1)
	}
	is.Equal(len(s.Facts.Order), 3)
	is.True(!s.Facts.Bill("1", 5))
}
