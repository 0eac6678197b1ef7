package fleet

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// beat is the announcement of a host of some incarnation, its n-th.
func beat(i int, incarnation string, n int64) Host {
	return Host{Name: fmt.Sprintf("h%d", i), Incarnation: incarnation, Address: fmt.Sprintf("10.0.0.%d:1", i), Domain: "z0", Beat: n}
}

// A host that starts anew tells the loss of all hosts from its own loss, from the begin of a
// fleet, from a planned stop and from the loss of half of the hosts.
func TestLossOfAllHostsIsTold(t *testing.T) {
	type list = []Host
	before := list{beat(1, "old", 9), beat(2, "old", 8), beat(3, "old", 9), beat(4, "old", 7)}
	anew := list{beat(1, "new", 1), beat(2, "new", 1), beat(3, "new", 1), beat(4, "new", 1)}
	for name, c := range map[string]struct {
		found, then list
		lost        bool
	}{
		"all were lost":            {append(list{beat(0, "old", 9)}, before...), anew, true},
		"one has not come back":    {append(list{beat(0, "old", 9)}, before...), anew[:3], true},
		"the others did not yet":   {append(list{beat(0, "old", 9)}, before...), nil, false},
		"one lives on":             {append(list{beat(0, "old", 9)}, before...), append(list{beat(4, "old", 8)}, anew[:3]...), false},
		"half were lost":           {append(list{beat(0, "old", 9)}, before...), anew[:2], false},
		"this host alone was lost": {append(list{beat(0, "old", 9)}, before...), list{beat(1, "old", 10)}, false},
		"a planned stop":           {before, anew, false},
		"a new fleet":              {nil, anew, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := New(Options{Self: beat(0, "new", 0), Timeout: time.Second, Announce: 8 * time.Second})
				announced(f, c.found...)
				is.True(!f.AllLost()) // nobody has begun anew yet
				time.Sleep(time.Second)
				announced(f, beat(0, "new", 1))
				announced(f, c.then...)
				is.Equal(f.AllLost(), c.lost)
			})
		})
	}
}

// Once told, the loss stays told as the hosts go on.
func TestLossOfAllHostsStaysTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := New(Options{Self: beat(0, "new", 0), Timeout: time.Second, Announce: 8 * time.Second})
		announced(f, beat(0, "old", 9), beat(1, "old", 9), beat(2, "old", 9))
		for n := range int64(10) {
			time.Sleep(4 * time.Second) // no host announces itself more often
			announced(f, beat(1, "new", n+1), beat(2, "new", n+1))
			is.True(f.AllLost())
		}
	})
}
