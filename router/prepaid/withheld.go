package prepaid

import "time"

// A log that is restored from a copy lacks its newest grants. Living hosts write again what they know of them, but a
// grant that only dead hosts knew of leaves no trace. So each record of an account says in advance how many tokens are
// withheld from hosts that take tokens on top of it: whatever the lost records granted, these tokens are not among it.
//
// A host can't know with which record a copy ends, only that the copy is no older than maxCopyAge. So it leaves what is
// withheld by any record that a copy may end with: those of that time, and the one before them. A record that withholds
// less therefore lets hosts take more only once it has been in the log for so long.
//
// HostWithheld is the same for the death of one host. Records that another host has read survive it, so a host has to
// leave only what is withheld by the last record of another host and its own ones since. OwnWithheld is what the writer
// of a record itself leaves: nothing, if no other host has ever written the account, and its death costs as much as that
// of all hosts.

const (
	// maxCopyAge is the age of the oldest copy from which the log may be restored.
	maxCopyAge = 15 * time.Second
	// outageNoticed is how late a host may notice that the log is away. That time makes no record older than a copy.
	outageNoticed = 2 * time.Second
	// recordedEverywhere is the age, in time of a log that responds, from which a record is in each copy.
	recordedEverywhere = maxCopyAge + outageNoticed
)

// Parameters of what is withheld.
const (
	// grantablePart is the fraction of the remaining tokens that is never withheld, so that a burst of requests on an
	// idle budget finds tokens. The rest of a budget that lasts long survives the loss of all hosts.
	grantablePart = 0.75
	// drawnSpan is the time for which a host has to see what is drawn on a budget before that part applies. From then on
	// grantableDraws times what was drawn in that time is not withheld either.
	drawnSpan      = 2 * time.Minute
	grantableDraws = 2.5
	// newPart is the fraction that is never withheld of a budget whose draw rate is not known, and burstRate is the rate,
	// in tokens per second, up to which nothing is.
	newPart   = 63.0 / 64
	burstRate = 1_000_000.0
	// hostPart is the fraction of the remaining tokens that a host may always take without another host's record in
	// between, and keeperPart where few hosts hold the tokens for all. In a small fleet it is all but keptPerHost for
	// each host.
	hostPart   = 0.15
	keeperPart = 0.5
	// ownPart is the same for a host that has long been the only one to write.
	ownPart     = 0.5
	keptPerHost = 0.2
	// tailPart is the fraction of the limit that is never withheld, so that the last tokens of a budget can be used.
	tailPart = 1.0 / 16
	// tailRequests is how many of the largest recent requests are likewise always possible.
	tailRequests = 4.0
)

// withheld returns what the next record of an account withholds from all hosts. remaining is what hosts can still take
// after it.
func (al *allocation) withheld(remaining int64, now time.Time) int64 {
	drawn, known := al.drawn.since(now.Add(-drawnSpan))
	if !known || now.Sub(al.raisedAt) < drawnSpan {
		return al.keepBack(remaining, grantableOfNew(remaining))
	}
	return al.keepBack(remaining, max(grantablePart*float64(remaining), grantableDraws*float64(drawn)))
}

// grantableOfNew is how many of the remaining tokens are not withheld as long as it is not known how fast they are drawn.
func grantableOfNew(remaining int64) float64 {
	return max(newPart*float64(remaining), burstRate*recordedEverywhere.Seconds())
}

// withheldAtFirst is what is withheld of a budget as long as its account has no record.
func withheldAtFirst(limit int64) int64 {
	return max(limit-int64(grantableOfNew(limit)), 0)
}

// hostWithheld is the same as withheld for a single host. hosts is the size of the fleet, and few says that few of them
// hold the tokens for all.
func (al *allocation) hostWithheld(remaining int64, hosts int, few bool) int64 {
	part := max(hostPart, 1-keptPerHost*float64(hosts))
	switch {
	case hosts <= 1:
		return 0
	case few:
		part = max(part, keeperPart)
	}
	return al.keepBack(remaining, part*float64(remaining))
}

