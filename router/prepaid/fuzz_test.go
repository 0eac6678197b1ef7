package prepaid

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"maststage.dev/router/eventlog"
	"maststage.dev/standin/memlog"
)

// model drives Allocators step by step, without their goroutines, and counts what they spend. One
// invariant holds throughout: what was spent or may still be spent under the current limit never
// exceeds the highest limit so far, and once a limit was lowered and every host knows it, nothing
// more is spent above it.
type model struct {
	log              *memlog.Log
	hosts            []*Allocator
	openReservations map[*Allocator][]*Reservation
	starts           int
	limit            int64
	version          int64
	highest          int64
	spent            int64 // settled
	reserved         int64 // may still be spent
	killed           int64 // reserved by killed hosts: counts as spent
	loans            int
	lostLoans        []lostLoan
	keepers          int // hosts that hold tokens for all; 0: each host obtains its own
	copies           []memlog.Snapshot
	confirmed        map[string]int64 // the era that each host has confirmed; nil: none does
}

const fuzzHosts = 3

func (m *model) start(i int) {
	m.starts++
	name := fmt.Sprintf("h%d/%d", i, m.starts)
	opts := Options{
		Log: m.log.Host(fmt.Sprintf("h%d", i)), Topic: "b", Partitions: 1, Host: name,
		Sizing:     Sizing{Horizon: 5, FullSpan: 10, MostPart: 0.9, LeastPart: 0.2, EvenPart: 0.5, KeeperHorizon: 5, KeeperPart: 0.5},
		RetryDelay: time.Nanosecond, Timeout: time.Second, Hosts: func() int { return fuzzHosts },
	}
	if m.confirmed != nil {
		opts.OnConfirmed = func(era int64) { m.confirmed[name] = era }
		opts.HostsConfirmed = m.othersConfirmed(i)
	}
	if m.keepers > 0 {
		opts.Keepers = func(string) (int, bool) { return m.keepers, i < m.keepers }
	}
	alloc := New(opts)
	alloc.Configure(m.version, []Budget{{"org", m.limit}}, true)
	m.hosts[i] = alloc
}

// round runs one round of a host's partition writer, bounded by limit.
func (m *model) round(i int, limit time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	m.hosts[i].SetLogEra(m.log.Host("").Era()) // as the host's replicas notice it
	_ = m.hosts[i].writers[0].round(ctx)
}

func (m *model) check(t *rapid.T) {
	total := m.spent + m.reserved + m.killed
	if total > m.highest {
		t.Fatalf("spent %d, reserved %d, reserved by killed hosts %d; the limit was never above %d", m.spent, m.reserved, m.killed, m.highest)
	}
	m.checkTotals(t)
}

// checkTotals checks that each host's totals balance exactly.
func (m *model) checkTotals(t *rapid.T) {
	for i, alloc := range m.hosts {
		if h, _ := alloc.Holding("org"); h.Totals.Balance() != h.Free+h.Reserved {
			t.Fatalf("host %d: totals %+v give %d, free %d, reserved %d", i, h.Totals, h.Totals.Balance(), h.Free, h.Reserved)
		}
	}
}

func TestNeverOverspent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t, nil)
		steps, host := m.steps()
		steps["kill"] = func(t *rapid.T) { m.kill(host.Draw(t, "host")) }
		steps["stopped"] = func(t *rapid.T) { m.stop(host.Draw(t, "host")) }
		t.Repeat(steps)
	})
}

// TestNeverOverspentByARestoredLog is TestNeverOverspent with a log that comes back from copies of itself, several times,
// while hosts are cut off or get no responses. Hosts that die are not in it: what only they knew of lost grants is unknown.
func TestNeverOverspentByARestoredLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(withoutDeadline{t}, func(t *rapid.T) {
			m := newModel(t, map[string]int64{})
			steps, _ := m.steps()
			steps["copy"] = func(*rapid.T) { m.copies = append(m.copies, m.log.Snapshot()) }
			steps["restore"] = func(t *rapid.T) { m.restore(t) }
			steps["wait"] = func(*rapid.T) { time.Sleep(minSettleTime) }
			t.Repeat(steps)
		})
	})
}

