package node

import (
	"context"
	"net/http"
	"time"

	log "github.com/sirupsen/logrus"

	"maststage.dev/lib/graceful"
	"maststage.dev/lib/wait"
	"maststage.dev/router/settings"
)

// callerServer makes the server for callers. Its limits are those of the
// configuration in force when a connection is used; until there is one, defaults.
func (n *Node) callerServer() *graceful.Server {
	return graceful.New(&http.Server{
		Handler:           n.handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          nil,
	})
}

// Limits until a configuration says otherwise.
const (
	headerTimeout  = 10 * time.Second
	idleTimeout    = 60 * time.Second
	maxHeaderBytes = 64 << 10
)

// Figures of a planned stop.
const (
	// noticeTime is how long callers' new connections are still taken, until
	// whoever balances them has noticed.
	noticeTime = 2500 * time.Millisecond
	// streamTime and answerTime are how long new streams and other requests are
	// still taken: callers may go on coming when few hosts are left.
	streamTime = 3 * time.Second
	answerTime = 4500 * time.Millisecond
	// stopMargin of the grace time is kept free for the process's end.
	stopMargin  = 400 * time.Millisecond
	returnTime  = time.Second
	drainLook   = 20 * time.Millisecond
	quietBefore = 300 * time.Millisecond // without a request before idle connections are closed
)

// stopPart scales the times above to a grace time that is shorter than they expect.
func (n *Node) stopPart(d time.Duration) time.Duration {
	return min(d, time.Duration(float64(d)/float64(usualGrace)*float64(settings.Seconds(n.cfg.Bounds.GraceS))))
}

const usualGrace = 8 * time.Second

// Takes says whether a new request may begin here: a host that is stopping takes
// none that it might not finish.
func (n *Node) Takes(streaming bool) bool {
	began := n.stopBegan.Load()
	if began == nil {
		return true
	}
	if streaming {
		return time.Since(*began) < n.stopPart(streamTime)
	}
	return time.Since(*began) < n.stopPart(answerTime)
}

// Stop begins a planned stop: the host is no longer ready, finishes what it has
// and ends within the grace time.
func (n *Node) Stop() {
	n.stopOnce.Do(func() {
		now := time.Now()
		n.stopBegan.Store(&now)
		log.WithFields(log.Fields{"open": n.handler.InFlight()}).Info("planned stop begins")
		close(n.stopping)
	})
}

// drain waits until no request is under way and none has come for a moment, and
// gives back what this host holds.
func (n *Node) drain(ctx context.Context) {
	started := time.Now()
	last := started.Add(settings.Seconds(n.cfg.Bounds.GraceS) - stopMargin)
	quietSince := started
	for time.Now().Before(last) && ctx.Err() == nil {
		now := time.Now()
		if n.handler.InFlight() > 0 {
			quietSince = now
		}
		noticed := now.Sub(started) > n.stopPart(noticeTime) && now.Sub(quietSince) > quietBefore
		refusing := !n.Takes(false) && n.handler.InFlight() == 0
		if noticed || refusing {
			break
		}
		wait.For(ctx, drainLook)
	}
	n.giveBack(ctx)
	n.finish(last)
	log.WithFields(log.Fields{"open": n.handler.InFlight(), "took": time.Since(started).Round(time.Millisecond)}).Info("planned stop done")
}

// giveBack returns free tokens, to the log or, while that is out of reach, to
// another host, and takes the announcement back.
func (n *Node) giveBack(ctx context.Context) {
	c, cancel := context.WithTimeout(ctx, returnTime)
	defer cancel()
	up, _ := n.configCopy.Up()
	if up {
		if err := n.treasury.Close(c); err != nil {
			log.WithError(err).Warn("free tokens not given back to the log")
		}
	}
	n.treasury.TransferAll(c, n.fleet.Transfer)
	if !up {
		return
	}
	if err := n.fleet.Leave(c); err != nil {
		log.WithError(err).Warn("announcement not taken back")
	}
}

// finish answers what is on its way, closes idle connections and waits for the rest until
// the grace time ends.
func (n *Node) finish(last time.Time) {
	c, cancel := context.WithDeadline(context.Background(), last.Add(stopMargin/2))
	defer cancel()
	if err := n.server.Shutdown(c); err != nil {
		_ = n.server.Close()
	}
	for _, s := range n.aux {
		_ = s.Close()
	}
}
