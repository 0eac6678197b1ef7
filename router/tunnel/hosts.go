package tunnel

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Host is another host that opens tunnels.
type Host struct {
	Name     string
	Address  string // IP:port
	Key      string // that it has announced
	Near     bool   // in this host's region
	LinkMbps float64
}

// Parameters of the choice of hosts.
const (
	// avoidTime is how long a host is avoided after a refusal, silence or a broken tunnel.
	avoidTime = time.Second
	// hostsMaxAge is how long the list of hosts is used.
	hostsMaxAge = 500 * time.Millisecond
	// defaultMbps stands for the unknown speed of a host's link.
	defaultMbps = 100
)

// serviceOf identifies a service at a host.
type serviceOf struct{ host, service string }

// hosts are the hosts that may be asked, and what this host knows of them.
type hosts struct {
	list func() []Host

	mu         sync.Mutex
	cached     []Host
	cachedAt   time.Time
	open       map[string]int          // tunnels of this host
	avoid      map[string]time.Time    // until when
	avoidOnly  map[serviceOf]time.Time // the same for tunnels to one service
	lastOpened map[string]time.Time    // newest tunnel, by service
}

func newHosts(list func() []Host) *hosts {
	return &hosts{list: list, open: map[string]int{}, avoid: map[string]time.Time{}, avoidOnly: map[serviceOf]time.Time{}, lastOpened: map[string]time.Time{}}
}

// pick draws a host for a tunnel to a service: of two drawn by the speed of their links the one with fewer tunnels of this
// host for its speed, so that hosts get tunnels as they can carry them and none gets all at once. Hosts in this host's
// region come first.
func (h *hosts) pick(service string, asked map[string]bool, now time.Time) (Host, bool) {
	h.refresh(now)
	h.mu.Lock()
	defer h.mu.Unlock()
	var near, far []Host
	for _, one := range h.cached {
		if asked[one.Name] || now.Before(h.avoid[one.Name]) || now.Before(h.avoidOnly[serviceOf{one.Name, service}]) {
			continue
		}
		if one.Near {
			near = append(near, one)
		} else {
			far = append(far, one)
		}
	}
	candidates := near
	if len(candidates) == 0 {
		candidates = far
	}
	if len(candidates) == 0 {
		return Host{}, false
	}
	a, b := drawBySpeed(candidates), drawBySpeed(candidates)
	if float64(h.open[b.Name])/b.speed() < float64(h.open[a.Name])/a.speed() {
		return b, true
	}
	return a, true
}

// refresh reads the list of hosts if the known one is old. The lock isn't held meanwhile: list waits for locks under which
// tunnels are closed.
func (h *hosts) refresh(now time.Time) {
	h.mu.Lock()
	old := now.Sub(h.cachedAt) > hostsMaxAge
	h.mu.Unlock()
	if !old {
		return
	}
	list := h.list()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cached, h.cachedAt = list, now
}

func (h Host) speed() float64 {
	if h.LinkMbps <= 0 {
		return defaultMbps
	}
	return h.LinkMbps
}

func drawBySpeed(list []Host) Host {
	total := 0.0
	for _, one := range list {
		total += one.speed()
	}
	at := rand.Float64() * total
	for _, one := range list {
		if at -= one.speed(); at < 0 {
			return one
		}
	}
	return list[len(list)-1]
}

// failed records that a host opened no tunnel to a service.
func (h *hosts) failed(host, service string, reason refusal, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch reason {
	case targetRefused, unreachable, unknownTarget:
		return // it says something of the target, not of the host
	case cut:
		h.avoidOnly[serviceOf{host, service}] = now.Add(avoidTime)
	default:
		h.avoid[host] = now.Add(avoidTime)
	}
}

// opened records a tunnel; the returned function records its end.
func (h *hosts) opened(host, service string, now time.Time) (release func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.open[host]++
	h.lastOpened[service] = now
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		if h.open[host]--; h.open[host] == 0 {
			delete(h.open, host)
		}
	}
}

// blame avoids a host whose tunnel broke or fell silent.
func (h *hosts) blame(host string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.avoid[host] = time.Now().Add(avoidTime)
}

// forget drops what is no longer in force.
func (h *hosts) forget(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for host, until := range h.avoid {
		if now.After(until) {
			delete(h.avoid, host)
		}
	}
	for key, until := range h.avoidOnly {
		if now.After(until) {
			delete(h.avoidOnly, key)
		}
	}
}
