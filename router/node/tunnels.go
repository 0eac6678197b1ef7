package node

import (
	"crypto/rand"
	"fmt"
	"net"
	"time"

	"maststage.dev/router/httpconn"
	"maststage.dev/router/settings"
	"maststage.dev/router/tunnel"
)

// newTunnels makes what opens connections to targets through other hosts.
func (n *Node) newTunnels() *tunnel.Dialer {
	n.tunnels = tunnel.NewDialer(tunnel.Options{
		Hosts:   func() []tunnel.Host { return n.fleet.TunnelHosts(n.targets.RegionOf) },
		Prepare: n.prepareTunnel,
		OnOpen:  func(outcome string) { n.observer.Count(fmt.Sprintf("tunnels_total{outcome=%q}", outcome)) },
	})
	return n.tunnels
}

// newTunnelServer makes what opens such connections for other hosts.
func (n *Node) newTunnelServer() {
	n.peerKey = rand.Text()
	n.tunnelServer = tunnel.NewServer(tunnel.ServerOptions{
		Key: n.peerKey, Dial: n.targets.DialFor, Stopping: n.Draining,
		Busy: func() bool {
			now := time.Now()
			return !n.capacity.HasRoom(now) || n.overload.Overloaded(now)
		},
		Prepare: n.prepareTunnel,
		Copied:  func(bytes int) { n.capacity.Relayed("", bytes, time.Now()) },
		OnOpen:  func(outcome string) { n.observer.Count(fmt.Sprintf("tunnels_carried_total{outcome=%q}", outcome)) },
	})
}

// prepareTunnel makes a connection between hosts notice as soon as one to a target that its other side is gone.
func (n *Node) prepareTunnel(nc net.Conn) {
	httpconn.DetectDead(nc, settings.Milliseconds(n.cfg.Targets.UserTimeoutMs))
}
