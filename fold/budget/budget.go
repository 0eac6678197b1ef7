// Package budget folds the prepaid budgets out of the log: what each is, which
// part of it was granted to whom, and what became of that. All counts are
// tokens. The invariant is granted = consumed + held + stranded, and granted
// never grows past the total.
package budget

// Account is one budget.
type Account struct {
	Organisation string
	Total        uint64
	Granted      uint64
	Consumed     uint64
	Billed       uint64
	Held         map[string]int64 // by live incarnation
	Stranded     map[string]int64 // by ended incarnation, counts as spent
}

// Table holds all accounts by name.
type Table map[string]*Account

// Declare sets the total of a budget and makes it if it is new.
func (t Table) Declare(name, organisation string, total uint64) {
	a := t[name]
	if a == nil {
		a = &Account{Held: map[string]int64{}, Stranded: map[string]int64{}}
		t[name] = a
	}
	a.Organisation = organisation
	a.Total = total
}

// Left is what can still be granted; below 0 once a budget was lowered.
func (a *Account) Left() int64 { return int64(a.Total) - int64(a.Granted) }

// HeldSum is what live incarnations hold.
func (a *Account) HeldSum() int64 { return sum(a.Held) }

// StrandedSum is what ended incarnations held.
func (a *Account) StrandedSum() int64 { return sum(a.Stranded) }

func sum(m map[string]int64) int64 {
	var n int64
	for _, x := range m {
		n += x
	}
	return n
}

// Take grants want tokens to inc, or what is left if that is at least least.
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

// Return gives back tokens that inc did not use. An ended incarnation that
// turns out to be alive may do so too.
func (t Table) Return(name, inc string, n uint64, ended bool) bool {
	a := t[name]
	if a == nil || n > a.Granted {
		return false
	}
	own := a.of(ended)
	if own[inc] < int64(n) {
		return false
	}
	take(own, inc, int64(n))
	a.Granted -= n
	return true
}

// Settle records tokens that inc has used up.
func (t Table) Settle(name, inc string, n uint64, ended bool) {
	a := t[name]
	if a == nil {
		return
	}
	take(a.of(ended), inc, int64(n))
	a.Consumed += n
}

// Move passes tokens from one incarnation to another. The mover has debited
// itself before; a balance may be below 0 until its Move is in the log.
func (t Table) Move(name, from, to string, n uint64, fromEnded, toEnded bool) {
	a := t[name]
	if a == nil {
		return
	}
	take(a.of(fromEnded), from, int64(n))
	take(a.of(toEnded), to, -int64(n))
}

// End turns all that inc holds into stranded tokens.
func (t Table) End(inc string) {
	for _, a := range t {
		if n := a.Held[inc]; n != 0 {
			delete(a.Held, inc)
			a.Stranded[inc] += n
		}
	}
}

// Bill adds to what was billed.
func (t Table) Bill(name string, n uint64) {
	if a := t[name]; a != nil {
		a.Billed += n
	}
}

func (a *Account) of(ended bool) map[string]int64 {
	if ended {
		return a.Stranded
	}
	return a.Held
}

func take(m map[string]int64, inc string, n int64) {
	m[inc] -= n
	if m[inc] == 0 {
		delete(m, inc)
	}
}
