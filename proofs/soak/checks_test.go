package soak

import (
	"net/http"
	"strings"
	"time"

	"maststage.dev/platform"
	"maststage.dev/standin/backend"
)

// check checks what must hold at any time, over all that was seen.
func (w *world) check() {
	w.watch.mu.Lock()
	calls, arrivals := w.watch.calls, w.watch.arrivals
	w.watch.mu.Unlock()
	runs := w.runs()
	known := map[string]call{}
	for _, c := range calls {
		known[c.id] = c
		if isDeadly(c.path) {
			continue
		}
		w.checkAnswer(c)
		w.checkOnce(c, runs[c.id])
		w.checkPlannedStop(c, len(arrivals[c.id]) > 0)
	}
	for id, list := range runs {
		if c, sent := known[id]; sent {
			w.checkRequest(c, list)
		} else {
			w.watch.violation("asked for", "request %s ran and no caller sent it", id)
		}
	}
	w.checkSpend(runs)
	w.checkLeaving(arrivals)
	w.checkEvacuations(arrivals)
	w.checkRetries(calls, arrivals)
	w.checkLimits(calls, arrivals)
}

// runs lists the runs of each request at all targets.
func (w *world) runs() map[string][]backend.Run {
	runs := map[string][]backend.Run{}
	for _, s := range w.allTargets() {
		for _, run := range s.Runs() {
			if isDeadly(run.URI) || isLarge(run.URI) {
				continue
			}
			runs[run.ID] = append(runs[run.ID], run)
		}
	}
	return runs
}

// checkAnswer: a caller gets the whole answer to its own request; a break shows.
func (w *world) checkAnswer(c call) {
	if c.status == http.StatusUnauthorized && c.tenant != revokedTenant || c.status == http.StatusNotFound && !strings.HasPrefix(c.path, versionPrefix) {
		w.watch.violation("let in", "%s%s of %s got %d", c.path, c.id, c.tenant, c.status)
	}
	if c.status != http.StatusOK {
		return
	}
	want := wholeBody(c.id)
	if c.path == streamPath {
		want = streamBody(c.id)
	}
	switch {
	case c.stamp == "":
		w.watch.violation("whole answer", "%s got a success without a signature", c.id)
	case c.err == nil && c.body != want:
		w.watch.violation("whole answer", "%s got %q, not %q", c.id, c.body, want)
	case !strings.HasPrefix(want, c.body):
		w.watch.violation("whole answer", "%s got %q, which is no beginning of %q", c.id, c.body, want)
	}
}

// promises that a request has not run and never will.
var notRun = map[int]bool{
	http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true,
	http.StatusRequestTimeout: true, http.StatusMisdirectedRequest: true,
}

// checkOnce: what may not be repeated runs once at most, and what was refused did
// not run.
func (w *world) checkOnce(c call, runs []backend.Run) {
	if c.path != unsafePath {
		return
	}
	if len(runs) > 1 {
		w.watch.violation("at most once", "%s ran %d times", c.id, len(runs))
	}
	if notRun[c.status] && len(runs) > 0 {
		w.watch.violation("true refusal", "%s got %d and ran", c.id, c.status)
	}
}

// checkPlannedStop: a planned stop cuts off nothing.
func (w *world) checkPlannedStop(c call, arrived bool) {
	if c.err == nil || !c.sent || !arrived || c.ended.Sub(c.started) >= requestLimit || !w.watch.calm(c.started, c.ended) {
		return
	}
	w.watch.violation("planned stop", "%s%s of %s broke without a fault after %v: status %d, %v",
		c.path, c.id, c.host.name, c.ended.Sub(c.started).Round(time.Millisecond), c.status, c.err)
}

// checkRequest: targets get requests as callers sent them.
func (w *world) checkRequest(c call, runs []backend.Run) {
	names := platform.Headers
	for _, run := range runs {
		same := run.Method == http.MethodPost && run.URI == c.path+c.id && run.Host == callersHost && run.Body == sentBody(c.id)
		if !same || run.Header.Get(names.Organisation) != c.tenant || run.Header.Get(names.Key) != "" {
			w.watch.violation("as sent", "%s ran as %s %s of %q, body %q", c.id, run.Method, run.URI, run.Header.Get(names.Organisation), run.Body)
		}
	}
}

// checkSpend: no organisation gets more than it was ever allowed: the tokens of each
// prompt once, and what was handed out.
func (w *world) checkSpend(runs map[string][]backend.Run) {
	spent := map[string]int64{}
	for _, list := range runs {
		if !strings.HasPrefix(list[0].URI, streamPath) {
			continue
		}
		tenant := list[0].Header.Get(platform.Headers.Organisation)
		spent[tenant] += tokensIn
		for _, run := range list {
			spent[tenant] += int64(run.Made)
		}
	}
	w.watch.mu.Lock()
	budgets := w.watch.budgets
	w.watch.mu.Unlock()
	for tenant, budget := range budgets {
		w.t.Logf("%s spent %d of %d", tenant, spent[tenant], budget)
		if spent[tenant] > budget {
			w.watch.violation("budget", "%s got %d tokens and was never allowed more than %d", tenant, spent[tenant], budget)
		}
	}
}

// slack is allowed on times that hosts promise, for a busy machine.
const slack = 3 * time.Second

// checkLeaving: a target that leaves gets nothing new after a while.
func (w *world) checkLeaving(arrivals map[string][]arrivalAt) {
	for id, list := range arrivals {
		for _, a := range list {
			a.target.mu.Lock()
			left := a.target.leftAt
			a.target.mu.Unlock()
			late := !left.IsZero() && a.at.Sub(left) > drainWithin+slack
			if late && (a.at.After(w.watch.wellAgain) || w.watch.calm(left, a.at)) {
				w.watch.violation("leaving target", "%s got %s %v after it left", a.target.id, id, a.at.Sub(left).Round(time.Millisecond))
			}
		}
	}
}

// checkRetries: hosts together send no more than a share of requests again.
func (w *world) checkRetries(calls []call, arrivals map[string][]arrivalAt) {
	requests, repeats := map[string][]time.Time{}, map[string][]time.Time{}
	for _, c := range calls {
		service := plainService
		if c.path == streamPath || isDeadly(c.path) {
			service = engineService
		}
		requests[service] = append(requests[service], c.started)
	}
	for _, list := range arrivals {
		for _, a := range list[1:] {
			repeats[a.target.service] = append(repeats[a.target.service], a.at)
		}
	}
	for service, list := range repeats {
		for _, end := range list {
			got := within(list, end, retryWindow)
			// Requests of the window before count too, as on the platform's page.
			asked := max(within(requests[service], end, retryWindow), within(requests[service], end.Add(-retryWindow/2), retryWindow))
			if allowed := retryRatio*float64(asked) + retrySlack; float64(got) > allowed {
				w.watch.violation("retry budget", "%s got %d repeats in %v for %d requests", service, got, retryWindow, asked)
			}
		}
	}
}

// within counts the times in a span that ends at end.
func within(list []time.Time, end time.Time, span time.Duration) (n int) {
	for _, at := range list {
		if !at.After(end) && end.Sub(at) <= span {
			n++
		}
	}
	return n
}
