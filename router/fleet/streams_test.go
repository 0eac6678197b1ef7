package fleet

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"maststage.dev/router/streamversion"
)

// Guards against telling hosts of streams that all fail together, or hosts of earlier builds, which don't remember them.
func TestHoldersAreSpreadOverDomainsAndRememberStreams(t *testing.T) {
	is := is.New(t)
	f := New(Options{Self: Host{Name: "self", Domain: "z0"}})
	for _, h := range []Host{
		{Name: "a", Address: "a", Domain: "z0", StreamVersions: true},
		{Name: "b", Address: "b", Domain: "z0", StreamVersions: true},
		{Name: "c", Address: "c", Domain: "z1", StreamVersions: true},
		{Name: "d", Address: "d", Domain: "z2", StreamVersions: true},
		{Name: "old", Address: "old", Domain: "z3"},
	} {
		f.hosts[h.Name] = peerState{host: h, lastSeen: time.Now()}
	}
	domain := map[string]string{"a": "z0", "b": "z0", "c": "z1", "d": "z2"}
	for _, attempt := range []string{"1", "2", "3", "4", "5", "6"} {
		list := f.Holders(streamversion.KeyOf("org", attempt))
		is.Equal(len(list), 4)
		seen := map[string]bool{}
		for _, address := range list[:distinctDomains] {
			seen[domain[address]] = true
		}
		is.Equal(len(seen), distinctDomains)
	}
}
