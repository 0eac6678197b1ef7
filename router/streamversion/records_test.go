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
