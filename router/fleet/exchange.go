package fleet

import (
	"encoding/json"
	"time"

	log "github.com/sirupsen/logrus"
)

// Hosts of a failure domain tell each other small figures, for example how loaded they are, in the calls that relay
// the list of targets: each host offers its own figures to a relay of its domain, which answers with a summary of
// all offers. So no call is made for them, and each host sends and receives as much in a domain of any size. A
// different relay is asked each time, as each knows only the offers that it was sent. In a fleet without relays
// a host's summary holds its own offer alone.

// Aggregate is a summary of figures of the hosts of a failure domain. Its methods may be called concurrently.
type Aggregate interface {
	// Offer returns this host's figures in JSON, nil if there are none.
	Offer(now time.Time) json.RawMessage
	// Collect replaces what a host offered before. An error means that the offer can't be read; it is ignored.
	Collect(host string, offer json.RawMessage, now time.Time) error
	// Summary summarises the offers in JSON, nil if there are none. Offers that are too old don't count.
	Summary(now time.Time) json.RawMessage
	// Apply replaces the summary that this host goes by. An error means that it can't be read; the one before stays.
	Apply(summary json.RawMessage, now time.Time) error
}

// figures are the offers or the summaries of a call, by the name of their aggregate.
type figures map[string]json.RawMessage

// exchangeInterval is the time between two exchanges of a host. It bounds how old figures are, and what relays
// send and decode.
const exchangeInterval = time.Second

// exchanger keeps the aggregates of one host.
type exchanger struct {
	host       string
	aggregates map[string]Aggregate
	due        time.Time // of the next exchange; guarded by Fleet.mu
	turn       int       // of the relays; guarded by Fleet.mu
}

// exchangeDue reports whether the next call to a relay exchanges figures, and if so which relay's turn it is.
func (f *Fleet) exchangeDue(now time.Time) (turn int, due bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := &f.exchange
	if len(e.aggregates) == 0 || now.Before(e.due) {
		return 0, false
	}
	e.due = now.Add(exchangeInterval)
	e.turn++
	return e.turn, true
}

// offers returns this host's figures for a relay.
func (e *exchanger) offers(now time.Time) figures {
	return e.encode(func(a Aggregate) json.RawMessage { return a.Offer(now) })
}

// summaries returns what this host answers to offers.
func (e *exchanger) summaries(now time.Time) figures {
	return e.encode(func(a Aggregate) json.RawMessage { return a.Summary(now) })
}

// encode returns the figures of all aggregates that have any.
func (e *exchanger) encode(figuresOf func(Aggregate) json.RawMessage) figures {
	all := figures{}
	for name, a := range e.aggregates {
		if data := figuresOf(a); data != nil {
			all[name] = data
		}
	}
	return all
}

// collect adds the offers of a host.
func (e *exchanger) collect(host string, offers figures, now time.Time) {
	e.decode(host, offers, func(a Aggregate, offer json.RawMessage) error { return a.Collect(host, offer, now) })
}

// apply applies the summaries of a relay.
func (e *exchanger) apply(from string, summaries figures, now time.Time) {
	e.decode(from, summaries, func(a Aggregate, summary json.RawMessage) error { return a.Apply(summary, now) })
}

// decode passes another host's figures to their aggregates. Those of unknown names come from a later build.
func (e *exchanger) decode(from string, all figures, read func(Aggregate, json.RawMessage) error) {
	for name, data := range all {
		a := e.aggregates[name]
		if a == nil {
			continue
		}
		if err := read(a, data); err != nil {
			log.WithFields(log.Fields{"peer": from, "figures": name}).WithError(err).Error("cannot read the figures of another host")
		}
	}
}

// exchangeWithSelf is the exchange of a host that is a relay itself.
func (e *exchanger) exchangeWithSelf(now time.Time) {
	e.collect(e.host, e.offers(now), now)
	e.apply(e.host, e.summaries(now), now)
}
