// Package operator implements the API of the command-line tool.
package operator

import (
	"context"
	"slices"
	"strings"
	"time"

	"connectrpc.com/connect"

	maststagev1 "maststage.dev/api/maststage/v1"
	peerv1 "maststage.dev/api/peer/v1"
	"maststage.dev/daemon/entry"
	"maststage.dev/daemon/store"
	"maststage.dev/fold"
	"maststage.dev/fold/view"
	"maststage.dev/lib/declare"
	"maststage.dev/lib/errkind"
)

// publishWait bounds the time until a publish is read back from the log.
const publishWait = 15 * time.Second

// Fleet is the part of the host that the service uses.
type Fleet interface {
	// Publish appends declarations to the log and waits until they are read back.
	Publish(ctx context.Context, base uint64, text string) (fold.Published, error)
	// Status returns the last status of a member, or nil.
	Status(inc string) *peerv1.Status
	Silent(inc string) bool
	// Stop starts a graceful shutdown of a member.
	Stop(ctx context.Context, m view.Member) error
}

// Service serves maststage.v1.Operator.
type Service struct {
	store        *store.Store
	fleet        Fleet
	firstKeyHash string // SHA-256 of the key that is accepted until a configuration is in force
}

// New returns the service. firstKey is the SHA-256 of the key for the first publish.
func New(s *store.Store, f Fleet, firstKey string) *Service {
	return &Service{store: s, fleet: f, firstKeyHash: firstKey}
}

// authorize rejects calls without an operator's key.
func (s *Service) authorize(auth string) error {
	key, _ := strings.CutPrefix(auth, "Bearer ")
	version, set := s.store.Config()
	if set.IsOperator(key) {
		return nil
	}
	if version == 0 && s.firstKeyHash != "" && declare.HashKey(key) == s.firstKeyHash {
		return nil
	}
	return errkind.New(errkind.Unauthenticated, "the key is not that of an operator")
}

// Publish puts declarations in force.
func (s *Service) Publish(ctx context.Context, r *connect.Request[maststagev1.PublishRequest]) (*connect.Response[maststagev1.PublishResponse], error) {
	if err := s.authorize(r.Header().Get("Authorization")); err != nil {
		return nil, entry.ToConnect(err)
	}
	if _, err := declare.Parse(r.Msg.Text); err != nil {
		return nil, entry.ToConnect(errkind.New(errkind.Invalid, "%w", err))
	}
	ctx, cancel := context.WithTimeout(ctx, publishWait)
	defer cancel()
	p, err := s.fleet.Publish(ctx, r.Msg.BaseVersion, r.Msg.Text)
	if err != nil {
		return nil, entry.ToConnect(err)
	}
	if p.Err != nil {
		return nil, entry.ToConnect(errkind.New(errkind.Conflict, "%w", p.Err))
	}
	return connect.NewResponse(&maststagev1.PublishResponse{Version: p.Version}), nil
}

// GetConfig returns the declarations in force on this host.
func (s *Service) GetConfig(_ context.Context, r *connect.Request[maststagev1.GetConfigRequest]) (*connect.Response[maststagev1.GetConfigResponse], error) {
	if err := s.authorize(r.Header().Get("Authorization")); err != nil {
		return nil, entry.ToConnect(err)
	}
	v, text := s.store.ConfigText()
	return connect.NewResponse(&maststagev1.GetConfigResponse{Version: v, Text: text}), nil
}

// ListBudgets returns all budgets, sorted by name.
func (s *Service) ListBudgets(_ context.Context, r *connect.Request[maststagev1.ListBudgetsRequest]) (*connect.Response[maststagev1.ListBudgetsResponse], error) {
	if err := s.authorize(r.Header().Get("Authorization")); err != nil {
		return nil, entry.ToConnect(err)
	}
	res := &maststagev1.ListBudgetsResponse{}
	for name, a := range s.store.Budgets() {
		res.Budgets = append(res.Budgets, &maststagev1.Budget{
			Organisation: a.Organisation, Name: name, Total: a.Total, Granted: a.Granted,
			Held: uint64(max(a.HeldSum(), 0)), Stranded: uint64(max(a.StrandedSum(), 0)),
			Consumed: a.Consumed, Billed: a.Billed, Left: a.Left(),
		})
	}
	slices.SortFunc(res.Budgets, func(a, b *maststagev1.Budget) int { return strings.Compare(a.Name, b.Name) })
	return connect.NewResponse(res), nil
}

// ListHosts returns the members of the view and their states as this host sees them.
func (s *Service) ListHosts(_ context.Context, r *connect.Request[maststagev1.ListHostsRequest]) (*connect.Response[maststagev1.ListHostsResponse], error) {
	if err := s.authorize(r.Header().Get("Authorization")); err != nil {
		return nil, entry.ToConnect(err)
	}
	offset, _ := s.store.Offset()
	res := &maststagev1.ListHostsResponse{Epoch: s.store.Epoch(), Offset: offset}
	for _, m := range s.store.Members() {
		res.Hosts = append(res.Hosts, s.host(m))
	}
	slices.SortFunc(res.Hosts, func(a, b *maststagev1.Host) int { return strings.Compare(a.Name, b.Name) })
	return connect.NewResponse(res), nil
}

func (s *Service) host(m view.Member) *maststagev1.Host {
	h := &maststagev1.Host{Name: m.Host, Incarnation: m.Incarnation, Address: m.Address, Domain: m.Domain, State: "live"}
	if m.Leaving {
		h.State = "draining"
	}
	if s.fleet.Silent(m.Incarnation) {
		h.State = "suspect"
	}
	if st := s.fleet.Status(m.Incarnation); st != nil {
		h.ConfigVersion = st.ConfigVersion
		h.Offset = st.Offset
	}
	return h
}

// Drain starts a graceful shutdown of a host.
func (s *Service) Drain(ctx context.Context, r *connect.Request[maststagev1.DrainRequest]) (*connect.Response[maststagev1.DrainResponse], error) {
	if err := s.authorize(r.Header().Get("Authorization")); err != nil {
		return nil, entry.ToConnect(err)
	}
	for _, m := range s.store.Members() {
		if m.Host != r.Msg.Host {
			continue
		}
		if err := s.fleet.Stop(ctx, m); err != nil {
			return nil, entry.ToConnect(errkind.New(errkind.Unavailable, "host %s: %w", m.Host, err))
		}
		return connect.NewResponse(&maststagev1.DrainResponse{}), nil
	}
	return nil, entry.ToConnect(errkind.New(errkind.NotFound, "no host %q is live", r.Msg.Host))
}