// keepBack returns what is left of the remaining tokens if so many are grantable, and the least that always is.
func (al *allocation) keepBack(remaining int64, grantable float64) int64 {
	least := max(tailPart*float64(al.limit), tailRequests*al.largestRequest)
	return max(remaining-int64(max(grantable, least)), 0)
}

// noteWithheld notes what a record withholds that this host wrote itself, or not. follows says that this host has seen
// the records before it.
func (al *allocation) noteWithheld(record Account, own, follows bool, now time.Duration) {
	if !follows || len(al.allWithheld.samples) == 0 {
		al.allWithheld.addUnseen(record, now)
	}
	al.allWithheld.add(withheldSample{since: now, era: record.Era, tokens: record.Withheld})
	sample := withheldSample{since: now, era: record.Era, tokens: min(record.OwnWithheld, record.HostWithheld)}
	if !own {
		sample.tokens = record.HostWithheld
		al.otherHost, al.sinceOtherHost, al.sinceSought = sample, withheldWindow{}, withheldWindow{}
	}
	al.sinceOtherHost.add(sample)
	al.sinceSought.add(sample)
}

// ownWithheld is what this host's next record withholds from itself: what the last record of another host does, while a
// copy may lack this host's own records since.
func (al *allocation) ownWithheld(remaining int64, now time.Duration) int64 {
	switch {
	case al.otherHost == (withheldSample{}):
		return 0
	case now-al.otherHost.since < recordedEverywhere:
		return al.otherHost.tokens
	}
	return al.keepBack(remaining, ownPart*float64(remaining))
}

// heldBack reports whether a host wrote an account last, and its next record would withhold less from it.
func (al *allocation) heldBack(account Account, host string, now time.Duration) bool {
	return account.Writer == host && account.OwnWithheld > al.ownWithheld(account.Remaining(), now)
}

// recentWithheld is what is withheld from all hosts by records with which a copy of the log may end.
func (al *allocation) recentWithheld(now time.Duration, era int64) int64 {
	if len(al.allWithheld.samples) == 0 {
		return withheldAfter(withheldAtFirst(al.limit), era)
	}
	return al.allWithheld.tokensInEra(now, era)
}

// grantable is how many tokens this host may take from the account in an era.
func (al *allocation) grantable(account Account, now time.Duration, era int64) int64 {
	return account.Remaining() - max(al.recentWithheld(now, era), al.sinceOtherHost.tokens(now))
}

// withhold sets what an account's next record withholds. keepers is how many hosts obtain allocations of the budget.
func (pw *partitionWriter) withhold(al *allocation, next *Account, keepers int, now time.Time) {
	a := pw.allocator
	logTime := a.logTime(now)
	if pw.settled(*next) {
		remaining := next.Remaining()
		next.Withheld = al.withheld(remaining, now)
		next.HostWithheld = al.hostWithheld(remaining, a.opts.Hosts(), a.fewKeepers(keepers))
		next.OwnWithheld = al.ownWithheld(remaining, logTime)
	} else {
		next.Withheld = al.certainlyLeft(*next, pw.era, nil)
		next.HostWithheld = al.certainlyLeft(*next, pw.era, pw.livesIn(*next))
		next.OwnWithheld = next.HostWithheld
	}
	next.RecentWithheld, next.RecentMs = 0, 0
	if recent := al.recentWithheld(logTime, pw.era); recent > next.Withheld {
		next.RecentWithheld = recent
		_, left := al.allWithheld.recent(logTime, pw.era, next.Withheld)
		next.RecentMs = left.Milliseconds()
	}
}

// withholdsNow reports whether this host, which wrote an account last, is to write it again as nothing is withheld of a
// budget that has been idle since.
func (pw *partitionWriter) withholdsNow(al *allocation, account Account, now time.Time) bool {
	return account.Writer == pw.allocator.opts.Host && pw.settled(account) && account.Withheld == 0 && al.withheld(account.Remaining(), now) > 0
}

// logTime is the time for which the log has responded since this host started.
func (a *Allocator) logTime(now time.Time) time.Duration { return a.outages.responded(a.started, now) }
