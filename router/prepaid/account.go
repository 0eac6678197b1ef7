// Package prepaid keeps the prepaid budgets of organisations. A budget is an
// account in a keyed partition of the shared log; its newest record says how many
// tokens hosts have taken. A host takes a slice by a conditional append, so that
// no two hosts take the same tokens, spends it without asking anybody, and gives
// back what it does not need. Whatever a host held when it died counts as spent:
// no clock decides anything.
//
// All amounts are tokens.
package prepaid

import (
	"encoding/json"
	"errors"
	"fmt"
)

// Account is the newest record of a budget.
type Account struct {
	// Granted is what hosts have taken and not given back.
	Granted int64 `json:"granted"`
	// Limit is the prepaid amount by configuration Version.
	Limit   int64 `json:"limit"`
	Version int64 `json:"version"`
	// Writer and Op name the append that wrote the record.
	Writer string `json:"writer"`
	Op     int64  `json:"op"`
}

// Remaining is what can still be taken; negative once a limit was lowered.
func (a Account) Remaining() int64 { return a.Limit - a.Granted }

// Encode gives the record's value.
func (a Account) Encode() []byte {
	data, err := json.Marshal(a)
	if err != nil {
		panic("prepaid: an account can't be encoded: " + err.Error())
	}
	return data
}

// ErrNoAccount means that a document is no account: without writer and version it may be anything,
// and an empty one would say that all tokens are there to be taken.
var ErrNoAccount = errors.New("account: writer and version are missing, or what was granted is negative")

// DecodeAccount reads what Encode wrote.
func DecodeAccount(data []byte) (Account, error) {
	var a Account
	if err := json.Unmarshal(data, &a); err != nil {
		return a, fmt.Errorf("account: %w", err)
	}
	if a.Writer == "" && a.Version <= 0 || a.Granted < 0 {
		return Account{}, ErrNoAccount
	}
	return a, nil
}

// WithLimit gives the account under the limit of a configuration, if that is newer
// than the one it was written under.
func (a Account) WithLimit(limit, version int64) Account {
	if version > a.Version {
		a.Limit, a.Version = limit, version
	}
	return a
}

// Change is what a host wants to do with an account.
type Change struct {
	Take    int64 // wanted
	MinTake int64 // below this, taking is of no use; at least 1 token is taken
	Return  int64
}

// Apply works out the account after a change and what was taken. ok is false if
// nothing comes of it.
func (a Account) Apply(c Change) (next Account, taken int64, ok bool) {
	next = a
	if c.Return > 0 {
		next.Granted -= min(c.Return, a.Granted)
		return next, 0, true
	}
	taken = min(c.Take, a.Remaining())
	if taken <= 0 || taken < c.MinTake {
		return a, 0, false
	}
	next.Granted += taken
	return next, taken, true
}