// withoutDeadline is a test whose deadline is not asked for, which a synctest bubble does not allow.
type withoutDeadline struct{ testing.TB }

// newModel starts hosts with a drawn limit. confirmed is nil if hosts don't confirm eras.
func newModel(t *rapid.T, confirmed map[string]int64) *model {
	m := &model{log: memlog.New(), hosts: make([]*Allocator, fuzzHosts), openReservations: map[*Allocator][]*Reservation{}, confirmed: confirmed}
	m.limit = rapid.Int64Range(10, 2000).Draw(t, "limit")
	m.highest, m.version = m.limit, 1
	m.keepers = rapid.IntRange(0, fuzzHosts-1).Draw(t, "keepers")
	for i := range m.hosts {
		m.start(i)
	}
	return m
}

// steps are the steps of all tests, and host draws a host.
func (m *model) steps() (steps map[string]func(*rapid.T), host *rapid.Generator[int]) {
	host = rapid.IntRange(0, fuzzHosts-1)
	return map[string]func(*rapid.T){
		"round":    func(t *rapid.T) { m.round(host.Draw(t, "host"), time.Second) },
		"cutShort": func(t *rapid.T) { m.cutShort(host.Draw(t, "host")) },
		"reserve": func(t *rapid.T) {
			m.reserve(host.Draw(t, "host"), rapid.Int64Range(1, 300).Draw(t, "tokens"))
		},
		"drain":   func(t *rapid.T) { m.drain(host.Draw(t, "host")) },
		"exhaust": func(*rapid.T) { m.exhaust() },
		"rounds": func(*rapid.T) {
			for i := range m.hosts {
				m.round(i, time.Second)
			}
		},
		"settle": func(t *rapid.T) { m.settle(t, host.Draw(t, "host")) },
		"lend":   func(t *rapid.T) { m.lend(t, host.Draw(t, "from"), host.Draw(t, "to")) },
		"recall": func(t *rapid.T) { m.recall(t) },
		"trim":   func(*rapid.T) { m.log.Trim(eventlog.Partition{Topic: "b"}) },
		"fault":  func(t *rapid.T) { m.fault(t, host.Draw(t, "host")) },
		"topUp":  func(t *rapid.T) { m.setLimit(m.limit + rapid.Int64Range(1, 500).Draw(t, "more")) },
		"lower":  func(t *rapid.T) { m.lower(t) },
		"":       m.check,
	}, host
}

// othersConfirmed implements Options.HostsConfirmed for a host.
func (m *model) othersConfirmed(i int) func(era int64) bool {
	return func(era int64) bool {
		for j, other := range m.hosts {
			if j != i && m.confirmed[other.opts.Host] < era {
				return false
			}
		}
		return true
	}
}

// restore restores the log from one of its copies. Those that were made later are none of it any more.
func (m *model) restore(t *rapid.T) {
	if len(m.copies) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.copies)-1).Draw(t, "copy")
	m.log.Restore(m.copies[i])
	m.copies = m.copies[:i+1]
}

// cutShort lets a host's append be done without a response, and ends the round before the host can
// find out.
func (m *model) cutShort(i int) {
	name := fmt.Sprintf("h%d", i)
	m.log.SetFault(name, memlog.Fault{Lose: true})
	ctx, cancel := context.WithCancel(context.Background())
	alloc := m.hosts[i]
	alloc.opts.OnCall = func(string) { cancel() }
	_ = alloc.writers[0].round(ctx)
	alloc.opts.OnCall = nil
	cancel()
	m.log.SetFault(name, memlog.Fault{})
}

func (m *model) reserve(i int, tokens int64) {
	alloc := m.hosts[i]
	r, err := alloc.tryReserve("org", tokens)
	if err == nil && r == nil {
		// Wait for one round.
		alloc.addWaiter("org", tokens)
		m.round(i, time.Second)
		alloc.removeWaiter("org", tokens)
		r, _ = alloc.tryReserve("org", tokens)
	}
	m.note(alloc, r)
}

// note counts a reservation unless it is nil.
func (m *model) note(alloc *Allocator, r *Reservation) {
	if r != nil {
		m.openReservations[alloc] = append(m.openReservations[alloc], r)
		m.reserved += r.Tokens()
	}
}

