package memlog

import (
	"context"
	"slices"
	"time"

	"maststage.dev/router/eventlog"
)

// groupPartitions is how many partitions a topic has for groups.
const groupPartitions = 24

// group divides the partitions of one topic among its members.
type group struct {
	generation int64
	members    map[string]*member
	order      []string                // names of the members, in the order in which they joined
	owners     [groupPartitions]string // "" for none
}

type member struct {
	heard   int64 // the last generation that it named
	expires time.Time
}

// Join implements eventlog.Groups.
func (v *View) Join(ctx context.Context, m eventlog.Membership) (eventlog.Assignment, error) {
	if err := v.beginRead(ctx, eventlog.Partition{}, joinWorth); err != nil {
		return eventlog.Assignment{}, err
	}
	l := v.log
	l.mu.Lock()
	defer l.mu.Unlock()
	g := l.group(m.Group)
	state := g.members[m.Member]
	if state == nil {
		state = &member{}
		g.members[m.Member] = state
		g.order = append(g.order, m.Member)
		g.generation++
	}
	state.heard, state.expires = m.Generation, time.Now().Add(m.TTL)
	g.divide()
	return eventlog.Assignment{Generation: g.generation, Partitions: g.partitionsOf(m.Member)}, nil
}

// Owners implements eventlog.Groups.
func (v *View) Owners(ctx context.Context, name string) ([]eventlog.Owner, error) {
	if err := v.beginRead(ctx, eventlog.Partition{}, readWorth); err != nil {
		return nil, err
	}
	l := v.log
	l.mu.Lock()
	defer l.mu.Unlock()
	var owners []eventlog.Owner
	for number, owner := range l.group(name).owners {
		if owner != "" {
			owners = append(owners, eventlog.Owner{Partition: number, Member: owner})
		}
	}
	return owners, nil
}

// Redivide deals the partitions of a group anew, as the log does at times.
func (l *Log) Redivide(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	g := l.group(name)
	if len(g.order) > 1 {
		g.order = append(g.order[1:], g.order[0])
	}
	g.generation++
	for number := range g.owners {
		g.owners[number] = ""
	}
	g.divide()
}

// group returns a group without the members that have been silent for too long.
func (l *Log) group(name string) *group {
	g := l.groups[name]
	if g == nil {
		g = &group{members: map[string]*member{}}
		l.groups[name] = g
	}
	now := time.Now()
	for name, m := range g.members {
		if now.Before(m.expires) {
			continue
		}
		delete(g.members, name)
		g.order = slices.DeleteFunc(g.order, func(other string) bool { return other == name })
		g.generation++
		for number, owner := range g.owners {
			if owner == name {
				g.owners[number] = ""
			}
		}
	}
	g.divide()
	return g
}

// divide gives partitions without an owner to their members, and takes from an owner that has heard of the present
// generation what is another member's.
func (g *group) divide() {
	if len(g.order) == 0 {
		return
	}
	for number := range g.owners {
		due := g.order[number%len(g.order)]
		owner := g.members[g.owners[number]]
		if owner == nil || g.owners[number] != due && owner.heard >= g.generation {
			g.owners[number] = due
		}
	}
}

// partitionsOf lists the partitions that a member has and keeps.
func (g *group) partitionsOf(name string) (numbers []int) {
	for number, owner := range g.owners {
		if owner == name && g.order[number%len(g.order)] == name {
			numbers = append(numbers, number)
		}
	}
	return numbers
}
