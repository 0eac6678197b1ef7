package prepaid

// maxLoans bounds the remembered loans. Recalling a forgotten loan has no effect: its tokens count
// as spent.
const maxLoans = 4096

// loanTable remembers the loans this host made, so that a borrower can recall one whose response
// was lost. It is guarded by the Allocator's lock.
type loanTable struct {
	loans map[string]lentLoan
	order []string // ids, oldest first
}

// lentLoan is a loan made by this host.
type lentLoan struct {
	organisation string
	tokens       int64
	recalled     bool // the borrower does not use it
}

func newLoanTable() *loanTable { return &loanTable{loans: map[string]lentLoan{}} }

// recalled reports whether the loan was recalled, possibly before it was made.
func (b *loanTable) recalled(id string) bool { return b.loans[id].recalled }

// add records a loan; one without an id cannot be recalled.
func (b *loanTable) add(id, organisation string, tokens int64) {
	if id == "" || tokens <= 0 {
		return
	}
	b.put(id, lentLoan{organisation: organisation, tokens: tokens})
}

// recall marks a loan as recalled and returns what to credit: nothing if the loan is not known or
// was recalled before.
func (b *loanTable) recall(id string) lentLoan {
	loan := b.loans[id]
	b.put(id, lentLoan{recalled: true})
	if loan.recalled {
		return lentLoan{}
	}
	return loan
}

func (b *loanTable) put(id string, loan lentLoan) {
	if _, known := b.loans[id]; !known {
		b.order = append(b.order, id)
	}
	b.loans[id] = loan
	if len(b.order) > maxLoans {
		delete(b.loans, b.order[0])
		b.order = b.order[1:]
	}
}