// exhaust reserves the rest of the budget, as far as hosts can obtain it.
func (m *model) exhaust() {
	for tokens := m.limit; tokens > 0; tokens /= 2 {
		for i := range m.hosts {
			m.reserve(i, tokens)
		}
	}
	for i := range m.hosts {
		m.drain(i)
	}
}

// drain reserves all that a host may spend without the log.
func (m *model) drain(i int) {
	alloc := m.hosts[i]
	held, _ := alloc.Holding("org")
	r, _ := alloc.tryReserve("org", max(held.Free, 1))
	m.note(alloc, r)
}

func (m *model) settle(t *rapid.T, i int) {
	alloc := m.hosts[i]
	list := m.openReservations[alloc]
	if len(list) == 0 {
		return
	}
	r := list[0]
	m.openReservations[alloc] = list[1:]
	used := rapid.Int64Range(0, r.Tokens()).Draw(t, "used")
	m.reserved -= r.Tokens()
	m.spent += used
	r.Settle(used)
}

func (m *model) kill(i int) {
	alloc := m.hosts[i]
	for _, r := range m.openReservations[alloc] {
		m.reserved -= r.Tokens()
		m.killed += r.Tokens()
	}
	delete(m.openReservations, alloc)
	m.start(i)
}

// stop is a planned stop: everything is settled and returned.
func (m *model) stop(i int) {
	alloc := m.hosts[i]
	for _, r := range m.openReservations[alloc] {
		m.reserved -= r.Tokens()
		m.spent += r.Tokens()
		r.Settle(r.Tokens())
	}
	delete(m.openReservations, alloc)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = alloc.Close(ctx)
	m.start(i)
}

func (m *model) lend(t *rapid.T, from, to int) {
	if from == to {
		return
	}
	requested := rapid.Int64Range(1, 200).Draw(t, "wanted")
	keeper := rapid.Bool().Draw(t, "keeper")
	m.loans++
	id := fmt.Sprint(m.loans)
	lender := m.hosts[from]
	partly := rapid.Bool().Draw(t, "partly")
	lent := lender.lendFree(LoanRequest{ID: id, Organisation: "org", Tokens: requested, AllowPartial: partly}, keeper)
	if r, _ := lender.tryReserve("org", requested); keeper && lent == 0 && r != nil {
		lent = lender.lendReserved(id, r) // as a keeper that waited does
	} else {
		m.note(lender, r)
	}
	if lent > 0 && rapid.Bool().Draw(t, "arrives") {
		m.hosts[to].acceptLoan("org", lent, Loan{Tokens: lent})
		return
	}
	m.lostLoans = append(m.lostLoans, lostLoan{lender: from, id: id})
}

// lostLoan is a loan whose borrower got no response.
type lostLoan struct {
	lender int // may have restarted since
	id     string
}

// recall recalls one of the lost loans; some are recalled more than once.
func (m *model) recall(t *rapid.T) {
	if len(m.lostLoans) == 0 {
		return
	}
	loan := rapid.SampledFrom(m.lostLoans).Draw(t, "loan")
	m.hosts[loan.lender].Recall(loan.id)
}

func (m *model) fault(t *rapid.T, i int) {
	f := rapid.SampledFrom([]memlog.Fault{{}, {Lose: true}, {Refuse: true}}).Draw(t, "fault")
	name := fmt.Sprintf("h%d", i)
	m.log.SetFault(name, f)
	if f.Refuse {
		m.round(i, time.Second)
		m.log.SetFault(name, memlog.Fault{})
	}
}

func (m *model) setLimit(limit int64) {
	m.version++
	m.limit = limit
	m.highest = max(m.highest, limit)
	for _, alloc := range m.hosts {
		alloc.Configure(m.version, []Budget{{"org", limit}}, false)
	}
}

// lower lowers the limit everywhere. From then on no host may reserve more than keeps the total
// within it.
func (m *model) lower(t *rapid.T) {
	total := m.spent + m.reserved + m.killed
	m.setLimit(rapid.Int64Range(0, m.limit).Draw(t, "lower"))
	m.highest = max(m.limit, total)
}
