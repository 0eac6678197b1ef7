package target

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	log "github.com/sirupsen/logrus"

	"maststage.dev/lib/guard"
	"maststage.dev/router/httpconn"
	"maststage.dev/router/reach"
	"maststage.dev/router/tunnel"
)

// Tunnels opens connections to targets through other hosts; *tunnel.Dialer implements it.
type Tunnels interface {
	Dial(ctx context.Context, service, target string) (*tunnel.Conn, error)
	// OpenedSince reports whether a tunnel to a service was opened after t.
	OpenedSince(service string, t time.Time) bool
}

// Parameters of probes of a service that may be out of reach.
const (
	reachInterval = 100 * time.Millisecond // between rounds of probes
	// settleTime is how long a probe's connection must live: a link may accept connections and reset them at once.
	settleTime = 50 * time.Millisecond
	// hopelessAge is how long no tunnel to a service was opened until other hosts count as no help. A target that is not
	// reached either is then not tried again for as long.
	hopelessAge = time.Second
)

// errOutOfReach means that neither this host nor, for some time, any other has reached the target.
var errOutOfReach = errors.New("neither this host nor others reach the target")

// dial makes a connection for a request: by this host itself, or through another host if the service is out of reach.
func (r *Registry) dial(ctx context.Context, t *Target) (net.Conn, error) {
	if r.opts.Tunnels == nil {
		return r.dialDirect(ctx, t)
	}
	var tunnelErr error
	if t.path.Cut() {
		nc, err := r.dialTunnel(ctx, t)
		if err == nil {
			return nc, nil
		}
		tunnelErr = err
		if t.path.DialFailedSince(time.Now().Add(-hopelessAge)) && !r.othersHelp(t) {
			return nil, errors.Join(errOutOfReach, tunnelErr) // probes tell when the target is reached again
		}
	}
	nc, err := r.dialDirect(ctx, t)
	if err == nil || tunnelErr != nil || !t.path.Cut() {
		return nc, joinErrors(err, tunnelErr)
	}
	tunnelled, terr := r.dialTunnel(ctx, t)
	if terr != nil {
		return nil, errors.Join(err, terr)
	}
	return tunnelled, nil
}

// joinErrors joins the error of a dial, if there is one, with that of a tunnel.
func joinErrors(dial, tunnel error) error {
	if dial == nil {
		return nil
	}
	return errors.Join(dial, tunnel)
}

// othersHelp reports whether another host has lately reached targets of the service.
func (r *Registry) othersHelp(t *Target) bool {
	return r.opts.Tunnels != nil && r.opts.Tunnels.OpenedSince(t.Service, time.Now().Add(-hopelessAge))
}

// dialTunnel opens a tunnel to a target.
func (r *Registry) dialTunnel(ctx context.Context, t *Target) (net.Conn, error) {
	nc, err := r.opts.Tunnels.Dial(ctx, t.Service, t.ID)
	if err != nil {
		log.WithFields(log.Fields{"target": t.ID, "service": t.Service}).WithError(err).Debug("no tunnel to the target")
		return nil, err // not nc, which would be an interface that isn't nil
	}
	return nc, nil
}

// dialDirect dials a target by a connection of this host's own and records the outcome.
func (r *Registry) dialDirect(ctx context.Context, t *Target) (net.Conn, error) {
	began := time.Now()
	nc, err := t.Pool.DialDirect(ctx)
	if errors.Is(err, context.Canceled) {
		return nc, err
	}
	r.recordDial(t, err, began)
	return nc, err
}

// direct returns dialDirect for one target.
func (r *Registry) direct(t *Target) func(ctx context.Context) (net.Conn, error) {
	return func(ctx context.Context) (net.Conn, error) { return r.dialDirect(ctx, t) }
}

// recordDial records the outcome of a dial that began at began.
func (r *Registry) recordDial(t *Target, err error, began time.Time) {
	outcome := dialOutcome(err)
	r.opts.OnDialed(outcome)
	t.path.RecordDial(outcome, began, time.Now())
	if outcome == reach.Connected {
		r.recordReached(t)
	}
	switch {
	case outcome != reach.Connected:
		r.suspect(t)
	case t.path.Cut() && !r.othersHelp(t):
		t.path.EndDialTest(time.Now())
	}
}

// dialOutcome classifies the result of a dial.
func dialOutcome(err error) reach.Outcome {
	var timeout net.Error
	switch {
	case err == nil:
		return reach.Connected
	case errors.Is(err, syscall.ECONNREFUSED), errors.Is(err, syscall.ECONNRESET):
		return reach.Refused
	case errors.As(err, &timeout) && timeout.Timeout():
		return reach.TimedOut
	}
	return reach.Failed
}

