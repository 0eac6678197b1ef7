package prepaid

import (
	"cmp"
	"math"
	"slices"
	"time"

	log "github.com/sirupsen/logrus"

	"maststage.dev/router/eventlog"
)

// When the log is restored from a copy, the newest records of accounts are lost, and with them grants whose tokens hosts
// hold or have spent. Taken from the account that the log has then, the same tokens would be granted twice.
//
// So each host writes again what it knows of an account beyond the log's record, and nothing is taken from an account
// until hosts have had time for that. An account says up to which record of each earlier era it accounts for, so that
// the knowledge of several hosts adds up and none counts twice. What only hosts knew that died before they could write
// it again is written off, up to what is withheld: see settle.go and withheld.go.

// Base is the newest record of an earlier era that an account accounts for.
type Base struct {
	Era     int64 `json:"era"`
	Offset  int64 `json:"offset"`
	Granted int64 `json:"granted"` // in that era, less what was returned in it
	// The others are as in the record. What is withheld is the least that is known of records of the era.
	Writer       string `json:"writer,omitempty"`
	Withheld     int64  `json:"withheld,omitempty"`
	HostWithheld int64  `json:"host_withheld,omitempty"`
	OwnWithheld  int64  `json:"own_withheld,omitempty"`
}

// finalOffset is the offset of a base that accounts for all grants of its era.
const finalOffset = math.MaxInt64

// final reports whether the base accounts for all grants of its era, whatever becomes known of them.
func (b Base) final() bool { return b.Offset == finalOffset }

// accountsFor reports whether the grants of another base of the same era are among those of b. An append that was based
// on that era and took effect in a later one has the offset of a lost record, but not its grants.
func (b Base) accountsFor(other Base) bool {
	return b.Offset > other.Offset || b.Offset == other.Offset && b.Granted >= other.Granted
}

// grantedBefore is what was granted in the eras of the bases.
func grantedBefore(bases []Base) (sum int64) {
	for _, b := range bases {
		sum += b.Granted
	}
	return sum
}

// maxBases bounds the eras that an account tells apart. Those before count as one.
const maxBases = 8

// addBase adds a base to those of other eras, or replaces the one of its era, and sorts them by era.
func addBase(bases []Base, b Base) []Base {
	bases = slices.DeleteFunc(slices.Clone(bases), func(o Base) bool { return o.Era == b.Era })
	bases = append(bases, b)
	slices.SortFunc(bases, func(x, y Base) int { return cmp.Compare(x.Era, y.Era) })
	for len(bases) > maxBases {
		bases[1].Granted += bases[0].Granted
		bases = bases[1:]
	}
	return bases
}

// base returns the base of an era, the zero Base with an offset before all others if there is none.
func (a Account) base(era int64) Base {
	for _, b := range a.Bases {
		if b.Era == era {
			return b
		}
	}
	return Base{Era: era, Offset: -1}
}

// covering returns the account with the grants of known bases that it does not account for.
func (a Account) covering(known []Base) Account {
	for _, b := range known {
		own := a.base(b.Era)
		if own.accountsFor(b) {
			continue
		}
		if own.Offset >= 0 && !b.final() {
			b.Withheld = min(b.Withheld, own.Withheld)
			b.HostWithheld, b.OwnWithheld = min(b.HostWithheld, own.HostWithheld), min(b.OwnWithheld, own.OwnWithheld)
		}
		a.Granted += b.Granted - own.Granted
		a.Bases = addBase(a.Bases, b)
	}
	return a
}

// inEra returns the account of a record at a position of the log as an account of that position's era: one that was
// written in an earlier era is a base of it.
func (a Account) inEra(at eventlog.Position) Account {
	if a.Era != at.Era {
		a.Bases = addBase(a.Bases, a.asBase(at.Offset))
		a.Era, a.Confirmed = at.Era, nil
	}
	return a
}

// asBase returns the base for the record of the account at an offset of its era.
func (a Account) asBase(offset int64) Base {
	return Base{
		Era: a.Era, Offset: offset, Granted: a.Granted - grantedBefore(a.Bases),
		Writer: a.Writer, Withheld: a.Withheld, HostWithheld: a.HostWithheld, OwnWithheld: a.OwnWithheld,
	}
}

// recorded is the newest record of an account that a host has seen.
type recorded struct {
	account  Account // as an account of the era of its position
	position eventlog.Position
	inEra    bool // it was written in that era
}

// knownBases returns the bases for all that this host knows of the account, for an account of a later era.
func (al *allocation) knownBases() []Base {
	if !al.recorded.inEra {
		return al.account.Bases
	}
	return addBase(al.account.Bases, al.recorded.account.asBase(al.recorded.position.Offset))
}

