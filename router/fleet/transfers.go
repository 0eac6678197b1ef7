package fleet

import (
	"context"
	"strconv"
	"time"

	"maststage.dev/lib/wait"
	"maststage.dev/router/prepaid"
)

// Bounds on transfers of tokens.
const (
	transferTimeout    = 200 * time.Millisecond // for one response; hosts respond within a few ms
	transferDeadline   = time.Second            // for the whole transfer; a planned stop allows no more
	transferRetryDelay = 20 * time.Millisecond  // before an unanswered transfer is retried
)

// peerHost is a host that may receive tokens.
type peerHost struct {
	address     string
	incarnation string // empty if not known yet
}

// TransferIdle transfers idle tokens to a keeper of the budget.
func (f *Fleet) TransferIdle(ctx context.Context, organisation string, tokens int64) prepaid.TransferResult {
	return f.transferTo(ctx, f.peerHosts(f.lenders(organisation)), organisation, tokens)
}

// Transfer transfers tokens to any other host; in a large fleet it tries keepers of the budget first.
func (f *Fleet) Transfer(ctx context.Context, organisation string, tokens int64) bool {
	list := f.addresses()
	if lenders := f.lenders(organisation); lenders != nil {
		list = append(lenders, list...)
	}
	return f.transferTo(ctx, f.peerHosts(list), organisation, tokens) == prepaid.TransferAccepted
}

// peerHosts looks up the incarnations of the hosts at the given addresses.
func (f *Fleet) peerHosts(addresses []string) []peerHost {
	f.mu.Lock()
	defer f.mu.Unlock()
	incarnations := map[string]string{}
	for _, peer := range f.hosts {
		incarnations[peer.host.Address] = peer.host.Incarnation
	}
	list := make([]peerHost, 0, len(addresses))
	for _, a := range addresses {
		list = append(list, peerHost{address: a, incarnation: incarnations[a]})
	}
	return list
}

// offerResult is the outcome of an offer of tokens to one host.
type offerResult int

const (
	offerAccepted    offerResult = iota
	offerRefused                 // the host refused the tokens
	offerUnreachable             // the offer did not reach the host
	offerUncertain               // the host may have accepted the tokens without a response
)

// transferTo transfers tokens to the first host that accepts them. The next host is tried only
// if the previous one certainly did not accept them. Unreachable hosts are tried again until
// transferDeadline.
func (f *Fleet) transferTo(ctx context.Context, hosts []peerHost, organisation string, tokens int64) prepaid.TransferResult {
	ctx, cancel := context.WithTimeout(ctx, transferDeadline)
	defer cancel()
	for len(hosts) > 0 && ctx.Err() == nil {
		var unreachable []peerHost
		for _, host := range hosts {
			switch f.offerTo(ctx, host, organisation, tokens) {
			case offerAccepted:
				return prepaid.TransferAccepted
			case offerUncertain:
				return prepaid.TransferUncertain
			case offerUnreachable:
				unreachable = append(unreachable, host)
			}
		}
		hosts = unreachable
		wait.For(ctx, transferRetryDelay)
	}
	return prepaid.TransferDeclined
}

// offerTo offers tokens to one host. An unanswered call is retried with the same id and for the
// same incarnation: a host remembers its responses as long as it runs.
func (f *Fleet) offerTo(ctx context.Context, host peerHost, organisation string, tokens int64) offerResult {
	request := transferRequest{ID: f.newTransferID(), Incarnation: host.incarnation, Organisation: organisation, Tokens: tokens}
	unanswered := false
	for {
		var response transferResponse
		call, cancel := context.WithTimeout(ctx, transferTimeout)
		err := f.client.callWithTimeout(call, host.address, pathTransfer, request, &response)
		cancel()
		switch {
		case err == nil && response.Accepted:
			return offerAccepted
		case err == nil && response.Incarnation == request.Incarnation:
			return offerRefused
		case err == nil && unanswered:
			return offerUncertain // the previous incarnation may have accepted them
		case err == nil:
			request.Incarnation = response.Incarnation
			continue
		case notSent(err) && !unanswered:
			return offerUnreachable
		case !notSent(err):
			unanswered = true
		}
		if ctx.Err() != nil {
			return offerUncertain
		}
		wait.For(ctx, transferRetryDelay)
	}
}

// newTransferID returns the id of a transfer, unique among all hosts.
func (f *Fleet) newTransferID() string {
	self := f.opts.Self
	return self.Name + "/" + self.Incarnation + "/" + strconv.FormatInt(f.transferSeq.Add(1), 36)
}
