package fleet

import (
	"context"
	"time"

	log "github.com/sirupsen/logrus"

	"maststage.dev/lib/rendezvous"
	"maststage.dev/router/eventlog"
	"maststage.dev/router/keeper"
	"maststage.dev/router/replica"
)

// Bounds on relays. The list of targets grows with their number, and so does the load on the log
// from each relay of the list; in a large fleet a few hosts of each failure domain read it and
// relay its changes to the others.
const (
	hostsPerRelay  = 12                     // in a failure domain
	maxRelaysAsked = 2                      // before the log is read instead
	relayTimeout   = 150 * time.Millisecond // for a response
	relayMaxAge    = 900 * time.Millisecond // older responses are ignored
)

// Relay asks a relay of a topic in this host's failure domain for the changes from a position
// on. ok is false if this host is a relay itself, or no relay has a fresh response.
func (f *Fleet) Relay(ctx context.Context, topic string, from eventlog.Position) (update replica.Update, ok bool) {
	if _, forOthers := f.ReadsLog(); forOthers {
		f.exchangeFigures(ctx)
		return replica.Update{}, false
	}
	turn, exchange := f.exchangeDue(time.Now())
	relays := f.relays(topic, turn)
	if exchange && len(relays) == 0 {
		f.exchange.exchangeWithSelf(time.Now())
	}
	for _, address := range relays[:min(len(relays), maxRelaysAsked)] {
		request := newPullRequest(map[string]eventlog.Position{topic: from})
		if exchange {
			request.Host, request.Offers = f.opts.Self.Name, f.exchange.offers(time.Now())
		}
		var response pullResponse
		call, cancel := context.WithTimeout(ctx, relayTimeout)
		err := f.client.callWithTimeout(call, address, pathPull, request, &response)
		cancel()
		f.recordCallResult(address, err)
		if err == nil {
			f.exchange.apply(address, response.Summaries, time.Now())
		}
		encoded, found := response.Topics[topic]
		if err != nil || !found {
			continue
		}
		update, err = encoded.update()
		if err != nil {
			log.WithField("peer", address).WithError(err).Error("cannot decode records from another host")
			continue
		}
		if update.Age <= relayMaxAge {
			return update, true
		}
	}
	return replica.Update{}, false
}

// relays lists the addresses of the hosts that read a topic for this one, in an order that differs
// between hosts and turns. It is empty in a small fleet and if this host is a relay.
func (f *Fleet) relays(topic string, turn int) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	domains, total := f.domainSizes()
	if total <= keeper.SmallFleet {
		return nil
	}
	same := append(f.domainPeers(), peerState{host: f.opts.Self})
	ranked := rendezvous.Rank(topic, same, func(peer peerState) string { return peer.host.Name })
	ranked = ranked[:min(len(ranked), relayCount(domains[f.opts.Self.Domain]))]
	for _, peer := range ranked {
		if peer.host.Name == f.opts.Self.Name {
			return nil
		}
	}
	return f.rotatedAddresses(topic, ranked, turn)
}

func relayCount(hosts int) int { return (hosts + hostsPerRelay - 1) / hostsPerRelay }
