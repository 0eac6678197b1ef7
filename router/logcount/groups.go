package logcount

import (
	"context"

	"maststage.dev/router/eventlog"
)

// Groups counts the calls to another Groups. It implements eventlog.Groups.
type Groups struct {
	groups eventlog.Groups
	counts *Log
}

// NewGroups returns Groups that count the calls to g in counts, with the name of the group as the topic.
func NewGroups(g eventlog.Groups, counts *Log) *Groups { return &Groups{groups: g, counts: counts} }

// Join implements eventlog.Groups.
func (g *Groups) Join(ctx context.Context, m eventlog.Membership) (eventlog.Assignment, error) {
	assignment, err := g.groups.Join(ctx, m)
	g.counts.countCall(eventlog.Partition{Topic: m.Group}, "join", nil, err)
	return assignment, err
}

// Owners implements eventlog.Groups.
func (g *Groups) Owners(ctx context.Context, group string) ([]eventlog.Owner, error) {
	owners, err := g.groups.Owners(ctx, group)
	g.counts.countCall(eventlog.Partition{Topic: group}, "owners", nil, err)
	return owners, err
}
