package fleet

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"time"
)

// Bounds on what hosts tell each other of the tokens they hold.
const (
	maxOfferedHoldings = 32              // of one host, the largest ones
	maxHoldersKnown    = 2               // of one budget in a summary, those with most tokens
	holdingOfferExpiry = 3 * time.Second // several times exchangeInterval
	// holderExpiry is how long hosts go by a summary. An old one costs calls in vain to hosts that hold nothing any more.
	holderExpiry = 5 * time.Second
)

// Holders tells the hosts of a failure domain which of them hold tokens of a budget that they are not keepers of.
//
// Load pattern: most callers of an organisation use one host, which therefore holds the tokens that they need. When
// it becomes too full or drains, they move to another host of its domain together. While the log is unavailable that
// host can obtain nothing, and the keepers hold little, since nobody borrowed from them.
type Holders struct {
	held func() map[string]int64

	mu      sync.Mutex
	offers  map[string]holdingOffer // by host
	holders map[string][]holder     // by organisation, as of the newest summary
	at      time.Time               // of the newest summary
}

// holdingOffer is the tokens that a host holds, by organisation.
type holdingOffer struct {
	tokens map[string]int64
	at     time.Time
}

// holder is a host that holds tokens of a budget.
type holder struct {
	Host   string `json:"host"`
	Tokens int64  `json:"tokens"`
}

// NewHolders returns an Aggregate. held returns the tokens, by organisation, that this host holds without being a
// keeper of the budget.
func NewHolders(held func() map[string]int64) *Holders {
	return &Holders{held: held, offers: map[string]holdingOffer{}}
}

// Offer returns what this host holds. One that holds nothing makes no offer, and the one before expires.
func (h *Holders) Offer(time.Time) json.RawMessage {
	held := h.held()
	largest := slices.SortedFunc(maps.Keys(held), func(a, b string) int {
		return cmp.Or(cmp.Compare(held[b], held[a]), cmp.Compare(a, b))
	})
	for _, organisation := range largest[min(len(largest), maxOfferedHoldings):] {
		delete(held, organisation)
	}
	return encodeFigures(held)
}

// Collect replaces what a host offered before.
func (h *Holders) Collect(host string, offer json.RawMessage, now time.Time) error {
	var tokens map[string]int64
	if err := json.Unmarshal(offer, &tokens); err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.offers[host] = holdingOffer{tokens: tokens, at: now}
	return nil
}

// Summary lists the hosts that hold most tokens of each budget.
func (h *Holders) Summary(now time.Time) json.RawMessage {
	h.mu.Lock()
	defer h.mu.Unlock()
	all := map[string][]holder{}
	for host, offer := range h.offers {
		if now.Sub(offer.at) > holdingOfferExpiry {
			delete(h.offers, host)
			continue
		}
		for organisation, tokens := range offer.tokens {
			all[organisation] = append(all[organisation], holder{Host: host, Tokens: tokens})
		}
	}
	for organisation, list := range all {
		slices.SortFunc(list, func(a, b holder) int {
			return cmp.Or(cmp.Compare(b.Tokens, a.Tokens), cmp.Compare(a.Host, b.Host))
		})
		all[organisation] = list[:min(len(list), maxHoldersKnown)]
	}
	return encodeFigures(all)
}

// Apply replaces the holders that this host knows of.
func (h *Holders) Apply(summary json.RawMessage, now time.Time) error {
	var holders map[string][]holder
	if err := json.Unmarshal(summary, &holders); err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.holders, h.at = holders, now
	return nil
}

// of returns the names of the hosts that hold tokens of a budget.
func (h *Holders) of(organisation string, now time.Time) []string {
	if h == nil {
		return nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if now.Sub(h.at) > holderExpiry {
		return nil
	}
	list := h.holders[organisation]
	names := make([]string, 0, maxHoldersKnown)
	for _, holder := range list[:min(len(list), maxHoldersKnown)] {
		names = append(names, holder.Host)
	}
	return names
}

// Len returns of how many budgets this host knows such holders.
func (h *Holders) Len(now time.Time) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	if now.Sub(h.at) > holderExpiry {
		return 0
	}
	return len(h.holders)
}

// encodeFigures encodes figures by organisation, which can't fail; nil if there are none.
func encodeFigures[F any](figures map[string]F) json.RawMessage {
	if len(figures) == 0 {
		return nil
	}
	data, _ := json.Marshal(figures)
	return data
}

// withHolders inserts the known holders of a budget behind its count keepers, the first names, but early enough that
// a borrower asks them. It leaves out this host and names that are listed already; the lock is held.
func (f *Fleet) withHolders(names []string, count int, organisation string) []string {
	before := min(count, maxLenders-maxHoldersKnown, len(names))
	list := slices.Clone(names[:before])
	for _, name := range append(f.opts.Holders.of(organisation, time.Now()), names[before:]...) {
		if peer, known := f.hosts[name]; known && f.isActive(name, peer) && !slices.Contains(list, name) {
			list = append(list, name)
		}
	}
	return list
}
