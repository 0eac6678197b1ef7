package entry

import (
	"context"

	"google.golang.org/protobuf/proto"

	peerv1 "maststage.dev/api/peer/v1"
	"maststage.dev/daemon/run"
	"maststage.dev/fold/view"
)

// join looks for the run that an earlier attempt may have begun and follows it. It ends without one
// when every host that may have it says that it has none, or is known to have ended.
func (f *forwarding) join(ctx context.Context) (ended bool, err error) {
	for _, m := range f.holders() {
		if ended, err := f.joinAt(ctx, m); ended {
			return true, err
		}
	}
	return false, nil
}

// joinAt asks one host for the run until it answers or is given up.
func (f *forwarding) joinAt(ctx context.Context, m view.Member) (ended bool, err error) {
	for {
		o := f.attempt(ctx, m, f.joining())
		if ended, err := f.ended(ctx, &o); ended {
			return true, err
		}
		if o.lost == nil || !f.waitsFor(ctx, m, o) {
			return false, nil
		}
	}
}

// joining is the request as one that begins nothing.
func (f *forwarding) joining() *peerv1.ExecuteRequest {
	req := proto.CloneOf(f.req)
	req.JoinOnly = true
	return req
}

// holders are the hosts that may have a run of the request: its replicas, and those of the views
// of the last minute, since a run stays where it began when the view changes.
func (f *forwarding) holders() []view.Member {
	id := run.Key(f.req.Organisation, f.req.RequestId)
	now, _, _ := f.router.store.Replicas(id, f.router.region)
	return append(now, f.router.store.PastReplicas(id, f.router.region)...)
}
