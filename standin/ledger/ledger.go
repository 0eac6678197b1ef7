// Package ledger is a target's own record of what it ran: the oracle of the
// tests. It shares nothing with the fleet's accounting.
package ledger

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// Run is one order that a target carried out, or began to.
type Run struct {
	RequestID string
	Account   string
	Target    string
	From      uint32 // tokens that whoever asked had already
	Tokens    uint32 // used
	Start     time.Time
	End       time.Time // zero while it goes on
}

// Book collects runs.
type Book struct {
	target string

	mu   sync.Mutex
	runs []*Run
}

// New makes the book of a target.
func New(target string) *Book { return &Book{target: target} }

// Begin notes the start of a run behind the token from, and what it used at once.
func (b *Book) Begin(id, account string, from, tokens uint32) *Run {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := &Run{RequestID: id, Account: account, Target: b.target, From: from, Tokens: tokens, Start: time.Now()}
	b.runs = append(b.runs, r)
	return r
}

// Use adds tokens to a run.
func (b *Book) Use(r *Run, tokens uint32) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r.Tokens += tokens
}

// Done notes the end of a run.
func (b *Book) Done(r *Run) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r.End = time.Now()
}

// Used is what all runs of a request used here.
func (b *Book) Used(id string) (tokens uint32, known bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, r := range b.runs {
		if r.RequestID == id {
			tokens += r.Tokens
			known = true
		}
	}
	return tokens, known
}

// ServeHTTP gives all runs as a JSON list.
func (b *Book) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(b.runs)
}
