// Package ledger is a simulated target's own record of the requests that it ran, which
// tests use as their oracle. It shares no code with the fleet's accounting.
package ledger

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// Run is one request that a target ran or began to run. It is sent as JSON under the names of its fields.
type Run struct {
	RequestID string
	Account   string
	Target    string
	From      uint32 // tokens that the caller had already
	Tokens    uint32 // used
	Start     time.Time
	End       time.Time // zero while it is running
}

// Book records the runs of one target.
type Book struct {
	target string

	mu   sync.Mutex
	runs []*Run
}

// New returns an empty book of a target.
func New(target string) *Book { return &Book{target: target} }

// Begin records the start of a run that resumes after the first from tokens, and the tokens that it used at once.
func (b *Book) Begin(id, account string, from, tokens uint32) *Run {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := &Run{RequestID: id, Account: account, Target: b.target, From: from, Tokens: tokens, Start: time.Now()}
	b.runs = append(b.runs, r)
	return r
}

// Use adds tokens to those that a run used.
func (b *Book) Use(r *Run, tokens uint32) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r.Tokens += tokens
}

// Done records the end of a run.
func (b *Book) Done(r *Run) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r.End = time.Now()
}

// Used is the number of tokens that all runs of a request used on this target.
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

// ServeHTTP sends all runs as a JSON list.
func (b *Book) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(b.runs)
}
