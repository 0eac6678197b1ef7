package forward

import "time"

// recordReceived records that something arrived on the attempt's connection.
func (a *attempt) recordReceived() {
	now := time.Now()
	a.path.RecordReceived(now)
	if a.waits {
		a.waits = false
		a.path.EndWait(false, now)
	}
}

// recordReach records what the end of the attempt shows about the links of this host.
func (a *attempt) recordReach(res result) {
	now := time.Now()
	silence := res == silent || res == outOfTime
	switch {
	case a.tunnel != nil:
		if (res == broken || res == cutOff) && !a.endChecked || silence {
			a.tunnel.Blame()
		}
	case a.waits:
		a.path.EndWait(silence, now)
	case res == silent:
		a.path.RecordSilence(now)
	}
	if a.lostConnection(res) {
		a.request.handler.opts.Targets.RecordLostConnection(a.target, a.started)
	}
	a.waits = false
	if silence && a.path != nil {
		targets := a.request.handler.opts.Targets
		targets.JudgeSilence(a.target, targets.LinkSilence(a.target))
	}
}

// lostConnection reports whether a new connection of this host's own broke before anything arrived on it.
func (a *attempt) lostConnection(res result) bool {
	return a.path != nil && !a.reused && !a.withheld && a.status == 0 && (res == broken || res == notSent)
}

// saysNothing reports whether a failure of the attempt says nothing about its target: the connection went through
// another host, or this host's own links to the service fail.
func (a *attempt) saysNothing() bool {
	return a.tunnel != nil || a.path.Cut()
}

// via returns the name of the host that carries the attempt's connection, "" if none does.
func (a *attempt) via() string {
	if a.tunnel == nil {
		return ""
	}
	return a.tunnel.Host()
}
