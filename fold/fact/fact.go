// Package fact folds intents and bills out of the log. Each is kept for the
// last Horizon ids; a retry that comes later is taken for a new request.
package fact

import (
	"slices"
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

// Try gives the number of the try in a token, 0 if there is none.
func Try(token string) uint64 {
	_, text, _ := strings.Cut(token, "#")
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0
	}
	return n
}

// Fact is what the log says of a request id.
type Fact struct {
	// Claims are the tokens of incarnations that claimed it and did not release
	// it, in the order of the log. Only the first may run it on the strength of
	// the log, but any of them may have run it on that of a majority.
	Claims []string `json:",omitempty"`
	Billed bool     `json:",omitempty"`
	Tokens uint64   `json:",omitempty"` // billed
}

// First is the token of the first claim, empty if there is none.
func (f Fact) First() string {
	if len(f.Claims) == 0 {
		return ""
	}
	return f.Claims[0]
}

// By is the token of an incarnation's claim, empty if it has none.
func (f Fact) By(incarnation string) string {
	for _, t := range f.Claims {
		if Incarnation(t) == incarnation {
			return t
		}
	}
	return ""
}

// Other is the token of the first claim that is not of an incarnation.
func (f Fact) Other(incarnation string) string {
	for _, t := range f.Claims {
		if Incarnation(t) != incarnation {
			return t
		}
	}
	return ""
}

// Table is the fold.
type Table struct {
	Facts map[string]Fact
	Order []string // ids, oldest first
}

// New makes an empty table.
func New() Table { return Table{Facts: map[string]Fact{}} }

// Intent records a claim; it says whether it is the first one. A later try of an
// incarnation takes the place of its earlier one; an earlier try that comes late,
// from a host that held it, changes nothing.
func (t *Table) Intent(id, token string) bool {
	f, known := t.Facts[id]
	inc := Incarnation(token)
	claims := slices.Clone(f.Claims)
	before := f.By(inc)
	switch i := slices.Index(claims, before); {
	case before == "":
		claims = append(claims, token)
	case Try(token) > Try(before):
		claims[i] = token
	}
	f.Claims = claims
	t.put(id, f, known)
	return f.First() == token
}

// Release takes back a claim whose incarnation has not run the request and won't.
func (t *Table) Release(id, token string) bool {
	f := t.Facts[id]
	i := slices.Index(f.Claims, token)
	if i < 0 {
		return false
	}
	f.Claims = slices.Delete(slices.Clone(f.Claims), i, i+1)
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
