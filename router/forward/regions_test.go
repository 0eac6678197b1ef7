package forward

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"maststage.dev/router/target"
	"maststage.dev/standin/backend"
)

// regional returns the test configuration with allowed regions for the safe route and the streams,
// and an organisation that is restricted to another region.
func regional(version string) string {
	text := strings.Replace(testConfig, `"version":7`, `"version":`+version, 1)
	text = strings.Replace(text, `"name":"safe",`, `"name":"safe","allowed_regions":["north"],`, 1)
	text = strings.Replace(text, `"name":"stream",`, `"name":"stream","allowed_regions":["north","south"],`, 1)
	return strings.Replace(text, `"priority":1}]}`, `"priority":1},{"name":"southern","keys":["ks"],"allowed_regions":["south"]}]}`, 1)
}

// addIn is add in a failure domain.
func (f *fixture) addIn(domain, id, service string, how backend.Behaviour) *backend.Backend {
	f.t.Helper()
	e, err := backend.Start(id, backendNames, func(backend.Run) backend.Behaviour { return how })
	f.is.NoErr(err)
	f.t.Cleanup(e.Close)
	f.targets.Put(target.Entry{ID: id, Service: service, Address: e.Address(), Domain: domain, Slots: 4})
	return e
}

func (f *fixture) northAndSouth() {
	f.targets.SetRegions(map[string]string{"z1": "north", "z2": "south"})
	f.configure(regional("8"))
}

// Guards against running a request in a region that its route or its organisation doesn't allow, and
// against reporting one that no region may run as possibly run.
func TestRequestsRunOnlyInAllowedRegions(t *testing.T) {
	f := newFixture(t)
	f.northAndSouth()
	north, south := f.addIn("z1", "n", "plain", backend.Behaviour{}), f.addIn("z2", "s", "plain", backend.Behaviour{})
	for range 20 {
		f.is.Equal(f.do(f.request(http.MethodGet, "/safe/x", "")).status, 200)
	}
	f.is.Equal(len(north.Runs()), 20)
	f.is.Equal(len(south.Runs()), 0)

	req := f.request(http.MethodGet, "/safe/x", "") // the route allows north, the organisation south
	req.Header.Set("X-Key", "ks")
	got := f.do(req)
	f.is.Equal(got.status, http.StatusServiceUnavailable)
	f.is.Equal(got.header.Get("Retry-After"), "3600") // an operator must change the configuration first
	f.is.Equal(f.recorder.waitOutcome(t, req.Header.Get("X-Id")).Kind, NoRegion)

	open := f.request(http.MethodPost, "/unsafe/x", "") // the route allows all regions
	open.Header.Set("X-Key", "ks")
	f.is.Equal(f.do(open).status, 200)
	f.is.Equal(len(south.Runs()), 1)
}

// Guards against a retry at a free target outside the allowed regions.
func TestRetriesStayInAllowedRegions(t *testing.T) {
	f := newFixture(t)
	f.northAndSouth()
	f.addIn("z1", "n", "plain", backend.Behaviour{Refuse: true})
	south := f.addIn("z2", "s", "plain", backend.Behaviour{})
	f.is.Equal(f.do(f.request(http.MethodGet, "/safe/x", "")).status, http.StatusServiceUnavailable)
	f.is.Equal(south.Arrivals(), 0)
}

// Guards against resuming a stream in a region that was closed while the stream ran: a retry must
// obey the newest configuration.
func TestResumedStreamLeavesClosedRegion(t *testing.T) {
	f := newFixture(t)
	f.northAndSouth()
	south := f.addIn("z2", "s", "engine", backend.Behaviour{Events: 3})
	breaks := backend.Behaviour{Delay: 150 * time.Millisecond, Events: 3, BreakAfter: 1}
	f.addIn("z1", "n1", "engine", breaks)
	got := f.do(f.request(http.MethodPost, "/stream/x", "p"))
	f.is.NoErr(got.err)
	f.is.Equal(south.Arrivals(), 1)

	closed := strings.Replace(regional("9"), `["north","south"]`, `["north"]`, 1)
	time.AfterFunc(50*time.Millisecond, func() { f.configure(closed) })
	f.addIn("z1", "n2", "engine", breaks)
	got = f.do(f.request(http.MethodPost, "/stream/x", "p"))
	f.is.True(got.err != nil) // cut off
	f.is.Equal(south.Arrivals(), 1)
}
