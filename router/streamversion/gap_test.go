package streamversion

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"maststage.dev/standin/memlog"
)

// setCut cuts a host off from the log and from the others, or ends that.
func (f *historyFleet) setCut(h *historyHost, cut bool) {
	f.log.SetFault(h.name, memlog.Fault{Silent: cut})
	f.mu.Lock()
	defer f.mu.Unlock()
	h.down = cut
}

// Guards against a host that was cut off, or suspended, while another version came and went, and that still takes what it
// knew before for all that there was.
func TestHostThatMissedAVersionDoesNotConcludeThatThereWasOne(t *testing.T) {
	const plays = 20 // hosts read the records at random times
	for range plays {
		synctest.Test(t, func(t *testing.T) {
			f := newHistoryFleet(3)
			defer f.stopAll()
			f.list("v1", true)
			time.Sleep(2 * useMemory) // all hosts have followed the targets for long
			missed, other := f.hosts[0], f.hosts[1]
			f.setCut(missed, true)
			f.list("v2", true)
			time.Sleep(time.Second)
			k, o := KeyOf("org", "a1"), Origin{service, "v2"}
			other.directory.Began(k, route, o, time.Minute)
			other.directory.Await(context.Background(), route, o)
			time.Sleep(2 * time.Second)
			f.list("v2", false)
			time.Sleep(20 * time.Second)
			f.log.TrimAll() // the log keeps its history for some seconds only
			f.setCut(missed, false)
			for missed.targets.Age() > 2*time.Second {
				time.Sleep(time.Millisecond)
			}
			time.Sleep(lookInterval)
			found := missed.directory.Find(context.Background(), k, route, []string{service})
			if found.Verdict == Found && found.Origin != o {
				t.Errorf("a stream of v2 is taken for one of %s: %+v", found.Origin.Version, found)
			}
		})
	}
}
