package node

import (
	"context"
	"time"

	"maststage.dev/lib/guard"
	"maststage.dev/router/permit"
)

// newPermits makes what asks for permits to send to brittle targets, and what schedules them for other hosts.
func (n *Node) newPermits(incarnation string) {
	n.permitServer = permit.NewServer(n.peerKey)
	n.permits = permit.NewClient(permit.Options{
		Self: n.cfg.Host.Name + "/" + incarnation, Server: n.permitServer, Prepare: n.prepareTunnel,
		Schedulers: func(service string) ([]permit.Host, int) { return n.fleet.PermitSchedulers(service) },
	})
}

// permitConnectTimeout bounds the connection to the scheduler ahead of need.
const permitConnectTimeout = time.Second

// brittle connects to the scheduler of a service whose targets begin to be brittle.
func (n *Node) brittle(service string) {
	guard.Go("scheduler of permits", func() {
		ctx, cancel := context.WithTimeout(context.Background(), permitConnectTimeout)
		defer cancel()
		n.permits.Connect(ctx, service)
	})
}
