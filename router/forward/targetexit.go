package forward

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sync"
	"time"

	"maststage.dev/lib/guard"
	"maststage.dev/router/httpconn"
	"maststage.dev/router/quarantine"
	"maststage.dev/router/target"
)

// isFramed reports whether the end of a response shows in the response itself. Otherwise its target's exit looks like the
// end of the response.
func isFramed(resp *http.Response) bool { return framingOf(resp) != FramingNone }

// provesRun reports whether a response, once complete, proves that its target ran the request
// and survived. A failure may have been sent before the run.
func provesRun(resp *http.Response) bool {
	return isFramed(resp) && resp.StatusCode < http.StatusMultipleChoices
}

// errResetAtEnd means that an unframed response ended with a reset of its connection.
var errResetAtEnd = errors.New("target reset the connection at the end of an unframed response")

// errExitedAtEnd means that an unframed response ended since its target exited.
var errExitedAtEnd = errors.New("target exited at the end of an unframed response")

// errUnknownAtEnd means that an unframed response ended, and nothing shows whether its target exited.
var errUnknownAtEnd = errors.New("target can't be reached at the end of an unframed response")

// errEndedAtDeadline means that an unframed response ended as its deadline passed.
var errEndedAtDeadline = errors.New("target ended an unframed response at its deadline")

// deadlineDoubt is the time before a deadline from which a target that ends a response may have given up.
const deadlineDoubt = minTimeLeft

// checkEnd checks a response that was read to its end. An unframed one may have broken off anywhere, and is an error, if its
// connection was reset (errResetAtEnd), or its target is gone (errExitedAtEnd), can't be reached (errUnknownAtEnd) or had hardly time left (errEndedAtDeadline). So is the end of the
// request as it is checked.
func (a *attempt) checkEnd(resp *http.Response) error {
	succeeded := resp.StatusCode < http.StatusMultipleChoices
	if isFramed(resp) {
		a.survivedAtEnd = succeeded
		return nil
	}
	if a.conn.WasReset() {
		return errResetAtEnd
	}
	if left, ok := a.request.timeLeft(); ok && left < deadlineDoubt {
		return errEndedAtDeadline
	}
	a.endChecked = true
	a.conn.Close() // the probe may need its place in the pool
	ctx, cancel := context.WithTimeout(a.request.ctx, exitProbeTimeout)
	defer cancel()
	wait := responseEndWait
	if a.request.stream != nil {
		wait = streamEndWait
	}
	switch a.request.handler.opts.Targets.ProbePresence(ctx, a.target, wait) {
	case target.Gone:
		return errExitedAtEnd
	case target.Present:
		a.survivedAtEnd = succeeded
		return nil
	}
	if err := a.request.ctx.Err(); err != nil {
		return err
	}
	return errUnknownAtEnd
}

// How long a target that exits may take after the end of an unframed response until its address refuses connections. The
// events of a stream have been forwarded by then, so that its caller waits for the end alone.
const (
	responseEndWait = 20 * time.Millisecond
	streamEndWait   = 100 * time.Millisecond
)

const (
	exitProbeTimeout = time.Second
	// exitProbeWait is how long a request waits for the probe's result before its next attempt.
	// The probe takes one round trip, whether the target exited or only a connection broke.
	exitProbeWait = 100 * time.Millisecond
	// maxExitsPerRequest is how many targets may exit while running a request before this host
	// stops retrying it. A retry by the caller counts anew, until the fleet quarantines it.
	maxExitsPerRequest = 2
)

// probeTargetExit probes in the background whether the attempt broke off because the target
// exited, and reports it if so. The request reads the result from exitProbe.
func (a *attempt) probeTargetExit(res result) {
	q := a.request
	if !a.maybeSent || res != broken && res != cutOff {
		return
	}
	exit := a.newTargetExit(time.Now())
	probe := make(chan bool, 1)
	q.exitProbe, q.brokeEarly = probe, quarantine.IsEarlyExit(exit.SinceFirstEvent)
	h, t, report := q.handler, a.target, q.reportOf(exit)
	guard.Go("target's end", func() {
		ctx, cancel := context.WithTimeout(context.Background(), exitProbeTimeout)
		defer cancel()
		exited := h.opts.Targets.ProbeExited(ctx, t)
		if exited {
			h.opts.Quarantine.RecordExit(report)
			h.opts.Quarantine.RecordPartExits(report, q.parts, a.started)
			h.opts.Observer.TargetExited(exit)
		}
		probe <- exited
	})
}

