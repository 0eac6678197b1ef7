package streamversion

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"maststage.dev/standin/until"
)

// Guards against hosts of a failure domain that is cut off from the log and from the others, and that confirm each other in
// that there was one version.
func TestMinorityThatIsCutOffDoesNotConcludeThatThereWasOneVersion(t *testing.T) {
	is := is.New(t)
	f, hosts := newSimFleet(t, 6, "v1")
	minority, majority := hosts[:2], hosts[2:]
	for _, h := range minority {
		f.setDown(h)
		h.listAge = 10 * time.Second
	}
	for _, h := range majority {
		h.setVersions("v1", "v2")
	}
	k := KeyOf("org", "a1")
	majority[0].Began(k, route, Origin{service, "v2"}, time.Minute)
	until.True(t, "another host is told", func() bool { return f.countTold() > 0 })

	f.mu.Lock()
	for _, h := range hosts {
		h.down = !h.down // the minority reach each other only
	}
	f.mu.Unlock()
	_, verdict := minority[0].find(k)
	is.True(verdict != Found)
}
