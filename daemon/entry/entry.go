// Package entry serves callers: it authenticates the organisation, forwards the
// request to the host that is responsible for its id and relays the response.
package entry

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"connectrpc.com/connect"

	maststagev1 "maststage.dev/api/maststage/v1"
	peerv1 "maststage.dev/api/peer/v1"
	"maststage.dev/daemon/settings"
	"maststage.dev/daemon/store"
	"maststage.dev/lib/declare"
	"maststage.dev/lib/errkind"
)

const (
	maxID    = 64
	maxClass = 64
)

// Forwarder forwards a request to the host that is responsible for it.
type Forwarder interface {
	// Forward relays the response to send. A stream whose run is on another host ends
	// with errLeaving once leaving is closed; a nil leaving never closes.
	Forward(ctx context.Context, req *peerv1.ExecuteRequest, leaving <-chan struct{}, send func(*peerv1.ExecuteResponse) error) error
}

// Caller serves maststage.v1.Caller.
type Caller struct {
	cfg     settings.Requests
	store   *store.Store
	forward Forwarder
	leaving <-chan struct{} // closed when callers are to resume open streams at another host
}

// New returns the service.
func New(cfg settings.Requests, s *store.Store, f Forwarder, leaving <-chan struct{}) *Caller {
	return &Caller{cfg: cfg, store: s, forward: f, leaving: leaving}
}

// Run streams a response.
func (c *Caller) Run(ctx context.Context, req *connect.Request[maststagev1.RunRequest], out *connect.ServerStream[maststagev1.RunResponse]) error {
	order, err := c.order(req.Header().Get("Authorization"), req.Msg)
	if err != nil {
		return ToConnect(err)
	}
	next := req.Msg.ResumeFrom
	err = c.forward.Forward(ctx, order, c.leaving, func(m *peerv1.ExecuteResponse) error {
		if m.Index != next {
			return errkind.New(errkind.Internal, "chunk %d came where %d was next", m.Index, next)
		}
		if m.End {
			return out.Send(&maststagev1.RunResponse{
				RequestId: m.RequestId, Index: next,
				End: &maststagev1.End{Chunks: m.Index, BilledTokens: m.BilledTokens},
			})
		}
		next++
		return out.Send(&maststagev1.RunResponse{RequestId: m.RequestId, Index: m.Index, Data: m.Data})
	})
	if errors.Is(err, errLeaving) {
		return out.Send(&maststagev1.RunResponse{RequestId: order.RequestId, Index: next, Moved: true})
	}
	return ToConnect(err)
}

var errLeaving = errors.New("this host is leaving")

// Call returns the whole response at once.
func (c *Caller) Call(ctx context.Context, req *connect.Request[maststagev1.CallRequest]) (*connect.Response[maststagev1.CallResponse], error) {
	if req.Msg.Request == nil {
		return nil, ToConnect(errkind.New(errkind.Invalid, "no request"))
	}
	if req.Msg.Request.ResumeFrom != 0 {
		return nil, ToConnect(errkind.New(errkind.Invalid, "resume_from is for streams"))
	}
	order, err := c.order(req.Header().Get("Authorization"), req.Msg.Request)
	if err != nil {
		return nil, ToConnect(err)
	}
	res := &maststagev1.CallResponse{RequestId: order.RequestId}
	next := uint32(0)
	err = c.forward.Forward(ctx, order, nil, func(m *peerv1.ExecuteResponse) error {
		if m.Index != next {
			return errkind.New(errkind.Internal, "chunk %d came where %d was next", m.Index, next)
		}
		if m.End {
			res.End = &maststagev1.End{Chunks: next, BilledTokens: m.BilledTokens}
			return nil
		}
		res.Data = append(res.Data, m.Data...)
		next++
		return nil
	})
	if err != nil {
		return nil, ToConnect(err)
	}
	if res.End == nil {
		return nil, ToConnect(errkind.New(errkind.Internal, "the answer has no end"))
	}
	return connect.NewResponse(res), nil
}

// order validates a request and converts it to the message that hosts send each other.
func (c *Caller) order(auth string, r *maststagev1.RunRequest) (*peerv1.ExecuteRequest, error) {
	version, set := c.store.Config()
	if version == 0 {
		return nil, errkind.New(errkind.Unavailable, "this host has no configuration yet")
	}
	org, err := authenticate(set, auth)
	if err != nil {
		return nil, err
	}
	if err := c.check(r); err != nil {
		return nil, err
	}
	return &peerv1.ExecuteRequest{
		Organisation: org.Name, RequestId: r.RequestId, Class: r.Class, Input: r.Input,
		MaxTokens: r.MaxTokens, Attempt: max(r.Attempt, 1), ResumeFrom: r.ResumeFrom, DeadlineMs: r.DeadlineMs,
	}, nil
}

func authenticate(set *declare.Set, auth string) (*declare.Organisation, error) {
	key, ok := strings.CutPrefix(auth, "Bearer ")
	if !ok {
		return nil, errkind.New(errkind.Unauthenticated, "no key in the header Authorization")
	}
	org := set.ByKey(key)
	if org == nil {
		return nil, errkind.New(errkind.Unauthenticated, "the key is not that of an organisation")
	}
	return org, nil
}

func (c *Caller) check(r *maststagev1.RunRequest) error {
	switch {
	case r.RequestId == "" || len(r.RequestId) > maxID:
		return errkind.New(errkind.Invalid, "request_id has %d bytes, not 1 to %d", len(r.RequestId), maxID)
	case r.Class == "" || len(r.Class) > maxClass:
		return errkind.New(errkind.Invalid, "class has %d bytes, not 1 to %d", len(r.Class), maxClass)
	case len(r.Input) > c.cfg.MaxInput:
		return errkind.New(errkind.Invalid, "input has %d bytes, at most %d", len(r.Input), c.cfg.MaxInput)
	}
	return nil
}

// ToConnect converts an error to the response that lib/errkind assigns to its kind,
// with a Failure as detail and the header Retry-After.
func ToConnect(err error) error {
	if err == nil {
		return nil
	}
	e := errkind.From(err)
	if errors.Is(err, context.Canceled) {
		return connect.NewError(connect.CodeCanceled, err)
	}
	a := errkind.Lookup(e.Kind)
	ce := connect.NewError(a.Code, e)
	f := &maststagev1.Failure{Kind: string(e.Kind), Ran: string(a.Ran), RetryAfterMs: uint32(e.RetryAfter().Milliseconds())}
	if d, derr := connect.NewErrorDetail(f); derr == nil {
		ce.AddDetail(d)
	}
	if after := e.RetryAfter(); after > 0 {
		ce.Meta().Set("Retry-After", fmt.Sprintf("%.0f", max(after.Seconds(), 1)))
	}
	return ce
}
