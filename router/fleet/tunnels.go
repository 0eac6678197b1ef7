package fleet

import "maststage.dev/router/tunnel"

// TunnelHosts lists the active hosts that open tunnels. regionOf returns the region of a failure domain.
func (f *Fleet) TunnelHosts(regionOf func(domain string) string) []tunnel.Host {
	peers := f.tunnelPeers()
	own := regionOf(f.opts.Self.Domain)
	list := make([]tunnel.Host, 0, len(peers))
	for _, h := range peers {
		list = append(list, tunnel.Host{
			Name: h.Name, Address: h.Address, Key: h.TunnelKey, LinkMbps: h.LinkMbps,
			Near: h.Domain == f.opts.Self.Domain || regionOf(h.Domain) == own,
		})
	}
	return list
}

func (f *Fleet) tunnelPeers() (peers []Host) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, peer := range f.hosts {
		if peer.host.TunnelKey != "" && f.isActive(name, peer) {
			peers = append(peers, peer.host)
		}
	}
	return peers
}
