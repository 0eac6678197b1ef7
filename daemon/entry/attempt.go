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
	done      bool
	accepted  bool // the host has a run of the request
	none      bool // the host has no run, and was not to start one
	moved     bool
	redirect  string
	refused   *errkind.Error // error reported by the host itself
	lost      error          // the host was unreachable, or the connection broke
	sent      bool           // lost after the host may have started
	callerErr error          // sending to the caller failed
}

// attempt sends the request to one host and relays its response.
func (f *forwarding) attempt(ctx context.Context, m view.Member, req *peerv1.ExecuteRequest) outcome {
	if f.mayHaveRun && req.Attempt == 1 {
		req.Attempt = 2
	}
	o := outcome{}
	if m.Incarnation == f.router.self() {
		err := f.router.engine.Execute(ctx, req, func(msg *peerv1.ExecuteResponse) error {
			f.message(&o, msg)
			return o.callerErr
		})
		if err != nil && o.callerErr == nil {
			o.lost, o.sent = err, true
		}
		return o
	}
	f.remote(ctx, m, req, &o)
	return o
}

// remote relays another host's response. A host that does not accept the request
// within acceptWait is abandoned; it may have started the request nevertheless.
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
		o.lost, o.sent = err, maybeSent(err)
		return
	}
	for !o.final() {
		msg, err := stream.Recv()
		if err != nil {
			if errors.Is(err, io.EOF) {
				err = errors.New("the host ended the answer without its end")
			}
			o.lost, o.sent = err, maybeSent(err)
			return
		}
		late.Stop()
		f.message(o, msg)
	}
}

// isLeaving reports whether callers are to resume their streams at another entry host.
func (f *forwarding) isLeaving() bool {
	select {
	case <-f.leaving:
		return true
	default:
		return false
	}
}

// maybeSent reports whether the host may have received the request. gRPC returns
// Unavailable both for a connection that could not be established, where nothing was
// sent, and for one that broke, so only dial errors are certain.
func maybeSent(err error) bool {
	s, ok := status.FromError(err)
	return !ok || s.Code() != codes.Unavailable || !isDialError(s.Message())
}

func (o *outcome) final() bool {
	return o.done || o.none || o.moved || o.redirect != "" || o.refused != nil || o.callerErr != nil
}

// message processes one message from a host.
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
		if o.callerErr = f.send(m); o.callerErr != nil {
			return
		}
		if m.End {
			o.done = true
			return
		}
		f.req.ResumeFrom = m.Index + 1
	}
}

// dialErrors lists the texts of gRPC errors, in all versions in use, for a connection that was
// never established.
var dialErrors = []string{"error while dialing", "Error while dialing", "error reading server preface"}

func isDialError(message string) bool {
	return slices.ContainsFunc(dialErrors, func(s string) bool { return strings.Contains(message, s) })
}