// DialFor dials a listed target directly, for another host.
func (r *Registry) DialFor(ctx context.Context, id string) (net.Conn, error) {
	r.mu.Lock()
	t := r.targets[id]
	r.mu.Unlock()
	switch {
	case t == nil:
		return nil, tunnel.ErrUnknownTarget
	case t.path.Cut():
		return nil, tunnel.ErrCut
	}
	return r.dialDirect(ctx, t)
}

// GetConn returns a connection to the target for a request: an idle one that was unused for at most maxUnused, or a new
// one. Some requests test links that were silent, mostly such that may be retried, as retry reports.
func (r *Registry) GetConn(ctx context.Context, t *Target, maxUnused time.Duration, retry func() bool) (*httpconn.Conn, error) {
	if t.path.Cut() && t.path.TakeCanary(retry(), time.Now()) {
		return t.Pool.Dial(ctx, r.direct(t))
	}
	return t.Pool.Get(ctx, maxUnused)
}

// OutOfReach reports whether this host doesn't reach the target's service by connections of its own, so that failures
// of such connections say nothing about the target.
func (r *Registry) OutOfReach(t *Target) bool { return t.path.Cut() }

// Path returns this host's own way to the target. It is fixed.
func (t *Target) Path() *reach.Path { return t.path }

// RecordLostConnection records that a new connection broke before anything arrived on it.
func (r *Registry) RecordLostConnection(t *Target, dialled time.Time) {
	r.recordDial(t, syscall.ECONNRESET, dialled)
}

// Limits of silence at links of this host.
const (
	// silenceFactor is the multiple of the usual time to the first byte after which a request shows that the links to its
	// service may be silent.
	silenceFactor  = 4.0
	minLinkSilence = 250 * time.Millisecond
	maxLinkSilence = 600 * time.Millisecond
)

// LinkSilence returns how long a response of the target may take to begin until its service is judged.
func (r *Registry) LinkSilence(t *Target) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	usual := r.statsOf(t.Service).medianLatency
	if usual <= 0 {
		return maxLinkSilence
	}
	return min(max(time.Duration(silenceFactor*usual*float64(time.Second)), minLinkSilence), maxLinkSilence)
}

// JudgeSilence judges the target's service when a request there has waited for limit, see LinkSilence, and reports
// whether the service is out of reach.
func (r *Registry) JudgeSilence(t *Target, limit time.Duration) bool {
	t.path.JudgeSilence(limit, time.Now())
	r.suspect(t)
	return t.path.Cut()
}

// suspect acts on evidence that a service may be out of reach: it probes its targets, and if it is out of reach closes idle
// connections that may be dead and forgets failures that were no fault of the targets.
func (r *Registry) suspect(t *Target) {
	r.startProbing()
	if !t.path.Cut() {
		return
	}
	dead, since := t.path.OpenConnectionsDead(), t.path.LostSince()
	r.mu.Lock()
	defer r.mu.Unlock()
	stats := r.statsOf(t.Service)
	forgives := !stats.lostSince.Equal(since)
	stats.lostSince = since
	for _, other := range r.services[t.Service] {
		if forgives {
			other.health.consecutiveBroken, other.health.ejectedUntil = 0, time.Time{}
			other.health.forgetUnreached()
		}
		if dead {
			other.Pool.CloseIdleDirect()
		}
	}
}

// startProbing starts rounds of probes unless they are running.
func (r *Registry) startProbing() {
	if !r.probing.CompareAndSwap(false, true) {
		return
	}
	guard.Go("probes of reach", func() {
		defer r.probing.Store(false)
		for r.opts.Reach.NeedsProbes(time.Now()) {
			for _, id := range r.opts.Reach.DueProbes(time.Now()) {
				r.mu.Lock()
				t := r.targets[id]
				r.mu.Unlock()
				if t != nil {
					guard.Go("probe of reach", func() { r.probeReach(t) })
				}
			}
			time.Sleep(reachInterval)
		}
	})
}

// probeReach dials a target, and keeps the connection for requests if it succeeds.
func (r *Registry) probeReach(t *Target) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	began := time.Now()
	err := t.Pool.ProbeSettled(ctx, t.Pool.DialDirect, settleTime, func() bool { return !t.path.Silent() })
	if errors.Is(err, httpconn.ErrConnLimit) || errors.Is(err, httpconn.ErrClosed) {
		return
	}
	r.recordDial(t, err, began)
	if err != nil {
		log.WithFields(log.Fields{"target": t.ID, "service": t.Service}).WithError(err).Debug("target not reached by a probe")
	}
}
