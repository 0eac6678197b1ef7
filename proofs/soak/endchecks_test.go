package soak

import (
	"fmt"
	"net/http"
	"slices"
)

// socketTally counts what callers' sockets had.
type socketTally struct {
	requests, successes, whole, broken, resumed int // broken off visibly; resumed at another target within the response
	refused, none, left, open, wrong            int
	unframed, unframedWhole, unframedShort      int // HTTP/1.1 responses that end with the connection: all, whole, short
	unproved                                    int // short, and closed as their targets closed them
}

func (n socketTally) String() string {
	return fmt.Sprintf("%d requests, %d successes: %d whole, %d broken off visibly, %d resumed, %d wrong; %d refused, %d without a response, %d left, %d open, %d closed short as by their targets; of HTTP/1.1 successes that end with the connection %d: %d whole, %d short",
		n.requests, n.successes, n.whole, n.broken, n.resumed, n.wrong, n.refused, n.none, n.left, n.open, n.unproved, n.unframed, n.unframedWhole, n.unframedShort)
}

// checkSockets: a success that its caller's bytes show as whole is whole, with its target's stamp, and of any other success the
// caller has a beginning, and sees that it is broken off. It returns the counts by kind of caller.
func (w *world) checkSockets() map[socketKind]*socketTally {
	w.watch.mu.Lock()
	answers := slices.Clone(w.watch.socketAnswers)
	w.watch.mu.Unlock()
	runs := w.socketRuns()
	tallies := map[socketKind]*socketTally{}
	for _, a := range answers {
		if tallies[a.kind] == nil {
			tallies[a.kind] = &socketTally{}
		}
		tally := tallies[a.kind]
		problem := w.judge(a, tally)
		if problem != "" {
			tally.wrong++
			w.watch.violation("ends of answers", "%s: %s", problem, a)
		}
		if a.mayRunOnce() && runs[a.id] > 1 {
			w.watch.violation("at most once", "%s ran %d times", a, runs[a.id])
		}
		if a.mayRunOnce() && notRun[a.status] && runs[a.id] > 0 {
			w.watch.violation("true refusal", "%s ran", a)
		}
	}
	for kind, tally := range tallies {
		w.t.Logf("a caller that %s: %v", kind, tally)
	}
	return tallies
}

// socketRuns counts the runs of the requests of these callers.
func (w *world) socketRuns() map[string]int {
	runs := map[string]int{}
	for _, s := range w.allTargets() {
		for _, run := range s.Runs() {
			if isSocket(run.URI) {
				runs[run.ID]++
			}
		}
	}
	for _, p := range w.processes {
		for _, id := range p.ran {
			runs[id]++
		}
	}
	return runs
}

// judge counts a response and returns what is wrong with it, if anything.
func (w *world) judge(a *socketAnswer, n *socketTally) string {
	n.requests++
	success := a.status >= http.StatusOK && a.status < http.StatusMultipleChoices
	switch {
	case a.end == endMalformed:
		return "bytes that are no response"
	case a.extra != "":
		return fmt.Sprintf("%.80q after the response", a.extra)
	case a.end == endLeft:
		n.left++
	case a.end == endOpen:
		n.open++
	case a.end == endNone:
		n.none++
	case !success:
		n.refused++
		return ""
	}
	if !success {
		return ""
	}
	n.successes++
	return w.judgeSuccess(a, n)
}

// judgeSuccess is judge for a success.
func (w *world) judgeSuccess(a *socketAnswer, n *socketTally) string {
	whole, targets, problem := a.body == socketWhole(a.id), []string(nil), ""
	switch {
	case a.isStream():
		whole, targets, problem = a.events()
	case len(a.body) > len(socketWhole(a.id)) || a.body != socketWhole(a.id)[:len(a.body)]:
		problem = "not the beginning of its response"
	}
	if len(targets) > 1 {
		n.resumed++
	}
	switch {
	case a.stamp == "":
		return "a success without a stamp"
	case a.replyID != a.id:
		return "a success for " + a.replyID
	case problem != "":
		return problem
	case a.path == oncePath && (len(targets) > 1 || len(targets) == 1 && targets[0] != a.stamp):
		return fmt.Sprintf("events of %v under the stamp of one target", targets)
	}
	old := a.kind == kindOld || a.kind == kindOldStops
	if a.end == endClosed && !old {
		n.unframed++
	}
	switch {
	case whole && (a.end == endFramed || a.end == endClosed):
		n.whole++
		if a.end == endClosed && !old {
			n.unframedWhole++
		}
	case a.end == endFramed:
		return "not whole, framed as whole"
	case a.end == endClosed && a.unproved:
		n.unproved++
	case a.end == endClosed:
		if !old {
			n.unframedShort++
		}
		return "not whole, ended by a close as a whole one"
	default:
		n.broken++
	}
	return ""
}
