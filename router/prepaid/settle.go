package prepaid

import (
	"slices"
	"time"

	log "github.com/sirupsen/logrus"
)

// After the log was restored nothing is taken from an account until it is settled, by the first record that says so:
//
//   - All hosts that may have taken tokens in the earlier eras live, and each has written what it knows: nothing is
//     missing.
//   - Otherwise all that may be missing is written off, that is, counted as granted. What a record withheld is certainly
//     not missing: see withheld.go.

// Times after the log was restored.
const (
	// minSettleTime is the least time before an account is settled, even if all hosts have confirmed: they may have
	// read the list of hosts at different times.
	minSettleTime = 500 * time.Millisecond
	// defaultSettleTime is how long hosts are waited for that confirm in the account.
	defaultSettleTime = 2 * time.Second
	// maxSettleTime is how long hosts are waited for that have not confirmed: they may be cut off, or dead.
	maxSettleTime = 10 * time.Second
	// writerSettleTime is how much longer a host waits if one other is missing: the host that wrote the newest known
	// record may know by its own life that less is missing.
	writerSettleTime = time.Second
)

// settled reports whether tokens may be taken from an account as far as lost grants are concerned.
func (pw *partitionWriter) settled(account Account) bool { return account.Settled == pw.era }

// settle returns the account as one from which tokens may be taken in this era; ok is false if that is too early. The
// Allocator's lock is held.
func (pw *partitionWriter) settle(al *allocation, account Account) (settled Account, ok bool) {
	if pw.neverUsed(al) {
		return account.settledIn(pw.era), true
	}
	elapsed := time.Since(pw.eraSeenAt)
	if elapsed < minSettleTime {
		return account, false
	}
	missing, ok := pw.missingHosts(al, account, elapsed)
	switch {
	case !ok:
		return account, false
	case missing == 1 && elapsed < pw.settleTime()+writerSettleTime && !pw.livesIn(account)(account.lastWriter()):
		return account, false
	case missing == 1:
		account = account.writeOff(al.mayBeMissing(account, pw.era, pw.livesIn(account)), pw.era)
	case missing > 1:
		account = account.writeOff(al.mayBeMissing(account, pw.era, nil), pw.era)
	}
	return account.settledIn(pw.era), true
}

// settledIn returns the account as settled in an era: its bases account for all grants of earlier ones.
func (a Account) settledIn(era int64) Account {
	a.Bases = slices.Clone(a.Bases)
	for i := range a.Bases {
		a.Bases[i].Offset = finalOffset
	}
	a.Settled, a.Confirmed = era, nil
	return a
}

// writeOff counts tokens as granted in the newest era before one.
func (a Account) writeOff(tokens, era int64) Account {
	if tokens <= 0 {
		return a
	}
	base := Base{Era: era - 1}
	if n := len(a.Bases); n > 0 {
		base = a.Bases[n-1]
	}
	base.Granted += tokens
	a.Bases = addBase(a.Bases, base)
	a.Granted += tokens
	a.WrittenOff += tokens
	return a
}

// mayBeMissing returns how many tokens of an account the lost records of earlier eras may have granted beyond what is known
// of these eras: tokens that hosts have returned since are not among them. lives reports whether a host lives, if only one
// does not; nil: more don't.
func (al *allocation) mayBeMissing(account Account, era int64, lives func(host string) bool) int64 {
	return max(al.highestLimit, account.Limit) - al.certainlyLeft(account, era-1, lives) - grantedBefore(account.Bases)
}

// certainlyLeft returns how many tokens the records up to an era have not granted, though some of them were lost.
func (al *allocation) certainlyLeft(account Account, era int64, lives func(host string) bool) int64 {
	if !al.known && lives == nil {
		return withheldAfter(withheldAtFirst(al.limit), era)
	}
	left, found := int64(0), false
	for _, b := range account.Bases {
		if b.final() {
			continue
		}
		tokens := b.HostWithheld
		switch {
		case lives == nil:
			tokens = withheldAfter(b.Withheld, era-b.Era)
		case !lives(b.Writer):
			tokens = min(tokens, b.OwnWithheld)
		}
		if !found || tokens < left {
			left, found = tokens, true
		}
	}
	return left
}

