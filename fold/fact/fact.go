// Package fact folds intents and bills out of the log. Each is kept for the
// last Horizon ids; a retry that comes later is taken for a new request.
package fact

import (
	"strconv"
	"strings"
)

// Horizon is how many ids are remembered.
const Horizon = 200_000

// Token names one try of an incarnation to run a request. A later try of the
// same incarnation takes the place of an earlier one.
func Token(incarnation string, try uint64) string {
	return incarnation + "#" + strconv.FormatUint(try, 10)
}

// Incarnation gives the incarnation of a token.
func Incarnation(token string) string {
	inc, _, _ := strings.Cut(token, "#")
	return inc
}

// Fact is what the log says of a request id.
type Fact struct {
	Claimant string `json:",omitempty"` // token of the only one that may run it
	Billed   bool   `json:",omitempty"`
	Tokens   uint64 `json:",omitempty"` // billed
}

// Table is the fold.
type Table struct {
	Facts map[string]Fact
	Order []string // ids, oldest first
}

// New makes an empty table.
func New() Table { return Table{Facts: map[string]Fact{}} }

// Intent fixes the claimant of an id if it has none; it says whether claimant
// is the one.
func (t *Table) Intent(id, claimant string) bool {
	f, known := t.Facts[id]
	if f.Claimant != "" && Incarnation(f.Claimant) != Incarnation(claimant) {
		return false
	}
	f.Claimant = claimant
	t.put(id, f, known)
	return true
}

// Release undoes an intent whose claimant has not run the request and won't.
func (t *Table) Release(id, claimant string) bool {
	f := t.Facts[id]
	if f.Claimant != claimant || f.Billed {
		return false
	}
	f.Claimant = ""
	t.Facts[id] = f
	return true
}

// Bill records the bill of an id; only the first counts.
func (t *Table) Bill(id string, tokens uint64) bool {
	f, known := t.Facts[id]
	if f.Billed {
		return false
	}
	f.Billed = true
	f.Tokens = tokens
	t.put(id, f, known)
	return true
}

// Get gives what is known of an id.
func (t *Table) Get(id string) (Fact, bool) {
	f, ok := t.Facts[id]
	return f, ok
}

func (t *Table) put(id string, f Fact, known bool) {
	t.Facts[id] = f
	if known {
		return
	}
	t.Order = append(t.Order, id)
	if len(t.Order) > Horizon {
		delete(t.Facts, t.Order[0])
		t.Order = t.Order[1:]
	}
}
