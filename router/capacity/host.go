package capacity

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	log "github.com/sirupsen/logrus"
)

// Parameters of the decision which callers should use other hosts. Fractions are of the host's capacity.
const (
	// busyFraction is the use from which a host takes no new callers: load can double within the three seconds until
	// callers have moved, and requests that wait in a full link are late before the host reads them.
	busyFraction = 0.5
	// sheddingFraction is the use above which a host that takes no new callers closes connections of callers. Below it
	// they stay: they are served in time, and all that move at once come to one host together.
	sheddingFraction = 0.7
	// calmFraction is the use below which a host takes new callers again: it can bear about as much again as it has.
	calmFraction = 0.25
	// fullFraction is the use from which a host that knows nothing of the others stops taking callers: any other host
	// will probably serve them better.
	fullFraction = 0.9
	// maxOutFraction is the fraction of the hosts of a failure domain that may take no new callers. Load balancers
	// ignore readiness once half of the hosts are out; others may be out for other reasons, and several hosts may
	// decide before they know of each other.
	maxOutFraction = 1.0 / 3
	// blockFraction is the fraction of a host's use from which an organisation is the cause of it: its callers
	// came to this host as a block, so the other hosts are not in the same situation at the same moment.
	blockFraction = 0.5
	// minOutTime is how long a host takes no new callers at least: callers have moved after noticeTime, and must not
	// be sent back at once.
	minOutTime = 4 * time.Second
	// noticeTime is the time until load balancers have noticed that a host is not ready: two checks, a second apart.
	// Callers whose connections are closed before then come back.
	noticeTime = 2 * time.Second
	// decisionInterval is the time between two decisions, short compared to noticeTime.
	decisionInterval = 200 * time.Millisecond
)

// Host decides for one host. A nil Host decides nothing. It is safe for concurrent use.
type Host struct {
	capacity float64 // bytes per second that the link can carry, in each direction
	leaving  func(now time.Time) bool
	relayed  *meter[string] // by organisation; each byte passes the link in both directions
	admission

	mu       sync.Mutex
	offers   offers
	view     summary
	viewAt   time.Time          // zero: no summary yet
	busyFrom time.Time          // when the host became busy; zero: it isn't
	outSince time.Time          // zero: it takes new callers
	excess   map[string]float64 // part of each organisation's use that exceeds its fair share
}

// New returns the decisions of a host whose link carries linkMbps in each direction; nil if that is 0. leaving reports
// whether the host is not ready for another reason.
func New(linkMbps float64, leaving func(now time.Time) bool) *Host {
	if linkMbps <= 0 {
		return nil
	}
	const bytesPerMbit = 1e6 / 8
	return &Host{capacity: linkMbps * bytesPerMbit, leaving: leaving, relayed: newMeter[string](), admission: newAdmission(), offers: offers{}}
}

// A packet on the link carries up to payloadBytes, and as overhead its headers and an acknowledgement.
const (
	payloadBytes  = 1400
	overheadBytes = 100
)

// Relayed counts bytes that were received and sent on for an organisation in one piece; "" is for the host itself.
func (h *Host) Relayed(organisation string, bytes int, now time.Time) {
	if h != nil {
		h.relayed.add(organisation, LinkBytes(bytes), now)
	}
}

// LinkBytes returns how much of the link a piece of data takes.
func LinkBytes(bytes int) float64 { return float64(bytes + (bytes/payloadBytes+1)*overheadBytes) }

// Run calls Decide every decisionInterval until ctx ends.
func (h *Host) Run(ctx context.Context) {
	if h == nil {
		return
	}
	tick := time.NewTicker(decisionInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			h.Decide(now)
		}
	}
}

// Decide decides which callers and which requests the host takes until the next decision.
func (h *Host) Decide(now time.Time) {
	h.decide(now)
	h.admission.decide(h.capacity, now)
}

