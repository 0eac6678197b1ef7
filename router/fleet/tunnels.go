package fleet

import (
	"maststage.dev/lib/rendezvous"
	"maststage.dev/router/permit"
	"maststage.dev/router/tunnel"
)

// TunnelHosts lists the active hosts that open tunnels. regionOf returns the region of a failure domain.
func (f *Fleet) TunnelHosts(regionOf func(domain string) string) []tunnel.Host {
	peers := f.keyedPeers()
	own := regionOf(f.opts.Self.Domain)
	list := make([]tunnel.Host, 0, len(peers))
	for _, h := range peers {
		list = append(list, tunnel.Host{
			Name: h.Name, Address: h.Address, Key: h.PeerKey, LinkMbps: h.LinkMbps,
			Near: h.Domain == f.opts.Self.Domain || regionOf(h.Domain) == own,
		})
	}
	return list
}

// keyedPeers lists the active hosts that open tunnels and schedule permits.
func (f *Fleet) keyedPeers() (peers []Host) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, peer := range f.hosts {
		if peer.host.PeerKey != "" && f.isActive(name, peer) {
			peers = append(peers, peer.host)
		}
	}
	return peers
}

// maxSchedulers is how many hosts are tried as the scheduler of a service's permits.
const maxSchedulers = 3

// PermitSchedulers returns the hosts that may schedule the permits of a service, the same ones in every host's view, and
// the place of this host among them, -1 if it is none of them.
func (f *Fleet) PermitSchedulers(service string) (hosts []permit.Host, self int) {
	all := append(f.keyedPeers(), f.opts.Self)
	all = rendezvous.Rank("permits/"+service, all, func(h Host) string { return h.Name })
	self = -1
	for i, h := range all[:min(len(all), maxSchedulers)] {
		if h.Name == f.opts.Self.Name {
			self = i
		}
		hosts = append(hosts, permit.Host{Name: h.Name, Address: h.Address, Key: h.PeerKey})
	}
	return hosts, self
}
