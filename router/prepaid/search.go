package prepaid

import (
	"context"
	"time"

	log "github.com/sirupsen/logrus"

	"maststage.dev/lib/guard"
	"maststage.dev/lib/wait"
)

// logAway reports whether the log doesn't respond to this host, as far as it knows.
func (a *Allocator) logAway(organisation string) bool {
	pw := a.writerOf(organisation)
	if pw.logUnavailable() {
		return true
	}
	return a.opts.LogAvailable != nil && !a.opts.LogAvailable() && !pw.respondedWithin(logSilence)
}

// logSilence is the time without a response after which a log that can't be read counts as away for appends, too.
const logSilence = 500 * time.Millisecond

// refusedAtOnce reports whether a request's tokens are known to be out of reach. A search goes on beside it.
func (a *Allocator) refusedAtOnce(q Request) bool {
	if a.opts.Survey == nil {
		return false
	}
	now := time.Now()
	shortfall, _ := a.shortfall(q.Organisation, q.Tokens, now)
	a.mu.Lock()
	defer a.mu.Unlock()
	al := a.allocations[q.Organisation]
	if al == nil || shortfall == 0 || !al.supply.refuses(shortfall, now) {
		return false
	}
	a.startSearch(q.Organisation, al)
	return true
}

// searchFor begins a search for a request's tokens unless one is under way.
func (a *Allocator) searchFor(q Request) {
	if a.opts.Survey == nil {
		return
	}
	shortfall, _ := a.shortfall(q.Organisation, q.Tokens, time.Now())
	a.mu.Lock()
	defer a.mu.Unlock()
	if al := a.allocations[q.Organisation]; al != nil && shortfall > 0 {
		al.supply.want(shortfall)
		a.startSearch(q.Organisation, al)
	}
}

// startSearch begins a search unless one is under way. The lock is held.
func (a *Allocator) startSearch(organisation string, al *allocation) {
	if al.supply.searching || a.closing {
		return
	}
	al.supply.searching = true
	guard.Go("search for tokens", func() { a.search(organisation) })
}

// search surveys the lenders until tokens are in reach or no request has been refused since the survey before.
func (a *Allocator) search(organisation string) {
	for {
		shortfall := a.nextShortfall(organisation)
		if shortfall == 0 {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), surveyTimeout)
		result := a.opts.Survey(ctx, Survey{Organisation: organisation, Tokens: shortfall})
		cancel()
		found := result.judge(a.AnswerSurvey(Survey{Organisation: organisation, Tokens: shortfall}), shortfall)
		pause, goOn := a.recordFinding(organisation, shortfall, found)
		if !goOn {
			return
		}
		wait.For(context.Background(), wait.Jitter(pause))
	}
}

// nextShortfall is the shortfall to search for; 0: none, and the search has ended.
func (a *Allocator) nextShortfall(organisation string) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	al := a.allocations[organisation]
	if al == nil {
		return 0
	}
	if a.closing {
		al.supply.refused = 0
	}
	shortfall := al.supply.refused
	al.supply.refused = 0
	al.supply.searching = shortfall > 0
	return shortfall
}

// recordFinding notes what a search found and reports whether to search again, after a pause.
func (a *Allocator) recordFinding(organisation string, shortfall int64, found finding) (pause time.Duration, again bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	al := a.allocations[organisation]
	if al == nil {
		return 0, false
	}
	now := time.Now()
	since := al.supply.since
	if al.supply.record(shortfall, found, now) {
		logSupply(organisation, al, shortfall, found, now.Sub(since))
	}
	if found == inReach {
		al.supply.searching = false
		return 0, false
	}
	if a.mayReturn() {
		// The log may respond again, or have tokens that other hosts returned.
		al.unmetDemand = true
		a.writerOf(organisation).requestRound()
	}
	return al.supply.pause(), true
}

// logSupply logs that tokens of an organisation came out of reach or into reach again.
func logSupply(organisation string, al *allocation, shortfall int64, found finding, dryFor time.Duration) {
	entry := log.WithFields(log.Fields{"organisation": organisation, "wanted": shortfall, "free": al.free, "granted": al.account.Granted, "limit": al.limit})
	if found == inReach {
		entry.WithField("after", dryFor.Round(time.Millisecond)).Info("tokens are in reach again")
		return
	}
	entry.WithField("reason", reasonOf(found)).Info("no tokens in reach; requests are refused at once")
}

// surveyFree asks the lenders how many tokens they could lend in all, and whether one could obtain more from the log.
func (a *Allocator) surveyFree(organisation string) (free int64, more bool) {
	ctx, cancel := context.WithTimeout(context.Background(), surveyTimeout)
	defer cancel()
	for _, answer := range a.opts.Survey(ctx, Survey{Organisation: organisation, Tokens: 1}).Answers {
		free += answer.Free
		more = more || answer.Log && !answer.Spent
	}
	return free, more
}

// AnswerSurvey answers another host's Survey.
func (a *Allocator) AnswerSurvey(survey Survey) SurveyAnswer {
	away := a.logAway(survey.Organisation)
	a.mu.Lock()
	defer a.mu.Unlock()
	al := a.allocations[survey.Organisation]
	if al == nil || a.closing || !al.spendable() {
		return SurveyAnswer{}
	}
	_, keeper := a.keepers(survey.Organisation, al)
	answer := SurveyAnswer{Keeper: keeper, Free: al.lendableTokens(), Log: !away}
	answer.Lends = answer.Free >= survey.Tokens && a.lendsBesideWaiting(survey.Organisation, al) &&
		(!keeper || a.leavesHeadroom(survey.Organisation, al, survey.Tokens))
	needed := survey.Tokens
	if al.keeperSize > 0 {
		needed = max(needed, al.headroom(time.Now()))
	}
	answer.Spent = al.known && al.currentAccount().Remaining()+al.free < needed
	return answer
}

// dryFound returns the channel that is closed when a search finds that no tokens are in reach.
func (a *Allocator) dryFound(organisation string) <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	if al := a.allocations[organisation]; al != nil {
		return al.supply.dryFound()
	}
	return nil
}
