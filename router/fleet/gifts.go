package fleet

import (
	"context"
	"strconv"
	"time"

	"maststage.dev/lib/wait"
)

// Bounds of a gift.
const (
	giveTimeout = 200 * time.Millisecond // for one answer; hosts answer each other within a few ms
	giveLimit   = time.Second            // for the whole gift, which is what a planned stop has for it
	givePause   = 20 * time.Millisecond  // before a gift without an answer is repeated
)

// peerHost is a host that tokens may be given to.
type peerHost struct {
	address     string
	incarnation string // empty: not known yet
}

// TransferIdle gives tokens to a keeper of the budget.
func (f *Fleet) TransferIdle(ctx context.Context, organisation string, tokens int64) bool {
	return f.giveTo(ctx, f.peerHosts(f.lenders(organisation)), organisation, tokens)
}

// Transfer hands tokens over to another host.
func (f *Fleet) Transfer(ctx context.Context, organisation string, tokens int64) bool {
	list := f.addresses()
	if lenders := f.lenders(organisation); lenders != nil {
		list = append(lenders, list...)
	}
	return f.giveTo(ctx, f.peerHosts(list), organisation, tokens)
}

// peerHosts adds what is known of the hosts at some addresses.
func (f *Fleet) peerHosts(addresses []string) []peerHost {
	f.mu.Lock()
	defer f.mu.Unlock()
	incarnations := map[string]string{}
	for _, k := range f.hosts {
		incarnations[k.host.Address] = k.host.Incarnation
	}
	list := make([]peerHost, 0, len(addresses))
	for _, a := range addresses {
		list = append(list, peerHost{address: a, incarnation: incarnations[a]})
	}
	return list
}

// gift is how an offer of tokens to one host ended.
type gift int

const (
	giftTaken       gift = iota
	giftRefused          // the host said no
	giftUnreachable      // the host did not get the offer
	giftUncertain        // the host may have taken the tokens without telling
)

// giveTo hands tokens over to one host. The next one is tried only if the one before surely
// did not take them; those that were out of reach are tried again while there is time, since
// tokens that nobody takes are lost.
func (f *Fleet) giveTo(ctx context.Context, hosts []peerHost, organisation string, tokens int64) bool {
	ctx, cancel := context.WithTimeout(ctx, giveLimit)
	defer cancel()
	for len(hosts) > 0 && ctx.Err() == nil {
		var unreachable []peerHost
		for _, host := range hosts {
			switch f.giveOne(ctx, host, organisation, tokens) {
			case giftTaken:
				return true
			case giftUncertain:
				return false
			case giftUnreachable:
				unreachable = append(unreachable, host)
			}
		}
		hosts = unreachable
		wait.For(ctx, givePause)
	}
	return false
}

// giveOne offers tokens to one host. A call without an answer is repeated with the id of
// the first, to the same incarnation: a host keeps what it answered as long as it lives.
func (f *Fleet) giveOne(ctx context.Context, host peerHost, organisation string, tokens int64) gift {
	ask := giveRequest{ID: f.newGift(), Incarnation: host.incarnation, Organisation: organisation, Tokens: tokens}
	unanswered := false
	for {
		var got giveResponse
		call, cancel := context.WithTimeout(ctx, giveTimeout)
		err := f.calls.do(call, host.address, pathGive, ask, &got)
		cancel()
		switch {
		case err == nil && got.Took:
			return giftTaken
		case err == nil && got.Incarnation == ask.Incarnation:
			return giftRefused
		case err == nil && unanswered:
			return giftUncertain // the incarnation before may have taken them
		case err == nil:
			ask.Incarnation = got.Incarnation
			continue
		case notSent(err) && !unanswered:
			return giftUnreachable
		case !notSent(err):
			unanswered = true
		}
		if ctx.Err() != nil {
			return giftUncertain
		}
		wait.For(ctx, givePause)
	}
}

// newGift gives the id of a gift, unique among all.
func (f *Fleet) newGift() string {
	self := f.opts.Self
	return self.Name + "/" + self.Incarnation + "/" + strconv.FormatInt(f.gifts.Add(1), 36)
}