// Out reports whether callers should use other hosts.
func (h *Host) Out(now time.Time) bool {
	if h == nil {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.outSince.IsZero()
}

// out reports whether the host takes no new callers, for whatever reason.
func (h *Host) out(now time.Time) bool { return h.Out(now) || h.leaving(now) }

// ShouldClose reports whether to close the connection of a caller of an organisation, so that it moves to another host:
// some connections of the organisations that use more than a fair share of what the host should carry, spread over
// the requests of a second.
func (h *Host) ShouldClose(organisation string, now time.Time) bool {
	if h == nil {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.outSince.IsZero() || now.Sub(h.outSince) < noticeTime {
		return false
	}
	return rand.Float64() < h.excess[organisation]
}

// Use returns the part of the link's capacity that is in use.
func (h *Host) Use(now time.Time) float64 {
	if h == nil {
		return 0
	}
	_, use := h.relayed.use(now)
	return use / h.capacity
}

// HasRoom reports whether the host can carry connections of other hosts beside its own.
func (h *Host) HasRoom(now time.Time) bool { return h.Use(now) < busyFraction }

// decide decides whether the host takes new callers, and which connections it closes.
func (h *Host) decide(now time.Time) {
	organisations, total := h.relayed.use(now)
	use := total / h.capacity
	block := dominant(organisations, total)
	h.mu.Lock()
	defer h.mu.Unlock()
	if use < busyFraction {
		h.busyFrom = time.Time{}
	} else if h.busyFrom.IsZero() {
		h.busyFrom = now
	}
	h.excess = excess(organisations, sheddingFraction*h.capacity)
	switch {
	case h.outSince.IsZero() && h.stepsOut(use, block != "", now):
		h.outSince = now
		h.logDecision("host takes no new callers", use, block, now)
	case !h.outSince.IsZero() && h.returns(use, now):
		h.outSince = time.Time{}
		h.logDecision("host takes new callers again", use, block, now)
	}
}

// logDecision logs a decision. The lock is held.
func (h *Host) logDecision(message string, use float64, block string, now time.Time) {
	fields := log.Fields{"use_percent": int(100 * use), "organisation": block}
	if h.viewIsCurrent(now) {
		fields["hosts"], fields["out"] = h.view.Hosts, h.view.Out
		fields["room"], fields["age"] = int(h.view.Room), now.Sub(h.viewAt).Round(time.Millisecond)
	}
	log.WithFields(fields).Info(message)
}

// excess returns the part of each organisation's use that exceeds its fair share of a limit.
func excess(organisations map[string]float64, limit float64) map[string]float64 {
	level := fairLevel(organisations, limit)
	parts := map[string]float64{}
	for organisation, n := range organisations {
		if n > level {
			parts[organisation] = 1 - level/n
		}
	}
	return parts
}

// dominant returns the organisation that causes a host's use, "" if none does.
func dominant(organisations map[string]float64, total float64) string {
	for organisation, n := range organisations {
		if n >= blockFraction*total {
			return organisation
		}
	}
	return ""
}

// stepsOut decides whether a host that takes new callers stops; block says that one organisation causes its use. The
// lock is held.
func (h *Host) stepsOut(use float64, block bool, now time.Time) bool {
	switch {
	case use < busyFraction:
		return false
	case !h.viewIsCurrent(now):
		return use >= fullFraction
	case float64(h.view.Out+1) > h.maxOut():
		return false
	case !block && h.viewAt.Before(h.busyFrom):
		return false // the others may have become busy at the same moment
	}
	return h.view.Room > (use-calmFraction)*h.capacity
}

// returns decides whether a host that takes no new callers does so again. The lock is held.
func (h *Host) returns(use float64, now time.Time) bool {
	if now.Sub(h.outSince) < minOutTime {
		return false
	}
	if h.viewIsCurrent(now) && float64(h.view.Out) > h.maxOut() {
		// As many as are too many return at random within about a second, when the next summary arrives.
		tooMany := 1 - h.maxOut()/float64(h.view.Out)
		return rand.Float64() < tooMany*decisionInterval.Seconds()
	}
	return use < calmFraction
}

// viewIsCurrent reports whether the host knows how the others are. The lock is held.
func (h *Host) viewIsCurrent(now time.Time) bool {
	return h.view.Hosts > 1 && now.Sub(h.viewAt) <= maxViewAge
}

// maxOut is how many of the hosts that the summary covers may take no new callers. The lock is held.
func (h *Host) maxOut() float64 { return maxOutFraction * float64(h.view.Hosts) }
