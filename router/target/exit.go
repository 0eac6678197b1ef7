package target

import (
	"context"
	"errors"
	"net"
	"os"
	"syscall"
	"time"

	log "github.com/sirupsen/logrus"

	"maststage.dev/router/tunnel"
)

// exitProbe checks whether a target's process has exited. Concurrent callers share one probe.
type exitProbe struct {
	began    time.Time
	done     chan struct{} // closed once the results are set
	presence Presence      // of a process at the target's address
	exited   bool          // the target is gone and had not announced that
}

// Limits of exit probes.
const (
	// probeTimeout bounds a probe. A live target responds within a round trip.
	probeTimeout = 300 * time.Millisecond
	// connectTimeout bounds each of its connection attempts.
	connectTimeout = 100 * time.Millisecond
	// probeRepeatTime is the time before a probe whose connection was reset connects again; it doubles each time, as a
	// target resets connections also when it has too many.
	probeRepeatTime = 5 * time.Millisecond
	// probeMaxAge is how long the result of a probe that found the target alive is reused. One exit
	// breaks all requests there within a few milliseconds; a later break needs a probe of its own.
	probeMaxAge = 50 * time.Millisecond
)

// exitedPause is how long an exited target is avoided. By then its entry is gone or describes another
// incarnation: an entry expires after three heartbeats of about a second.
const exitedPause = 4 * time.Second

// recentlyExited reports whether the target exited less than exitedPause ago.
func (t *Target) recentlyExited(now time.Time) bool {
	return t.exited && now.Sub(t.exitedAt) < exitedPause
}

// ProbeExited reports whether a target's process has exited, after a request broke off there: its address
// refuses connections. The probe is a new connection, which is kept for requests if it succeeds. A single
// broken connection, a network cut or an overloaded link doesn't count as an exit, nor does the planned
// exit of a target that was known to be leaving. Data that other requests still read is no evidence against an
// exit: it may have been in flight. ProbeExited returns false if ctx ends first.
func (r *Registry) ProbeExited(ctx context.Context, t *Target) bool {
	probe := r.probeSince(ctx, t, time.Now().Add(-probeMaxAge))
	return probe != nil && probe.exited
}

// Presence says whether a process accepts connections at a target's address.
type Presence int

// The presences.
const (
	PresenceUnknown Presence = iota
	Present
	Gone
)

// ProbePresence connects to the address of a target that has just ended a connection. Unlike ProbeExited it also notices the
// planned exit of a target. It waits first: the kernel closes the listening socket of a process that exits after its
// connections, and the socket accepts others until then, which may even stay open. The result is PresenceUnknown if ctx ends
// first.
func (r *Registry) ProbePresence(ctx context.Context, t *Target, wait time.Duration) Presence {
	select {
	case <-time.After(wait):
	case <-ctx.Done():
		return PresenceUnknown
	}
	if r.opts.Tunnels != nil && t.path.Cut() {
		return r.presenceByOthers(ctx, t)
	}
	probe := r.probeSince(ctx, t, time.Now())
	if probe == nil {
		return PresenceUnknown
	}
	return probe.presence
}

// presenceByOthers asks other hosts for the presence, for a host whose own links to the target fail.
func (r *Registry) presenceByOthers(ctx context.Context, t *Target) Presence {
	err := r.probeByOthers(ctx, t)
	switch {
	case err == nil:
		return Present
	case errors.Is(err, tunnel.ErrNotReached):
		return Gone
	}
	return PresenceUnknown
}

// probeSince returns a completed probe that began at a time or later, or that found that the target has exited; nil if ctx
// ends first.
func (r *Registry) probeSince(ctx context.Context, t *Target, since time.Time) *exitProbe {
	probe, owner := r.joinProbe(t, since)
	if owner {
		r.runProbe(ctx, t, probe)
		close(probe.done)
	}
	select {
	case <-probe.done:
		return probe
	case <-ctx.Done():
		return nil
	}
}

// joinProbe returns the current probe, or starts one; owner means that the caller has to run it and close
// done.
func (r *Registry) joinProbe(t *Target, since time.Time) (probe *exitProbe, owner bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t.probe != nil && (t.exited || !t.probe.began.Before(since)) {
		return t.probe, false
	}
	t.probe = &exitProbe{began: time.Now(), done: make(chan struct{})}
	return t.probe, true
}

// runProbe connects to the target's address, sets the results of the probe and records an exit if the connection is refused.
func (r *Registry) runProbe(ctx context.Context, t *Target, probe *exitProbe) {
	err := r.connect(ctx, t)
	switch {
	case err == nil:
		probe.presence = Present
	case errors.Is(err, syscall.ECONNREFUSED) && r.refusesOthers(ctx, t):
		probe.presence = Gone
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if probe.presence != Gone || !t.leavingSince.IsZero() {
		return
	}
	probe.exited, t.exited, t.exitedAt = true, true, time.Now()
	log.WithFields(log.Fields{
		"target": t.ID, "service": t.Service, "address": t.Address, "outstanding": t.outstanding,
	}).Warn("target process exited")
}

// connect connects to the target's address, until it can tell whether a socket listens there.
func (r *Registry) connect(ctx context.Context, t *Target) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return repeatConnect(ctx, func() error {
		dial, cancel := context.WithTimeout(ctx, connectTimeout)
		defer cancel()
		return t.Pool.Probe(dial, r.direct(t))
	})
}

// repeatConnect calls connect until it succeeds, fails for good or ctx ends. A reset or a time-out tells nothing: a socket
// that is being closed may reset a connection or drop it.
func repeatConnect(ctx context.Context, connect func() error) error {
	for pause := probeRepeatTime; ; pause *= 2 {
		err := connect()
		if !errors.Is(err, syscall.ECONNRESET) && !os.IsTimeout(err) {
			return err
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return err
		}
	}
}

// refusesOthers reports whether none of the other hosts that were asked reaches a target that refuses connections of this
// host. Hosts that lost their own links, too, can't tell; a few are asked.
func (r *Registry) refusesOthers(ctx context.Context, t *Target) bool {
	if r.opts.Tunnels == nil {
		return true
	}
	return r.probeByOthers(ctx, t) != nil
}

// probeByOthers connects to a target through another host, and keeps the connection for requests.
func (r *Registry) probeByOthers(ctx context.Context, t *Target) error {
	return t.Pool.Probe(ctx, func(ctx context.Context) (net.Conn, error) { return r.dialTunnel(ctx, t) })
}
