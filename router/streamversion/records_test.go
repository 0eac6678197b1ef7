package streamversion

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a version that has no record while streams begin there: it comes back as the record of its first stay is
// deleted by a host that sees it later.
func TestRecordOfAVersionThatComesBackIsKept(t *testing.T) {
	inVirtualTime(t, func(is *is.I, f *pastFleet) {
		f.start(3, nil, usesV1, usesV2)
		time.Sleep(2 * useMemory)
		f.observe(usesV1)
		time.Sleep(useMemory - time.Second)
		f.hosts[0].observed.Store(&[]Use{usesV1, usesV2}) // the others' lists are up to maxUsesAge behind
		for range 40 {
			f.hosts[0].Await(context.Background(), route, Origin{service, "v2"})
			is.Equal(f.recorded(usesV2), 1)
			time.Sleep(100 * time.Millisecond)
		}
	})
}

// Guards against a host that takes the fleet for a new one, as the log came back from a copy of its beginning, and its own
// list for all that there was.
func TestLogThatCameBackAsANewOneProvesNothing(t *testing.T) {
	inVirtualTime(t, func(is *is.I, f *pastFleet) {
		copied := f.log.Snapshot()
		f.start(3, nil, usesV1, usesV2)
		time.Sleep(5 * time.Second)
		f.killAll()
		f.log.Restore(copied)
		f.isNew = true // of announcements, too, only the first ones are left
		h := f.start(3, nil, usesV1)
		time.Sleep(useMemory / 2)
		is.True(!h.Covers())
	})
}
