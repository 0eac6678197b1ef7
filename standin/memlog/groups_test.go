package memlog

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"maststage.dev/router/eventlog"
)

// ttl is how long members of the tests keep partitions without another join.
const ttl = 3 * time.Second

// joiner is a member that names the last generation that it heard.
type joiner struct {
	is         *is.I
	view       *View
	name       string
	generation int64
}

func newJoiner(is *is.I, l *Log, name string) *joiner {
	return &joiner{is: is, view: l.Host(name), name: name}
}

// join returns the member's partitions.
func (j *joiner) join() []int {
	j.is.Helper()
	assignment, err := j.view.Join(context.Background(), eventlog.Membership{Group: "g", Member: j.name, Topic: "t", TTL: ttl, Generation: j.generation})
	j.is.NoErr(err)
	j.is.True(assignment.Generation >= j.generation) // generations increase
	j.generation = assignment.Generation
	return assignment.Partitions
}

// ownedBy counts the partitions of each owner, as the log lists them.
func ownedBy(is *is.I, l *Log) map[string]int {
	is.Helper()
	owners, err := l.Host("anyone").Owners(context.Background(), "g")
	is.NoErr(err)
	counts := map[string]int{}
	for _, owner := range owners {
		counts[owner.Member]++
	}
	return counts
}

// Guards against groups that hand out nothing until several members have come.
func TestFirstMemberGetsAllPartitions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := New()
		is.Equal(ownedBy(is, l), map[string]int{}) // nobody joined
		a := newJoiner(is, l, "a")
		is.Equal(len(a.join()), groupPartitions)
		is.Equal(a.generation, int64(1))
		is.Equal(len(a.join()), groupPartitions)
		is.Equal(a.generation, int64(1)) // nothing changed
		is.Equal(ownedBy(is, l), map[string]int{"a": groupPartitions})
	})
}

// Guards against partitions that go to another member before their owner has heard that they do.
func TestPartitionsMoveOnceTheOwnerNamesTheGeneration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := New()
		a, b := newJoiner(is, l, "a"), newJoiner(is, l, "b")
		a.join()
		is.Equal(len(b.join()), 0)
		is.Equal(len(a.join()), groupPartitions/2) // it hears of the generation
		is.Equal(len(b.join()), 0)
		is.Equal(ownedBy(is, l), map[string]int{"a": groupPartitions})
		kept := a.join() // and names it
		is.Equal(len(kept), groupPartitions/2)
		got := b.join()
		is.Equal(len(got), groupPartitions/2)
		for _, number := range got {
			for _, other := range kept {
				is.True(number != other)
			}
		}
	})
}

// Guards against an uneven division, and against partitions that nobody gets.
func TestDivisionIsEven(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := New()
		var all []*joiner
		for _, name := range []string{"a", "b", "c", "d"} {
			all = append(all, newJoiner(is, l, name))
		}
		for range 3 {
			for _, member := range all {
				member.join()
			}
		}
		share := groupPartitions / 4
		is.Equal(ownedBy(is, l), map[string]int{"a": share, "b": share, "c": share, "d": share})
		for _, member := range all {
			is.Equal(len(member.join()), share)
		}
	})
}

// Guards against partitions that stay with a member that is gone, or leave one that joins in time.
func TestPartitionsOfASilentMemberGoToOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := New()
		silent, b := newJoiner(is, l, "silent"), newJoiner(is, l, "b")
		silent.join()
		b.join()
		silent.join()
		silent.join()
		before := b.generation
		for range 2 {
			time.Sleep(ttl/2 - time.Millisecond)
			is.Equal(len(b.join()), groupPartitions/2)
		}
		time.Sleep(2 * time.Millisecond)
		is.Equal(ownedBy(is, l), map[string]int{"b": groupPartitions})
		is.Equal(len(b.join()), groupPartitions)
		is.True(b.generation > before)

		is.Equal(len(silent.join()), 0) // it is back, as a new member
		time.Sleep(ttl)
		is.Equal(ownedBy(is, l), map[string]int{}) // all are silent
	})
}

// Guards against hosts that take for granted that a partition has one owner: the log may divide all anew, and the
// members before don't know it until they join.
func TestRedivideReplacesOwnersThatDoNotKnow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := New()
		a, b := newJoiner(is, l, "a"), newJoiner(is, l, "b")
		for range 3 {
			a.join()
			b.join()
		}
		believed := a.join()
		l.Redivide("g")
		owners, err := l.Host("anyone").Owners(context.Background(), "g")
		is.NoErr(err)
		twice := 0
		for _, number := range believed {
			if owners[number].Member == "b" {
				twice++
			}
		}
		is.True(twice > 0)

		is.Equal(len(a.join()), groupPartitions/2)
		is.Equal(len(b.join()), groupPartitions/2)
		is.Equal(ownedBy(is, l), map[string]int{"a": groupPartitions / 2, "b": groupPartitions / 2})
		for _, number := range a.join() {
			for _, other := range b.join() {
				is.True(number != other)
			}
		}
	})
}

// Guards against a host that is cut off from the log and still has its groups.
func TestFaultsOfAHostApplyToGroups(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := New()
		cut, other := newJoiner(is, l, "cut"), newJoiner(is, l, "other")
		cut.join()
		m := eventlog.Membership{Group: "g", Member: "cut", Topic: "t", TTL: ttl}
		l.SetFault("cut", Fault{Refuse: true})
		_, err := cut.view.Join(t.Context(), m)
		is.True(errors.Is(err, eventlog.ErrRefused))
		_, err = cut.view.Owners(t.Context(), "g")
		is.True(errors.Is(err, eventlog.ErrRefused))

		l.SetFault("cut", Fault{Silent: true})
		ctx, cancel := context.WithTimeout(t.Context(), ttl+time.Second)
		defer cancel()
		_, err = cut.view.Join(ctx, m)
		is.True(errors.Is(err, context.DeadlineExceeded))
		is.Equal(len(other.join()), groupPartitions) // the joins that failed did not count
	})
}
