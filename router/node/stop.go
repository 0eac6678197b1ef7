package node

import (
	"context"
	"net/http"
	"time"

	log "github.com/sirupsen/logrus"

	"maststage.dev/lib/graceful"
	"maststage.dev/lib/inbound"
	"maststage.dev/lib/wait"
	"maststage.dev/router/forward"
	"maststage.dev/router/settings"
)

// callerServer makes the server for callers. Its limits are constants: net/http reads them without a lock, so that those of
// the configuration can't be applied to it.
func (n *Node) callerServer() *graceful.Server {
	server := graceful.New(&http.Server{
		Handler:           n.callerHandler(),
		ConnContext:       connContext,
		ConnState:         inbound.TrackState,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          nil,
	})
	server.SetAdmission(n.admitsConnection)
	server.SetWrap(n.inbound.Listener(callerShare).Wrap)
	return server
}

// Limits of the server for callers.
const (
	headerTimeout  = 10 * time.Second
	idleTimeout    = 60 * time.Second
	maxHeaderBytes = 64 << 10
)

// Timing of a graceful shutdown.
const (
	// noticeTime is how long new connections of callers are still accepted, until load balancers have
	// noticed.
	noticeTime = 2500 * time.Millisecond
	// streamTime and responseTime are how long new streams and other requests are still accepted:
	// callers may continue to arrive if few hosts are left.
	streamTime   = 3 * time.Second
	responseTime = 4500 * time.Millisecond
	// stopMargin is the part of the grace time that is reserved for the exit of the process.
	stopMargin        = 400 * time.Millisecond
	returnTimeout     = time.Second
	drainPollInterval = 20 * time.Millisecond
	quietTime         = 300 * time.Millisecond // without a request, before idle connections are closed
)

// scaleToGrace scales one of the times above down if the grace time is shorter than referenceGrace.
func (n *Node) scaleToGrace(d time.Duration) time.Duration {
	return min(d, time.Duration(float64(d)/float64(referenceGrace)*float64(n.graceTime())))
}

// graceTime is the grace time of the shutdown that has begun, else that of the newest settings.
func (n *Node) graceTime() time.Duration {
	if d := time.Duration(n.stopGrace.Load()); d > 0 {
		return d
	}
	return settings.Seconds(n.newestSettings().Bounds.GraceS)
}

const referenceGrace = 8 * time.Second

// Accepts reports whether this host still takes new requests.
func (n *Node) Accepts(streaming bool) bool {
	started := n.stopStarted.Load()
	if started == nil {
		return true
	}
	if streaming {
		return time.Since(*started) < n.scaleToGrace(streamTime)
	}
	return time.Since(*started) < n.scaleToGrace(responseTime)
}

// endsAt returns when a host that is stopping ends the requests that are still in flight; zero: it isn't stopping.
func (n *Node) endsAt() time.Time {
	started := n.stopStarted.Load()
	if started == nil {
		return time.Time{}
	}
	return started.Add(n.graceTime() - stopMargin)
}

// mayFinish reports whether a host that is stopping may begin a request: one whose deadline it outlives. Until load balancers
// have noticed the stop, it also takes longer requests that may be repeated, and streams: most end well before their deadlines.
func (n *Node) mayFinish(a forward.Arrival) bool {
	end := n.endsAt()
	if end.IsZero() || !a.Deadline.IsZero() && !a.Deadline.After(end) {
		return true
	}
	return (a.Repeatable || a.Streaming) && time.Since(*n.stopStarted.Load()) < n.scaleToGrace(streamTime)
}

// Stop begins a graceful shutdown: the host is no longer ready, finishes its requests and exits within
// the grace time.
func (n *Node) Stop() {
	n.stopOnce.Do(func() {
		now := time.Now()
		n.stopGrace.Store(int64(n.graceTime()))
		n.stopStarted.Store(&now)
		log.WithFields(log.Fields{"open": n.handler.InFlight()}).Info("graceful shutdown started")
		close(n.stopping)
	})
}

// drain waits until no request is in flight and none has arrived for a moment, and returns this host's
// tokens.
func (n *Node) drain(ctx context.Context) {
	started := *n.stopStarted.Load()
	deadline := n.endsAt()
	// A caller whose request is still in flight then gets a final response rather than a closed connection.
	defer time.AfterFunc(time.Until(deadline), n.handler.EndRequests).Stop()
	quietSince := started
	for time.Now().Before(deadline) && ctx.Err() == nil {
		now := time.Now()
		if n.handler.InFlight() > 0 {
			quietSince = now
		}
		noticed := now.Sub(started) > n.scaleToGrace(noticeTime) && now.Sub(quietSince) > quietTime
		refusing := !n.Accepts(false) && n.handler.InFlight() == 0
		if noticed || refusing {
			break
		}
		wait.For(ctx, drainPollInterval)
	}
	n.returnTokensAndLeave(ctx, deadline.Add(stopMargin/2))
	n.shutdownServers(deadline)
	log.WithFields(log.Fields{"open": n.handler.InFlight(), "took": time.Since(started).Round(time.Millisecond)}).Info("graceful shutdown done")
}

// returnTokensAndLeave returns free tokens to the log or, if that is unreachable, transfers them to
// another host, and removes this host's announcement, until the deadline.
func (n *Node) returnTokensAndLeave(ctx context.Context, deadline time.Time) {
	c, cancel := context.WithTimeout(ctx, min(returnTimeout, time.Until(deadline)))
	defer cancel()
	up, _ := n.configReplica.Up()
	if up {
		if err := n.allocator.Close(c); err != nil {
			log.WithError(err).Warn("free tokens not returned to the log")
		}
	}
	n.allocator.TransferAll(c, n.fleet.Transfer)
	if !up {
		return
	}
	if err := n.fleet.Leave(c); err != nil {
		log.WithError(err).Warn("announcement not removed")
	}
}

// shutdownServers finishes requests in flight, closes idle connections and waits for the rest until the
// grace time ends.
func (n *Node) shutdownServers(deadline time.Time) {
	c, cancel := context.WithDeadline(context.Background(), deadline.Add(stopMargin/2))
	defer cancel()
	if err := n.server.Shutdown(c); err != nil {
		_ = n.server.Close()
	}
	// Requests of other hosts end, too; none of them begins on a tunnel after its maximum age.
	for n.tunnelServer.Open() > 0 && time.Now().Before(deadline) {
		wait.For(c, drainPollInterval)
	}
	n.tunnelServer.Close()
	n.permitServer.Close()
	for _, s := range n.auxServers {
		_ = s.Close()
	}
}
