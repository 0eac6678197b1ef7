package fleet

import (
	"sync"
	"time"

	"maststage.dev/router/eventlog"
	"maststage.dev/router/replica"
)

// packCache keeps encoded updates that many hosts ask for at the same time: whole topics after a start, and the newest
// change.
type packCache struct {
	mu     sync.Mutex
	topics map[string]*topicPacks
}

// topicPacks are the updates of one topic.
type topicPacks struct {
	mu     sync.Mutex // held while an update is encoded: others want the same
	whole  cachedPack
	newest cachedPack
}

// cachedPack is an encoded update.
type cachedPack struct {
	from   eventlog.Position
	update topicUpdate
	at     time.Time // when it was encoded
}

// maxWholePackAge is how long the encoded whole of a topic is used. Hosts then ask for what changed since.
const maxWholePackAge = time.Second

// update returns the changes of a replica from a position on, encoded.
func (p *packCache) update(topic string, c *replica.Replica, from eventlog.Position) (topicUpdate, error) {
	packs := p.topic(topic)
	packs.mu.Lock()
	defer packs.mu.Unlock()
	age := c.Age() // read before the end, so that it is not that of a later response with more records
	switch whole, newest := packs.whole, packs.newest; {
	case from == (eventlog.Position{}):
		// Hosts that know a topic as empty ask for all of it, too: an empty pack would hide its first change.
		if time.Since(whole.at) < maxWholePackAge && from.Before(whole.update.end()) {
			return whole.aged(), nil
		}
	case newest.from == from && newest.update.end() == c.End():
		newest.update.AgeMs = age.Milliseconds()
		return newest.update, nil
	}
	update, err := newTopicUpdate(c.CatchUpFrom(from))
	if err != nil {
		return topicUpdate{}, err
	}
	pack := cachedPack{from: from, update: update, at: time.Now()}
	if from == (eventlog.Position{}) {
		packs.whole = pack
	} else {
		packs.newest = pack
	}
	return update, nil
}

// aged returns the update with its present age.
func (p cachedPack) aged() topicUpdate {
	update := p.update
	update.AgeMs += time.Since(p.at).Milliseconds()
	return update
}

func (p *packCache) topic(name string) *topicPacks {
	p.mu.Lock()
	defer p.mu.Unlock()
	packs := p.topics[name]
	if packs == nil {
		packs = &topicPacks{}
		if p.topics == nil {
			p.topics = map[string]*topicPacks{}
		}
		p.topics[name] = packs
	}
	return packs
}