// withKnownEra returns the account of a record at a position of the log with its era, if an earlier build wrote it and
// dropped what it does not know.
func (al *allocation) withKnownEra(record Account, at eventlog.Position) Account {
	switch {
	case record.Era != unknownEra:
	case !al.known:
		record.Era = at.Era
	case at.Era == al.recorded.position.Era:
		record.Era, record.Bases, record.Settled = at.Era, al.recorded.account.Bases, al.recorded.account.Settled
	default:
		record.Era = al.recorded.position.Era
	}
	return record
}

// applyRecord applies the account's record at a position of the log.
func (al *allocation) applyRecord(record Account, at eventlog.Position) {
	record = al.withKnownEra(record, at)
	sameEra := al.known && at.Era == al.recorded.position.Era
	if sameEra && record.Era != at.Era {
		// An append that was based on an earlier era took effect late. Its account lacks what this era added, but may
		// have more of that era.
		al.account = al.account.covering(record.inEra(at).Bases)
		al.recorded.position, al.rewrite = at, true
		return
	}
	var known []Base
	switch {
	case sameEra:
		known = al.account.Bases
	case al.known:
		known = al.knownBases()
	}
	al.recorded = recorded{account: record.inEra(at), position: at, inEra: record.Era == at.Era}
	account := al.recorded.account.covering(known).WithLimit(al.account.Limit, al.account.Version)
	al.rewrite = account.Version != al.recorded.account.Version || !slices.Equal(account.Bases, al.recorded.account.Bases)
	if al.rewrite && !sameEra {
		log.WithFields(log.Fields{
			"position": at, "granted": al.recorded.account.Granted, "known_granted": account.Granted,
			"version": al.recorded.account.Version, "known_version": account.Version,
		}).Warn("account in the restored log lacks grants; writing it again")
	}
	al.account, al.known = account, true
	al.settledEra = max(al.settledEra, record.Settled)
	al.highestLimit = max(al.highestLimit, record.Limit)
}

// SetLogEra tells the era of the log. In a new one all accounts are read, and written again where this host knows more
// than the log. It does not block.
func (a *Allocator) SetLogEra(era int64) {
	for seen := a.logEra.Load(); era > seen; seen = a.logEra.Load() {
		if a.logEra.CompareAndSwap(seen, era) {
			a.eraBegan.Store(time.Now().UnixNano())
			for _, pw := range a.writers {
				pw.requestRound()
			}
		}
	}
}

// eraSince is since when this host has known the present era.
func (a *Allocator) eraSince() time.Time {
	if began := a.eraBegan.Load(); began > 0 {
		return time.Unix(0, began)
	}
	return a.started
}

// noteEra notes the era of the log as a load begins.
func (pw *partitionWriter) noteEra(era int64) {
	if pw.eraSeenAt.IsZero() {
		pw.firstEra = era
	}
	if pw.eraSeenAt.IsZero() || era != pw.era {
		pw.era, pw.eraSeenAt = era, time.Now()
	}
	pw.allocator.SetLogEra(era)
}

// noteVersion notes under which version an account was seen, once it has all grants. The Allocator's lock is held.
func (pw *partitionWriter) noteVersion(al *allocation) {
	if pw.settled(al.account) {
		al.seenVersion = max(al.seenVersion, al.account.Version)
	}
}

// addLostAccounts keeps the accounts that a restored log lacks.
func (pw *partitionWriter) addLostAccounts(end eventlog.Position) {
	a := pw.allocator
	a.mu.Lock()
	defer a.mu.Unlock()
	for organisation, al := range a.allocations {
		if a.writerOf(organisation) == pw && al.known && al.recorded.position.Era < end.Era {
			al.applyRecord(Account{Era: end.Era}, eventlog.Position{Era: end.Era, Offset: -1})
		}
	}
}

// confirm notes that the log, in an era, has all that this host knows of the partition's accounts, and reports it once
// that holds for all partitions. A host that can't vouch for an account does not confirm: if it replaces one that died,
// others would take it for that one.
func (pw *partitionWriter) confirm(era int64) {
	if !pw.vouchesForAll() {
		return
	}
	pw.confirmedEra.Store(era)
	a := pw.allocator
	if newest := a.logEra.Load(); era != newest || newest == 0 || a.opts.OnConfirmed == nil {
		return
	}
	for _, other := range a.writers {
		if other.confirmedEra.Load() < era {
			return
		}
	}
	a.opts.OnConfirmed(era)
}

// rewritesDue reports whether accounts of the partition have to be written again.
func (pw *partitionWriter) rewritesDue() bool {
	a := pw.allocator
	a.mu.Lock()
	defer a.mu.Unlock()
	for organisation, al := range a.allocations {
		if al.rewrite && !al.unreadable && a.writerOf(organisation) == pw {
			return true
		}
	}
	return false
}
