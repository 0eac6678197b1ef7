// Package budget derives the prepaid budgets from the log: their totals, and the
// tokens granted to, held by and consumed by each incarnation. All counts are
// tokens. The invariants are granted = consumed + held + stranded, and that a
// grant never raises granted above the total.
package budget

// Account is one budget.
type Account struct {
	Organisation string
	Total        uint64
	Granted      uint64
	Consumed     uint64
	Billed       uint64
	Held         map[string]int64 // by live incarnation
	Stranded     map[string]int64 // by ended incarnation; counts as spent
}

// Table holds all accounts by name.
type Table map[string]*Account

// Declare sets the total of a budget, creating its account if it is new.
func (t Table) Declare(name, organisation string, total uint64) {
	a := t[name]
	if a == nil {
		a = &Account{Held: map[string]int64{}, Stranded: map[string]int64{}}
		t[name] = a
	}
	a.Organisation = organisation
	a.Total = total
}

// Left is the number of tokens that can still be granted. It may be negative after the total was lowered.
func (a *Account) Left() int64 { return int64(a.Total) - int64(a.Granted) }

// HeldSum is the number of tokens that live incarnations hold.
func (a *Account) HeldSum() int64 { return sum(a.Held) }

// StrandedSum is the number of tokens that incarnations held when they ended.
func (a *Account) StrandedSum() int64 { return sum(a.Stranded) }

func sum(m map[string]int64) int64 {
	var n int64
	for _, x := range m {
		n += x
	}
	return n
}

// Take grants want tokens to inc, or all that is left if less. It grants nothing if that is below least.
func (t Table) Take(name, inc string, want, least uint64) uint64 {
	a := t[name]
	if a == nil || a.Left() <= 0 {
		return 0
	}
	got := min(want, uint64(a.Left()))
	if got < least || got == 0 {
		return 0
	}
	a.Granted += got
	a.Held[inc] += int64(got)
	return got
}

// Return gives back tokens that inc did not use. An ended incarnation may do so too,
// since it may still be running. It reports whether inc had that many.
func (t Table) Return(name, inc string, n uint64, ended bool) bool {
	a := t[name]
	if a == nil || n > a.Granted {
		return false
	}
	own := a.balances(ended)
	if own[inc] < int64(n) {
		return false
	}
	debit(own, inc, int64(n))
	a.Granted -= n
	return true
}

// Settle records tokens that inc has used up.
func (t Table) Settle(name, inc string, n uint64, ended bool) {
	a := t[name]
	if a == nil {
		return
	}
	debit(a.balances(ended), inc, int64(n))
	a.Consumed += n
}

// Move transfers tokens from one incarnation to another. The sender has debited
// itself before; the receiver's balance here may be negative until the Move is in the log.
func (t Table) Move(name, from, to string, n uint64, fromEnded, toEnded bool) {
	a := t[name]
	if a == nil {
		return
	}
	debit(a.balances(fromEnded), from, int64(n))
	debit(a.balances(toEnded), to, -int64(n))
}

// End turns the tokens that inc holds into stranded ones.
func (t Table) End(inc string) {
	for _, a := range t {
		if n := a.Held[inc]; n != 0 {
			delete(a.Held, inc)
			a.Stranded[inc] += n
		}
	}
}

// Bill adds n to the tokens billed to a budget.
func (t Table) Bill(name string, n uint64) {
	if a := t[name]; a != nil {
		a.Billed += n
	}
}

func (a *Account) balances(ended bool) map[string]int64 {
	if ended {
		return a.Stranded
	}
	return a.Held
}

func debit(m map[string]int64, inc string, n int64) {
	m[inc] -= n
	if m[inc] == 0 {
		delete(m, inc)
	}
}
