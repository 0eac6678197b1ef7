package forward

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"maststage.dev/router/target"
	"maststage.dev/standin/backend"
)

// regional is the test configuration with allowed regions for the safe route and the streams,
// and organisations in other regions.
func regional(version string) string {
	text := strings.Replace(testConfig, `"version":7`, `"version":`+version, 1)
	text = strings.Replace(text, `"name":"safe",`, `"name":"safe","allowed_regions":["north"],`, 1)
	text = strings.Replace(text, `"name":"stream",`, `"name":"stream","allowed_regions":["north","south"],`, 1)
	return strings.Replace(text, `"priority":1}]}`, `"priority":1},{"name":"southern","keys":["ks"],"allowed_regions":["south"]}]}`, 1)
}

// addIn is add in a failure domain.
func (b *bench) addIn(domain, id, service string, how backend.Behaviour) *backend.Backend {
	b.t.Helper()
	e, err := backend.Start(id, backendNames, func(backend.Run) backend.Behaviour { return how })
	b.is.NoErr(err)
	b.t.Cleanup(e.Close)
	b.targets.Put(target.Entry{ID: id, Service: service, Address: e.Address(), Domain: domain, Slots: 4})
	return e
}

func (b *bench) northAndSouth() {
	b.targets.SetRegions(map[string]string{"z1": "north", "z2": "south"})
	b.configure(regional("8"))
}

// A request runs only where its route and its organisation allow it, and one that may run
// nowhere is refused at once as not run.
func TestRequestsRunOnlyInAllowedRegions(t *testing.T) {
	b := newBench(t)
	b.northAndSouth()
	north, south := b.addIn("z1", "n", "plain", backend.Behaviour{}), b.addIn("z2", "s", "plain", backend.Behaviour{})
	for range 20 {
		b.is.Equal(b.do(b.request(http.MethodGet, "/safe/x", "")).status, 200)
	}
	b.is.Equal(len(north.Runs()), 20)
	b.is.Equal(len(south.Runs()), 0)

	req := b.request(http.MethodGet, "/safe/x", "") // the route north, its organisation south
	req.Header.Set("X-Key", "ks")
	got := b.do(req)
	b.is.Equal(got.status, http.StatusServiceUnavailable)
	b.is.Equal(got.header.Get("Retry-After"), "3600") // an operator has to change the configuration first
	b.is.Equal(b.recorder.last(t, req.Header.Get("X-Id")).Kind, NoRegion)

	open := b.request(http.MethodPost, "/unsafe/x", "") // no region of the route's own
	open.Header.Set("X-Key", "ks")
	b.is.Equal(b.do(open).status, 200)
	b.is.Equal(len(south.Runs()), 1)
}

// A repeat and a resumed stream stay in the allowed regions as well, though a target elsewhere is
// free.
func TestRepeatsStayInAllowedRegions(t *testing.T) {
	b := newBench(t)
	b.northAndSouth()
	b.addIn("z1", "n", "plain", backend.Behaviour{Refuse: true})
	south := b.addIn("z2", "s", "plain", backend.Behaviour{})
	b.is.Equal(b.do(b.request(http.MethodGet, "/safe/x", "")).status, http.StatusServiceUnavailable)
	b.is.Equal(south.Arrivals(), 0)
}

// A region that is closed while a stream runs is left as it is resumed: the next try goes by the
// newest configuration.
func TestNewestConfigurationClosesARegion(t *testing.T) {
	b := newBench(t)
	b.northAndSouth()
	south := b.addIn("z2", "s", "engine", backend.Behaviour{Events: 3})
	breaks := backend.Behaviour{Delay: 150 * time.Millisecond, Events: 3, BreakAfter: 1}
	b.addIn("z1", "n1", "engine", breaks)
	got := b.do(b.request(http.MethodPost, "/stream/x", "p"))
	b.is.NoErr(got.err)
	b.is.Equal(south.Arrivals(), 1)

	closed := strings.Replace(regional("9"), `["north","south"]`, `["north"]`, 1)
	time.AfterFunc(50*time.Millisecond, func() { b.configure(closed) })
	b.addIn("z1", "n2", "engine", breaks)
	got = b.do(b.request(http.MethodPost, "/stream/x", "p"))
	b.is.True(got.err != nil) // cut off
	b.is.Equal(south.Arrivals(), 1)
}