// newTargetExit describes an attempt that has just broken off.
func (a *attempt) newTargetExit(now time.Time) TargetExit {
	q := a.request
	exit := TargetExit{
		RequestID: q.id, Digest: q.digest, Target: q.handler.opts.Targets.Incarnation(a.target).String(), Service: q.service,
		Organisation: q.organisationName(), SharedParts: sharedPrefix(q.promptParts), Events: a.events, Duration: now.Sub(a.started),
	}
	if a.events > 0 {
		exit.SinceFirstEvent = now.Sub(a.firstEvent)
	}
	return exit
}

func (q *request) reportOf(exit TargetExit) quarantine.Report {
	r := quarantine.Report{
		Digest: exit.Digest, Service: exit.Service, RequestID: exit.RequestID, Target: exit.Target, Early: quarantine.IsEarlyExit(exit.SinceFirstEvent),
	}
	if q.organisation != nil {
		r.Organisation = q.organisation.Name
	}
	return r
}

// causedExits reports, after an attempt that broke off, whether so many targets exited while
// running the request that it must not be retried. An exit that the request can't have caused
// doesn't count as an attempt: else a long stream would be cut off after a few exits that
// another request caused.
func (q *request) causedExits() bool {
	select {
	case exited := <-q.exitProbe:
		if exited && !q.brokeEarly {
			q.uncounted++
		}
	case <-time.After(exitProbeWait):
	}
	guard := q.handler.opts.Quarantine
	return q.brokeEarly && max(guard.TargetExits(q.digest), guard.PartExits(q.parts)) >= maxExitsPerRequest
}

// A request proves that its target survives the parts of its prompt once the target has sent this much of its response.
// Targets that crash do so within 0.11 s after they began to run.
const (
	survivalTime   = 500 * time.Millisecond // since the first event
	survivalEvents = 10                     // a suspended host reads late what was sent before its target crashed
)

// noteSurvival notes, once, that the target has survived the parts of the request's prompt.
func (a *attempt) noteSurvival() {
	if a.survived || a.events < survivalEvents || a.lastEvent.Sub(a.firstEvent) < survivalTime {
		return
	}
	a.survived = true
	a.request.handler.opts.Quarantine.RecordSurvival(a.request.parts)
}

// waitingAttempts holds the connections of attempts whose response has not begun, so that the
// attempts of a request that is quarantined can be aborted: a target may not have begun to run
// them. An entry must be removed before its connection can serve another request.
type waitingAttempts struct {
	mu    sync.Mutex
	conns map[quarantine.Digest][]*httpconn.Conn
}

func newWaitingAttempts() *waitingAttempts {
	return &waitingAttempts{conns: map[quarantine.Digest][]*httpconn.Conn{}}
}

// add registers an attempt; done removes it and may be called more than once.
func (w *waitingAttempts) add(digests []quarantine.Digest, conn *httpconn.Conn) (done func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, d := range digests {
		w.conns[d] = append(w.conns[d], conn)
	}
	return func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		for _, d := range digests {
			w.remove(d, conn)
		}
	}
}

// remove removes an attempt of one digest. The lock is held.
func (w *waitingAttempts) remove(d quarantine.Digest, conn *httpconn.Conn) {
	rest := slices.DeleteFunc(w.conns[d], func(c *httpconn.Conn) bool { return c == conn })
	if len(rest) == 0 {
		delete(w.conns, d)
		return
	}
	w.conns[d] = rest
}

// abort aborts the attempts of a request.
func (w *waitingAttempts) abort(d quarantine.Digest) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, conn := range w.conns[d] {
		conn.Abort()
	}
}

// AbortWaiting aborts the attempts of a newly quarantined request, or with a quarantined part, whose response has not begun.
func (h *Handler) AbortWaiting(d quarantine.Digest) { h.waiting.abort(d) }
