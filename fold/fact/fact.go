// Package fact derives from the log the intents and bills of the last Horizon
// request ids. A retry that comes later is treated as a new request.
package fact

import (
	"slices"
	"strconv"
	"strings"
)

// Horizon is the number of ids that are remembered.
const Horizon = 200_000

// Token identifies one attempt of an incarnation to run a request. A later attempt of
// the same incarnation replaces an earlier one.
func Token(incarnation string, attempt uint64) string {
	return incarnation + "#" + strconv.FormatUint(attempt, 10)
}

// Incarnation returns the incarnation of a token.
func Incarnation(token string) string {
	inc, _, _ := strings.Cut(token, "#")
	return inc
}

// Attempt returns the number of the attempt in a token, 0 if there is none.
func Attempt(token string) uint64 {
	_, text, _ := strings.Cut(token, "#")
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0
	}
	return n
}

// Fact is what the log holds about a request id.
type Fact struct {
	// Claims are the tokens of the claims on the id that were not released, in the
	// order of the log. By the log only the first claimant may run the request,
	// but any of them may have run it with the consent of a majority of replicas.
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

// Other is the token of the first claim of any other incarnation, empty if there is none.
func (f Fact) Other(incarnation string) string {
	for _, t := range f.Claims {
		if Incarnation(t) != incarnation {
			return t
		}
	}
	return ""
}

// Table holds the facts by id.
type Table struct {
	Facts map[string]Fact
	Order []string // ids, oldest first
}

// New returns an empty table.
func New() Table { return Table{Facts: map[string]Fact{}} }

// Intent records a claim and reports whether it is the first one. A later attempt of an
// incarnation replaces its earlier one; an earlier attempt that arrives late, from a
// host that held it, is ignored.
func (t *Table) Intent(id, token string) bool {
	f, known := t.Facts[id]
	inc := Incarnation(token)
	claims := slices.Clone(f.Claims)
	before := f.By(inc)
	switch i := slices.Index(claims, before); {
	case before == "":
		claims = append(claims, token)
	case Attempt(token) > Attempt(before):
		claims[i] = token
	}
	f.Claims = claims
	t.put(id, f, known)
	return f.First() == token
}

// Release withdraws a claim whose incarnation has not run the request and won't.
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

// Bill records the bill of an id and reports whether it is the first one; only that counts.
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

// Get returns the fact of an id and whether there is one.
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
