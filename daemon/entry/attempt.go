package entry

import (
	"context"
	"errors"
	"io"
	"slices"
	"strings"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	peerv1 "maststage.dev/api/peer/v1"
	"maststage.dev/fold/view"
	"maststage.dev/lib/errkind"
	"maststage.dev/lib/guard"
)

// outcome is how an attempt at one host ended.
type outcome struct {
	done     bool
	accepted bool // the host has a run of it
	none     bool // the host has none, and was not to begin one
	moved    bool
	redirect string
	refused  *errkind.Error // the host's own answer
	lost     error          // the host could not be reached, or was lost
	sent     bool           // lost after the host may have begun
	caller   error          // the caller is gone
}

// attempt sends the request to one host and follows its answer.
func (f *forwarding) attempt(ctx context.Context, m view.Member, req *peerv1.ExecuteRequest) outcome {
	if f.maybe && req.Attempt == 1 {
		req.Attempt = 2
	}
	o := outcome{}
	if m.Incarnation == f.router.self() {
		err := f.router.engine.Execute(ctx, req, func(msg *peerv1.ExecuteResponse) error {
			f.message(&o, msg)
			return o.caller
		})
		if err != nil && o.caller == nil {
			o.lost, o.sent = err, true
		}
		return o
	}
	f.remote(ctx, m, req, &o)
	return o
}

// remote follows another host's answer. A host that does not take the request
// on in good time is given up; it may have begun nevertheless.
func (f *forwarding) remote(ctx context.Context, m view.Member, req *peerv1.ExecuteRequest, o *outcome) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	late := time.AfterFunc(acceptWait, cancel)
	defer late.Stop()
	done := make(chan struct{})
	defer close(done)
	guard.Go("stream watch", func() { f.watch(ctx, m, done, cancel) })
	client, err := f.router.peers.Client(m.Address)
	if err != nil {
		o.lost = err
		return
	}
	stream, err := client.Execute(ctx, req)
	if err != nil {
		o.lost, o.sent = err, sentAnyway(err)
		return
	}
	for !o.final() {
		msg, err := stream.Recv()
		if err != nil {
			if errors.Is(err, io.EOF) {
				err = errors.New("the host ended the answer without its end")
			}
			o.lost, o.sent = err, sentAnyway(err)
			return
		}
		late.Stop()
		f.message(o, msg)
	}
}

// leaves says whether streams are to be taken up again at another entry host.
func (f *forwarding) leaves() bool {
	select {
	case <-f.leaving:
		return true
	default:
		return false
	}
}

// sentAnyway says whether the host may have got the request. gRPC reports a
// connection that could not be made as Unavailable before anything is sent, but
// uses the same code for one that broke, so only the errors of making one are certain.
func sentAnyway(err error) bool {
	s, ok := status.FromError(err)
	return !ok || s.Code() != codes.Unavailable || !isDialError(s.Message())
}

func (o *outcome) final() bool {
	return o.done || o.none || o.moved || o.redirect != "" || o.refused != nil || o.caller != nil
}

// message takes in one message of a host.
func (f *forwarding) message(o *outcome, m *peerv1.ExecuteResponse) {
	switch {
	case m.RequestId != f.req.RequestId:
		o.refused = errkind.New(errkind.Internal, "a host answered for another request")
	case m.Accepted:
		o.accepted = true
	case m.None:
		o.none = true
	case m.Failure != nil:
		o.refused = errkind.New(errkind.Kind(m.Failure.Kind), "%s", m.Failure.Message).
			Retry(time.Duration(m.Failure.RetryAfterMs) * time.Millisecond)
	case m.Redirect != "":
		o.redirect = m.Redirect
	case m.Moved:
		o.moved = true
	default:
		if o.caller = f.send(m); o.caller != nil {
			return
		}
		if m.End {
			o.done = true
			return
		}
		f.req.ResumeFrom = m.Index + 1
	}
}

// notConnected are what gRPC says of a connection that was never made, all versions in use.
var notConnected = []string{"error while dialing", "Error while dialing", "error reading server preface"}

func isDialError(message string) bool {
	return slices.ContainsFunc(notConnected, func(s string) bool { return strings.Contains(message, s) })
}
