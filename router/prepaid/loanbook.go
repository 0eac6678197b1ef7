package prepaid

// maxLoans bounds the loans that are remembered. Recalling an older one does
// nothing: its tokens count as spent.
const maxLoans = 4096

// loanBook remembers the loans of this host, so that one whose answer was lost on
// its way can be recalled. It is guarded by its treasury's lock.
type loanBook struct {
	loans map[string]lentLoan
	order []string // ids, the oldest first
}

// lentLoan is a loan of this host.
type lentLoan struct {
	organisation string
	tokens       int64
	recalled     bool // the borrower never uses it
}

func newLoanBook() *loanBook { return &loanBook{loans: map[string]lentLoan{}} }

// recalled says whether a loan was recalled before it was made.
func (b *loanBook) recalled(id string) bool { return b.loans[id].recalled }

// lent notes a loan; one without an id can't be recalled.
func (b *loanBook) lent(id, organisation string, tokens int64) {
	if id == "" || tokens <= 0 {
		return
	}
	b.put(id, lentLoan{organisation: organisation, tokens: tokens})
}

// recall ends a loan and gives what is to be credited again: nothing if the loan is
// not known or was recalled before.
func (b *loanBook) recall(id string) lentLoan {
	loan := b.loans[id]
	b.put(id, lentLoan{recalled: true})
	if loan.recalled {
		return lentLoan{}
	}
	return loan
}

func (b *loanBook) put(id string, loan lentLoan) {
	if _, known := b.loans[id]; !known {
		b.order = append(b.order, id)
	}
	b.loans[id] = loan
	if len(b.order) > maxLoans {
		delete(b.loans, b.order[0])
		b.order = b.order[1:]
	}
}
