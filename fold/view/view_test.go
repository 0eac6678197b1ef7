package view

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func filled(n, domains int) *View {
	v := &View{}
	for i := range n {
		v.Join(Member{Incarnation: fmt.Sprint("i", i), Host: fmt.Sprint("h", i), Domain: fmt.Sprint("d", i%domains), Region: "r"})
		for _, m := range v.Members {
			v.Flush(m.Incarnation, v.Epoch)
		}
	}
	return v
}

// Replicas are distinct, and in distinct failure domains as far as possible. The end of a
// member changes only the replicas of the ids that it was responsible for.
func TestReplicas(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, domains := rapid.IntRange(1, 12).Draw(t, "hosts"), rapid.IntRange(1, 5).Draw(t, "domains")
		v := filled(n, domains)
		id := rapid.String().Draw(t, "id")
		got := v.Replicas(id, "r")
		if len(got) != min(n, Replicas) {
			t.Fatalf("%d replicas of %d hosts", len(got), n)
		}
		seen, doms := map[string]bool{}, map[string]bool{}
		for _, m := range got {
			seen[m.Incarnation], doms[m.Domain] = true, true
		}
		if len(seen) != len(got) || len(doms) != min(len(got), min(n, domains)) {
			t.Fatalf("replicas %v", got)
		}
		gone := rapid.IntRange(0, n-1).Draw(t, "gone")
		inc := fmt.Sprint("i", gone)
		v.Evict(inc, v.Epoch)
		now := v.Replicas(id, "r")
		if !seen[inc] && fmt.Sprint(now) != fmt.Sprint(got) {
			t.Fatalf("%s was no replica, but they changed from %v to %v", inc, got, now)
		}
	})
}

// A change is settled once all surviving members have flushed at the new epoch.
func TestSettled(t *testing.T) {
	is := is.New(t)
	v := filled(4, 2)
	is.True(v.Settled("id", "r"))
	owner := v.Replicas("id", "r")[0].Incarnation
	is.True(v.Evict(owner, v.Epoch))
	is.True(!v.Evict("i0", v.Epoch-1)) // a stale epoch
	is.True(!v.Settled("id", "r"))
	for i, m := range v.Members {
		is.True(!v.Settled("id", "r"))
		v.Flush(m.Incarnation, v.Epoch-1) // too old
		is.True(!v.Settled("id", "r"))
		v.Flush(m.Incarnation, v.Epoch)
		is.Equal(v.Settled("id", "r"), i == len(v.Members)-1)
	}
}

// Hosts read Members while the log is applied. A join once sorted the slice that they held.
func TestJoinDoesNotChangeSliceHeldByReaders(t *testing.T) {
	is := is.New(t)
	v := filled(5, 2)
	v.Members = append(make([]Member, 0, 8), v.Members...) // with spare capacity, as a clone may have
	read := v.Members
	before := fmt.Sprint(read)
	v.Join(Member{Incarnation: "a", Host: "a", Domain: "d0", Region: "r"})
	is.Equal(fmt.Sprint(read), before)
}
