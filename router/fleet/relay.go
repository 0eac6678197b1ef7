package fleet

import (
	"context"
	"time"

	log "github.com/sirupsen/logrus"

	"maststage.dev/lib/rendezvous"
	"maststage.dev/router/keeper"
	"maststage.dev/router/replica"
)

// Figures of relays. The list of targets grows with the targets, and so does what
// each reader of it costs the log; in a large fleet a few hosts of each failure domain
// read it and the others ask them for what changed.
const (
	readerGroup  = 12                     // hosts of a failure domain to one reader
	relayAsked   = 2                      // readers asked before the log is
	relayTimeout = 150 * time.Millisecond // for an answer
	relayMaxAge  = 900 * time.Millisecond // an older answer does not count
)

// Relay asks a reader of a topic in this host's failure domain for what changed from
// an offset on. ok is false if this host is a reader itself, or none has a fresh answer.
func (f *Fleet) Relay(ctx context.Context, topic string, from int64) (part replica.Update, ok bool) {
	readers := f.readers(topic)
	for _, address := range readers[:min(len(readers), relayAsked)] {
		ask := pullRequest{From: map[string]int64{topic: from}}
		var got pullResponse
		call, cancel := context.WithTimeout(ctx, relayTimeout)
		err := f.calls.do(call, address, pathPull, ask, &got)
		cancel()
		f.noteSilent(address, err)
		answer, told := got.Topics[topic]
		if err != nil || !told {
			continue
		}
		part, err = answer.part()
		if err != nil {
			log.WithField("peer", address).WithError(err).Error("records of another host can't be read")
			continue
		}
		if part.Age <= relayMaxAge {
			return part, true
		}
	}
	return replica.Update{}, false
}

// readers lists the addresses of the hosts that read a topic for this one, in another
// order for each host; none in a small fleet, and none if this host is a reader.
func (f *Fleet) readers(topic string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	domains, total := f.domains()
	if total <= keeper.SmallFleet {
		return nil
	}
	same := append(f.domainMates(), known{host: f.opts.Self})
	ranked := rendezvous.Rank(topic, same, func(k known) string { return k.host.Name })
	ranked = ranked[:min(len(ranked), readersOf(domains[f.opts.Self.Domain]))]
	for _, k := range ranked {
		if k.host.Name == f.opts.Self.Name {
			return nil
		}
	}
	return f.inTurn(topic, ranked)
}

func readersOf(hosts int) int { return (hosts + readerGroup - 1) / readerGroup }
