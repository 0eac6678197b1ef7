package soak

import (
	"net/http"
	"strings"
	"time"

	"maststage.dev/platform"
	"maststage.dev/standin/backend"
)

// check checks the guarantees that must hold at any time, over everything recorded.
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
	w.checkAnnouncedExits(calls, arrivals)
	w.checkPauses(calls, arrivals)
}

// runs returns the runs of each request at all targets, by request id.
func (w *world) runs() map[string][]backend.Run {
	runs := map[string][]backend.Run{}
	for _, s := range w.allTargets() {
		for _, run := range s.Runs() {
			if isDeadly(run.URI) || isLarge(run.URI) || isResumed(run.URI) || isParted(run.URI) || isSocket(run.URI) {
				continue
			}
			runs[run.ID] = append(runs[run.ID], run)
		}
	}
	return runs
}

// checkAnswer: a caller gets the complete response to its own request, and an incomplete one shows as
// an error.
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
		w.watch.violation("whole answer", "%s got %q, which is not a prefix of %q", c.id, c.body, want)
	}
}

// notRun lists the statuses that guarantee that a request has not run and never will.
var notRun = map[int]bool{
	http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true,
	http.StatusRequestTimeout: true, http.StatusMisdirectedRequest: true,
}

// checkOnce: a request that must not be retried runs at most once, and a refused one did not run.
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

// checkPlannedStop: a graceful shutdown breaks no request.
func (w *world) checkPlannedStop(c call, arrived bool) {
	if c.err == nil || !c.sent || !arrived || c.ended.Sub(c.started) >= requestLimit || !w.watch.faultFree(c.started, c.ended) {
		return
	}
	w.watch.violation("planned stop", "%s%s to %s failed without a fault after %v: status %d, %v",
		c.path, c.id, c.host.name, c.ended.Sub(c.started).Round(time.Millisecond), c.status, c.err)
}

// checkRequest: targets get requests as callers sent them, with the organisation and without the key.
func (w *world) checkRequest(c call, runs []backend.Run) {
	names := platform.Headers
	for _, run := range runs {
		same := run.Method == http.MethodPost && run.URI == c.path+c.id && run.Host == callersHost && run.Body == sentBody(c.id)
		if !same || run.Header.Get(names.Organisation) != c.tenant || run.Header.Get(names.Key) != "" {
			w.watch.violation("as sent", "%s ran as %s %s of %q, body %q", c.id, run.Method, run.URI, run.Header.Get(names.Organisation), run.Body)
		}
	}
}

// checkSpend: no organisation uses more tokens than it was ever allowed. The tokens of a prompt count
// once for a request, the generated ones for each run.
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
		w.t.Logf("%s used %d tokens of %d", tenant, spent[tenant], budget)
		if spent[tenant] > budget {
			w.watch.violation("budget", "%s used %d tokens and was never allowed more than %d", tenant, spent[tenant], budget)
		}
	}
}

// slack is added to the time limits that hosts guarantee, for a busy machine.
const slack = 3 * time.Second

// checkLeaving: a leaving target gets no new requests after drainWithin.
func (w *world) checkLeaving(arrivals map[string][]arrivalAt) {
	for id, list := range arrivals {
		for _, a := range list {
			a.target.mu.Lock()
			left := a.target.leftAt
			a.target.mu.Unlock()
			late := !left.IsZero() && a.at.Sub(left) > drainWithin+slack
			if late && (a.at.After(w.watch.recoveredAt) || w.watch.faultFree(left, a.at)) {
				w.watch.violation("leaving target", "%s got %s %v after it left", a.target.id, id, a.at.Sub(left).Round(time.Millisecond))
			}
		}
	}
}

// checkRetries: retries of all hosts together stay within the share of requests that is allowed.
func (w *world) checkRetries(calls []call, arrivals map[string][]arrivalAt) {
	requests, repeats := map[string][]time.Time{}, map[string][]time.Time{}
	for _, c := range calls {
		service := plainService
		if c.path == streamPath || isDeadly(c.path) {
			service = engineService
		}
		requests[service] = append(requests[service], c.started)
	}
	for service, list := range w.watch.socketRequests() {
		requests[service] = append(requests[service], list...)
	}
	w.watch.mu.Lock()
	bySocket := w.watch.socketArrivals
	w.watch.mu.Unlock()
	for _, byID := range []map[string][]arrivalAt{arrivals, bySocket} {
		for _, list := range byID {
			for _, a := range list[1:] {
				repeats[a.target.service] = append(repeats[a.target.service], a.at)
			}
		}
	}
	for service, list := range repeats {
		for _, end := range list {
			got := within(list, end, retryWindow)
			// Requests of the window half a window earlier count too, as the platform documents.
			asked := max(within(requests[service], end, retryWindow), within(requests[service], end.Add(-retryWindow/2), retryWindow))
			if allowed := retryRatio*float64(asked) + retrySlack; float64(got) > allowed {
				w.watch.violation("retry budget", "%s got %d retries in %v for %d requests", service, got, retryWindow, asked)
			}
		}
	}
}

// within returns the number of times in a span that ends at end.
func within(list []time.Time, end time.Time, span time.Duration) (n int) {
	for _, at := range list {
		if !at.After(end) && end.Sub(at) <= span {
			n++
		}
	}
	return n
}
