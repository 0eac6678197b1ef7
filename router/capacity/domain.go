package capacity

import (
	"encoding/json"
	"errors"
	"time"
)

const (
	// offerMaxAge is how long an offer counts, and maxViewAge how long a host goes by a summary: a few exchanges,
	// which take place once a second, so that one that fails changes nothing.
	offerMaxAge = 4 * time.Second
	maxViewAge  = 4 * time.Second
)

// offer is what a host tells the others of its failure domain. Rates are in bytes per second.
type offer struct {
	Capacity float64 `json:"capacity"`
	Use      float64 `json:"use"`
	Out      bool    `json:"out,omitempty"` // not ready
}

var (
	errNegative         = errors.New("a rate is negative")
	errMoreOutThanHosts = errors.New("more hosts are out than there are")
)

func (o offer) check() error {
	if o.Capacity < 0 || o.Use < 0 {
		return errNegative
	}
	return nil
}

// summary summarises the offers that a reader of the failure domain knows. In a large domain that is a part of them,
// so only ratios of its figures are compared with bounds.
type summary struct {
	Hosts int     `json:"hosts"`
	Out   int     `json:"out"`
	Room  float64 `json:"room"` // what ready hosts can take before they are busy, bytes per second
}

func (s summary) check() error {
	if s.Out < 0 || s.Out > s.Hosts {
		return errMoreOutThanHosts
	}
	if s.Room < 0 {
		return errNegative
	}
	return nil
}

// offers are the offers that a host was sent. Their number is bounded by the hosts of the domain that reported
// within offerMaxAge.
type offers map[string]receivedOffer

type receivedOffer struct {
	offer
	at time.Time
}

func (o offers) summarise(now time.Time) summary {
	var s summary
	for host, r := range o {
		if now.Sub(r.at) > offerMaxAge {
			delete(o, host)
			continue
		}
		s.Hosts++
		if r.Out {
			s.Out++
			continue
		}
		s.Room += max(busyFraction*r.Capacity-r.Use, 0)
	}
	return s
}

// Offer implements fleet.Aggregate.
func (h *Host) Offer(now time.Time) json.RawMessage {
	if h == nil {
		return nil
	}
	_, use := h.relayed.use(now)
	return encode(offer{Capacity: h.capacity, Use: use, Out: h.out(now)})
}

// Collect implements fleet.Aggregate.
func (h *Host) Collect(host string, data json.RawMessage, now time.Time) error {
	var o offer
	if err := json.Unmarshal(data, &o); err != nil {
		return err
	}
	if err := o.check(); err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.offers[host] = receivedOffer{offer: o, at: now}
	return nil
}

// Summary implements fleet.Aggregate.
func (h *Host) Summary(now time.Time) json.RawMessage {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.offers.summarise(now)
	if s.Hosts == 0 {
		return nil
	}
	return encode(s)
}

// Apply implements fleet.Aggregate.
func (h *Host) Apply(data json.RawMessage, now time.Time) error {
	var s summary
	if err := json.Unmarshal(data, &s); err != nil {
		return err
	}
	if err := s.check(); err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.view, h.viewAt = s, now
	return nil
}

func encode(v any) json.RawMessage {
	data, err := json.Marshal(v)
	if err != nil {
		return nil // rates are finite numbers, so this can't happen
	}
	return data
}
