package fleet

import (
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"maststage.dev/router/eventlog"
	"maststage.dev/router/replica"
)

// beat is the announcement of a host of some incarnation, its n-th.
func beat(i int, incarnation string, n int64) Host {
	return Host{Name: fmt.Sprintf("h%d", i), Incarnation: incarnation, Address: fmt.Sprintf("10.0.0.%d:1", i), Domain: "z0", Sequence: n}
}

// heard tells a fleet of announcements, of which the last has an offset in the topic.
func heard(f *Fleet, end int64, hosts ...Host) {
	var changes []replica.Change
	for i, h := range hosts {
		value, err := json.Marshal(h)
		if err != nil {
			panic(err)
		}
		offset := end - int64(len(hosts)-1-i)
		changes = append(changes, replica.Change{Record: eventlog.Record{Key: h.Name, Value: value, Offset: offset}})
	}
	f.HandleChanges(changes)
}

// A host that starts anew tells the loss of all hosts from its own loss, from the begin of a
// fleet and from the loss of half of the hosts.
func TestLossOfAllHostsIsTold(t *testing.T) {
	type list = []Host
	before := list{beat(0, "old", 9), beat(1, "old", 9), beat(2, "old", 8), beat(3, "old", 9), beat(4, "old", 7)}
	anew := list{beat(0, "new", 1), beat(1, "new", 1), beat(2, "new", 1), beat(3, "new", 1), beat(4, "new", 1)}
	begun := list{beat(0, "new", 1), beat(1, "old", 2), beat(2, "old", 2), beat(3, "old", 1), beat(4, "old", 2)}
	for name, c := range map[string]struct {
		found list  // when the topic is read first
		end   int64 // its newest record then
		then  list
		lost  bool
	}{
		"all were lost":                   {before, 70, anew, true},
		"this host was the last to start": {anew, 75, anew[:1], true},
		"one has not come back":           {before, 70, anew[:4], true},
		"the others did not yet":          {before, 70, anew[:1], false},
		"one lives on":                    {before, 70, append(list{beat(4, "old", 8)}, anew[:4]...), false},
		"half were lost":                  {before, 70, anew[:3], false},
		"this host alone was lost":        {before, 70, list{beat(0, "new", 1), beat(1, "old", 10)}, false},
		"a new fleet":                     {nil, 0, anew, false},
		"the last of a new fleet":         {anew, 4, anew[:1], false},
		"lost alone in a new fleet":       {begun, 9, begun[:1], false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := New(Options{Self: beat(0, "new", 0), CallTimeout: time.Second, AnnounceInterval: 8 * time.Second})
				heard(f, c.end, c.found...)
				time.Sleep(time.Second)
				heard(f, c.end+10, c.then...)
				is.Equal(f.AllHostsLost(), c.lost)
			})
		})
	}
}

// Once told, the loss stays told as the hosts go on; and a new fleet that goes on was not lost.
func TestLossOfAllHostsStaysTold(t *testing.T) {
	for end, lost := range map[int64]bool{70: true, 3: false} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			f := New(Options{Self: beat(0, "new", 0), CallTimeout: time.Second, AnnounceInterval: 8 * time.Second})
			heard(f, end, beat(0, "old", 9), beat(1, "old", 9), beat(2, "old", 9))
			for n := range int64(10) {
				time.Sleep(4 * time.Second) // no host announces itself more often
				heard(f, end+3*(n+1), beat(1, "new", n+1), beat(2, "new", n+1))
				is.Equal(f.AllHostsLost(), lost)
			}
		})
	}
}
