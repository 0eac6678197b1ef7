// Package prepaid keeps the prepaid token budgets of organisations within their limits.
//
// The log holds one account for each budget, in a keyed partition; the newest record of the key
// says how many tokens hosts have been granted. A host obtains an allocation by a conditional
// append, so no two hosts are granted the same tokens. It spends the allocation without any remote
// call and returns what it does not need. Whatever a host held when it died counts as spent, so
// correctness does not depend on clocks.
//
// On large fleets only a few hosts, the keepers of a budget, obtain allocations from the log; the
// other hosts borrow tokens from them for each request. Package keeper chooses them.
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
	// Granted is the sum that hosts have taken and not returned.
	Granted int64 `json:"granted"`
	// Limit is the prepaid amount according to configuration Version.
	Limit   int64 `json:"limit"`
	Version int64 `json:"version"`
	// Writer and Op identify the append that wrote the record.
	Writer string `json:"writer"`
	Op     int64  `json:"op"`
	// Era is that of the log on which the writer based the record, or unknownEra.
	Era int64 `json:"era"`
	// Bases are the newest records of earlier eras that the account accounts for, in order of their eras.
	Bases []Base `json:"bases,omitempty"`
	// Settled is the newest era in which all that the log had lost of the account is accounted for.
	Settled int64 `json:"settled,omitempty"`
	// Confirmed are the hosts that have written what they know in an era in which the account is not settled, where
	// hosts have no other way to confirm an era.
	Confirmed []string `json:"confirmed,omitempty"`
	// Withheld is how many tokens nobody takes on top of this record. Earlier builds withhold none.
	Withheld int64 `json:"withheld,omitempty"`
	// HostWithheld is the same for any host but Writer as long as no other host writes, and OwnWithheld for Writer.
	HostWithheld int64 `json:"host_withheld,omitempty"`
	OwnWithheld  int64 `json:"own_withheld,omitempty"`
	// RecentWithheld is the most that earlier records withhold with which a copy of the log may end, if that is more, and
	// RecentMs for how many more milliseconds one may.
	RecentWithheld int64 `json:"recent_withheld,omitempty"`
	RecentMs       int64 `json:"recent_ms,omitempty"`
	// WrittenOff is the part of Granted that no host is known to have taken: a restored log may have lost grants of
	// which only dead hosts knew.
	WrittenOff int64 `json:"written_off,omitempty"`
}

// unknownEra is the era of accounts that earlier builds write, which don't know of eras.
const unknownEra = -1

// Remaining is what hosts can still take; it is negative if the limit was lowered below Granted.
func (a Account) Remaining() int64 { return a.Limit - a.Granted }

// Encode returns the record's value.
func (a Account) Encode() []byte {
	data, err := json.Marshal(a)
	if err != nil {
		panic("prepaid: encoding an account: " + err.Error())
	}
	return data
}

// ErrNoAccount means that a document is not an account. Without writer and version it could be any
// document, and an empty one would say that the whole budget is available.
var ErrNoAccount = errors.New("account: writer and version are missing, or the granted amount is negative")

// DecodeAccount parses the output of Encode.
func DecodeAccount(data []byte) (Account, error) {
	a := Account{Era: unknownEra}
	if err := json.Unmarshal(data, &a); err != nil {
		return a, fmt.Errorf("account: %w", err)
	}
	if a.Writer == "" && a.Version <= 0 || a.Granted < 0 {
		return Account{}, ErrNoAccount
	}
	return a, nil
}

// WithLimit returns the account with the limit of a configuration if that is newer than the one the
// account was written under.
func (a Account) WithLimit(limit, version int64) Account {
	if version > a.Version {
		a.Limit, a.Version = limit, version
	}
	return a
}

// Change is a host's request to change an account.
type Change struct {
	Take    int64 // at most
	MinTake int64 // a smaller grant is refused; at least 1 token is taken
	Return  int64
}

// Apply returns the account after a change and the number of tokens taken. ok is false if the
// change has no effect.
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
