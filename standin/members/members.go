// Package members simulates the platform's membership list.
package members

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	platformv1 "maststage.dev/api/platform/v1"
	"maststage.dev/standin/toggle"
)

// List is a membership list. Its switches are down (calls fail) and lag (ms until a change shows).
type List struct {
	Switches *toggle.Set

	mu      sync.Mutex
	members []*platformv1.Member
	changes []change
}

// change is a change that List doesn't show before at.
type change struct {
	at   time.Time
	name string
	do   string
}

// New returns a list with these members.
func New(members []*platformv1.Member) *List {
	return &List{Switches: toggle.New("down", "lag"), members: members}
}

// Parse parses a member from NAME,ADDRESS,ROLE,POOL,DOMAIN,SLOTS[,fenced].
func Parse(s string) (*platformv1.Member, error) {
	f := strings.Split(s, ",")
	if len(f) < 6 {
		return nil, fmt.Errorf("member %q: want NAME,ADDRESS,ROLE,POOL,DOMAIN,SLOTS[,fenced]", s)
	}
	m := &platformv1.Member{Name: f[0], Address: f[1], Role: f[2], Pool: f[3], Domain: f[4]}
	if _, err := fmt.Sscan(f[5], &m.Slots); err != nil {
		return nil, fmt.Errorf("member %q: slots: %w", s, err)
	}
	m.Fenced = len(f) > 6 && f[6] == "fenced"
	return m, nil
}

// List returns the members, without the changes that are not due yet.
func (l *List) List(context.Context, *connect.Request[platformv1.ListRequest]) (*connect.Response[platformv1.ListResponse], error) {
	if l.Switches.Get("down") != 0 {
		return nil, connect.NewError(connect.CodeUnavailable, errors.New("the list is down"))
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.applyDue()
	return connect.NewResponse(&platformv1.ListResponse{Members: l.members}), nil
}

// applyDue applies the changes that are due. The caller holds l.mu.
func (l *List) applyDue() {
	now := time.Now()
	for len(l.changes) > 0 && !l.changes[0].at.After(now) {
		l.apply(l.changes[0])
		l.changes = l.changes[1:]
	}
}

func (l *List) apply(c change) {
	var kept []*platformv1.Member
	for _, m := range l.members {
		if m.Name != c.name {
			kept = append(kept, m)
			continue
		}
		if c.do == "remove" {
			continue
		}
		m = proto.Clone(m).(*platformv1.Member)
		m.Leaving = c.do == "leaving"
		kept = append(kept, m)
	}
	l.members = kept
}

// ServeHTTP accepts changes: /change?name=NAME&do=leaving|live|remove.
func (l *List) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	lag := time.Duration(l.Switches.Get("lag")) * time.Millisecond
	q := r.URL.Query()
	l.changes = append(l.changes, change{at: time.Now().Add(lag), name: q.Get("name"), do: q.Get("do")})
}