// livesIn returns whether a host certainly lives, as far as an account that is not settled tells.
func (pw *partitionWriter) livesIn(account Account) func(host string) bool {
	return func(host string) bool {
		return host == pw.allocator.opts.Host || slices.Contains(account.Confirmed, host)
	}
}

// lastWriter is the host that wrote the newest known record of an earlier era.
func (a Account) lastWriter() string {
	if n := len(a.Bases); n > 0 {
		return a.Bases[n-1].Writer
	}
	return ""
}

// neverUsed reports whether an account without a record has none since nobody has taken tokens yet, and not since a
// restored log lacks it.
func (pw *partitionWriter) neverUsed(al *allocation) bool {
	a := pw.allocator
	if al.known {
		return false
	}
	if a.opts.LogIsNew != nil && a.opts.LogIsNew() {
		return true
	}
	if al.configuredAt.Sub(a.eraSince()) > maxSettleTime {
		return true // configured after the accounts of the earlier era were settled
	}
	for organisation, other := range a.allocations {
		if other.known && other.account.Settled == pw.era && a.writerOf(organisation) == pw {
			return true // hosts have settled all accounts
		}
	}
	return false
}

// missingHosts returns how many hosts may have taken tokens in earlier eras of which the account has no record; ok is
// false if that is not known yet.
func (pw *partitionWriter) missingHosts(al *allocation, account Account, elapsed time.Duration) (missing int, ok bool) {
	opts := pw.allocator.opts
	vouches := pw.vouches(al)
	switch {
	case opts.HostsConfirmed == nil:
		missing = max(opts.Hosts()-len(account.Confirmed), 0)
		return missing, missing == 0 || elapsed >= pw.settleTime()
	case vouches && opts.HostsConfirmed(pw.era):
		return 0, true
	case elapsed < pw.settleTime():
		return 0, false
	case opts.Unconfirmed == nil:
		return max(opts.Hosts(), 2), true
	}
	missing = opts.Unconfirmed(pw.era)
	if !vouches {
		missing++ // the host that this one replaces
	}
	return missing, true
}

// settleTime is how long hosts are waited for that have not confirmed.
func (pw *partitionWriter) settleTime() time.Duration {
	if pw.allocator.opts.HostsConfirmed == nil {
		return defaultSettleTime
	}
	return maxSettleTime
}

// vouches reports whether this host knows all that it took of an account in eras in which the account was not settled:
// it has been running since before them. Others tell by that that no host at its place died meanwhile.
func (pw *partitionWriter) vouches(al *allocation) bool { return pw.firstEra <= al.settledEra }

// vouchesForAll reports whether this host vouches for all accounts of the partition that are not settled.
func (pw *partitionWriter) vouchesForAll() bool {
	a := pw.allocator
	a.mu.Lock()
	defer a.mu.Unlock()
	for organisation, al := range a.allocations {
		if a.writerOf(organisation) == pw && !pw.settled(al.account) && !pw.vouches(al) {
			return false
		}
	}
	return a.history.UpTo > 0 // before that no account is known
}

// confirmsHere reports whether this host has to confirm the era in the account itself.
func (pw *partitionWriter) confirmsHere(al *allocation, account Account) bool {
	opts := pw.allocator.opts
	return opts.HostsConfirmed == nil && !pw.settled(account) && pw.vouches(al) && !slices.Contains(account.Confirmed, opts.Host)
}

// logSettled logs what was written off as an account was settled, and reports it.
func (a *Allocator) logSettled(update accountUpdate) {
	if update.writtenOff <= 0 {
		return
	}
	log.WithFields(log.Fields{
		"organisation": update.organisation, "written_off": update.writtenOff, "written_off_total": update.next.WrittenOff,
		"granted": update.next.Granted, "limit": update.next.Limit, "era": update.next.Era,
	}).Warn("tokens written off: the restored log may lack grants that only dead hosts knew of")
	if a.opts.OnWrittenOff != nil {
		a.opts.OnWrittenOff(update.organisation, update.writtenOff)
	}
}
