package fleet

import (
	"context"
	"time"

	log "github.com/sirupsen/logrus"

	"maststage.dev/lib/patience"
)

// cutOffTime is how long no reader may have responded before a follower reads topics itself.
const cutOffTime = 2500 * time.Millisecond

// silenceOf is how long a reader may be silent before another way to a topic is tried, which this host may read itself or
// not.
func (r *readers) silenceOf(readsAlone bool) time.Duration {
	const most = followHold + followTimeout
	r.mu.Lock()
	defer r.mu.Unlock()
	if !readsAlone {
		return most
	}
	return min(most, max(cutOffTime-time.Since(r.since), minFollowTime))
}

// cutOff reports whether this host follows readers and none has responded for cutOffTime.
func (r *readers) cutOff() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.mode != following || time.Since(r.since) < cutOffTime {
		return false
	}
	if !r.alone {
		r.alone = true
		log.WithField("readers", len(r.others)).Warn("no reader responds; this host reads the log itself")
	}
	return true
}

// probe asks a reader whether it responds, if this host has been cut off from them.
func (r *readers) probe(ctx context.Context) {
	r.mu.Lock()
	alone := r.alone
	r.mu.Unlock()
	address := r.next(nil)
	if !alone || address == "" {
		return
	}
	timeout := r.fleet.opts.CallTimeout
	request := newPullRequest(nil)
	request.EndsOnly = true
	_, err := patience.Await(ctx, patience.Limits{First: timeout, Silence: timeout, Most: maxFetchTime}, lateGrace,
		func(ctx context.Context) (response pullResponse, err error) {
			return response, r.fleet.client.call(ctx, address, pathPull, request, &response)
		},
		func(pullResponse) { r.responded() })
	if ctx.Err() != nil {
		return
	}
	r.fleet.recordCallResult(address, err)
	if err == nil {
		r.responded()
	}
}
