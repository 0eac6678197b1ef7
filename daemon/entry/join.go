package entry

import (
	"context"

	"google.golang.org/protobuf/proto"

	peerv1 "maststage.dev/api/peer/v1"
	"maststage.dev/daemon/run"
	"maststage.dev/fold/view"
)

// join looks for the run that an earlier attempt may have started and relays its response. ended is
// false if no host that may have the run has it: each denied it or was given up by waitsFor.
func (f *forwarding) join(ctx context.Context) (ended bool, err error) {
	for _, m := range f.holders() {
		if ended, err := f.joinAt(ctx, m); ended {
			return true, err
		}
	}
	return false, nil
}

// joinAt asks one host for the run until it answers or is given up by waitsFor.
func (f *forwarding) joinAt(ctx context.Context, m view.Member) (ended bool, err error) {
	for {
		o := f.attempt(ctx, m, f.joinRequest())
		if ended, err := f.ended(ctx, &o); ended {
			return true, err
		}
		if o.lost == nil || !f.waitsFor(ctx, m, o) {
			return false, nil
		}
	}
}

// joinRequest returns a copy of the request that may only join a run.
func (f *forwarding) joinRequest() *peerv1.ExecuteRequest {
	req := proto.CloneOf(f.req)
	req.JoinOnly = true
	return req
}

// holders returns the hosts that may have a run of the request: its replicas now and those in the
// views of the last minute, since a run stays where it started when the view changes.
func (f *forwarding) holders() []view.Member {
	id := run.Key(f.req.Organisation, f.req.RequestId)
	now, _, _ := f.router.store.Replicas(id, f.router.region)
	return append(now, f.router.store.PastReplicas(id, f.router.region)...)
}
