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

// announcement returns the n-th announcement of an incarnation of host i.
func announcement(i int, incarnation string, n int64) Host {
	return Host{Name: fmt.Sprintf("h%d", i), Incarnation: incarnation, Address: fmt.Sprintf("10.0.0.%d:1", i), Domain: "z0", Sequence: n}
}

// applyAnnouncements applies announcements to a fleet; the last has offset end in the topic.
func applyAnnouncements(f *Fleet, end int64, hosts ...Host) {
	var changes []replica.Change
	for i, h := range hosts {
		value, err := json.Marshal(h)
		if err != nil {
			panic(err)
		}
		offset := end - int64(len(hosts)-1-i)
		changes = append(changes, replica.Change{Record: eventlog.Record{Key: h.Name, Value: value, Position: eventlog.Position{Offset: offset}}})
	}
	f.HandleChanges(changes)
}

// A restarted host distinguishes the loss of all hosts from its own loss, from the first start of a
// fleet and from the loss of half of the hosts.
func TestLossOfAllHostsIsDetected(t *testing.T) {
	type list = []Host
	before := list{announcement(0, "old", 9), announcement(1, "old", 9), announcement(2, "old", 8), announcement(3, "old", 9), announcement(4, "old", 7)}
	anew := list{announcement(0, "new", 1), announcement(1, "new", 1), announcement(2, "new", 1), announcement(3, "new", 1), announcement(4, "new", 1)}
	begun := list{announcement(0, "new", 1), announcement(1, "old", 2), announcement(2, "old", 2), announcement(3, "old", 1), announcement(4, "old", 2)}
	for name, c := range map[string]struct {
		found list  // announcements when the topic is first read
		end   int64 // offset of the newest of them
		then  list
		lost  bool
	}{
		"all were lost":                   {before, 70, anew, true},
		"this host was the last to start": {anew, 75, anew[:1], true},
		"one has not come back":           {before, 70, anew[:4], true},
		"the others did not yet":          {before, 70, anew[:1], false},
		"one lives on":                    {before, 70, append(list{announcement(4, "old", 8)}, anew[:4]...), false},
		"half were lost":                  {before, 70, anew[:3], false},
		"this host alone was lost":        {before, 70, list{announcement(0, "new", 1), announcement(1, "old", 10)}, false},
		"a new fleet":                     {nil, 0, anew, false},
		"the last of a new fleet":         {anew, 4, anew[:1], false},
		"lost alone in a new fleet":       {begun, 9, begun[:1], false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := New(Options{Self: announcement(0, "new", 0), CallTimeout: time.Second, AnnounceInterval: 8 * time.Second})
				applyAnnouncements(f, c.end, c.found...)
				time.Sleep(time.Second)
				applyAnnouncements(f, c.end+10, c.then...)
				is.Equal(f.AllHostsLost(), c.lost)
			})
		})
	}
}

// A detected loss of all hosts stays detected as the hosts go on announcing themselves; the hosts of
// a new fleet never appear lost.
func TestLossOfAllHostsStaysDetected(t *testing.T) {
	for end, lost := range map[int64]bool{70: true, 3: false} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			f := New(Options{Self: announcement(0, "new", 0), CallTimeout: time.Second, AnnounceInterval: 8 * time.Second})
			applyAnnouncements(f, end, announcement(0, "old", 9), announcement(1, "old", 9), announcement(2, "old", 9))
			for n := range int64(10) {
				time.Sleep(4 * time.Second) // the shortest interval between announcements of a host
				applyAnnouncements(f, end+3*(n+1), announcement(1, "new", n+1), announcement(2, "new", n+1))
				is.Equal(f.AllHostsLost(), lost)
			}
		})
	}
}
