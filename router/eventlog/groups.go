package eventlog

import (
	"context"
	"time"
)

// Membership is a member's part in a group that divides the partitions of a topic among its members.
type Membership struct {
	Group  string
	Member string // read by others, see Owner
	Topic  string
	// TTL is how long the member keeps its partitions without another join.
	TTL time.Duration
	// Generation is that of the member's last assignment, 0 before the first. The member gives up partitions that the
	// assignment did not list, so that others get them.
	Generation int64
}

// Assignment is what a member has of a topic.
type Assignment struct {
	Generation int64 // increases with each change of the group
	Partitions []int
}

// Owner is the member that has a partition.
type Owner struct {
	Partition int
	Member    string
}

// Groups divides partitions among the members of groups, evenly. For a moment two members may both believe that a
// partition is theirs: one that was silent for its TTL is replaced without being told.
type Groups interface {
	// Join joins a group, or stays in it, and returns the member's partitions.
	Join(ctx context.Context, m Membership) (Assignment, error)
	// Owners lists the partitions of a group that have an owner; none if nobody joined it.
	Owners(ctx context.Context, group string) ([]Owner, error)
}
