package node

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"maststage.dev/standin/backend"
	"maststage.dev/standin/gate"
)

// Figures of the tests of hosts without links to targets.
const (
	cutHosts       = 4
	cutTargets     = 3 // of each service
	cutDetection   = 2 * time.Second
	detectionPause = 100 * time.Millisecond
	cutRequests    = 12 // of each kind
	cutRunning     = 2  // streams that run as links are lost; all retries are within a host's share of the budget
	cutEvents      = 60
	cutGap         = 50 * time.Millisecond
	cutReturn      = 5 * time.Second
)

// The routes of these tests.
const (
	cutStreamRoute = `{"name":"e","host":"a.example","path_prefix":"/e/","kind":"streaming","timeout_ms":9000,"service":"e","max_attempts":3,"resumable":true,"target_latency_ms":400,"gap_target_ms":100}`
	unsafeRoute    = `{"name":"u","host":"a.example","path_prefix":"/u/","kind":"unsafe","timeout_ms":3000,"service":"s","max_attempts":2}`
)

// cutFleet is a fleet in which each host has links of its own to the targets.
type cutFleet struct {
	*testFleet
	hosts    []*host
	backends []*backend.Backend

	mu    sync.Mutex
	gates map[[2]string]*gate.Gate // by host and target
}

func newCutFleet(t *testing.T) *cutFleet {
	f := &cutFleet{testFleet: newFleet(t), gates: map[[2]string]*gate.Gate{}}
	f.bounds = "retry_ratio = 1\n" // for a few requests each of which may need one
	f.addressFor = func(host, target, address string) string {
		if strings.HasPrefix(target, deadPrefix) {
			return address
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		key := [2]string{host, target}
		if f.gates[key] == nil {
			f.gates[key] = gate.Open(t, "127.0.0.1", address)
		}
		return f.gates[key].Address()
	}
	f.publish(config(1, plainRoute+","+unsafeRoute+","+cutStreamRoute, ""))
	for i := range cutTargets {
		f.backends = append(f.backends,
			f.backend(fmt.Sprintf("s%d", i), backend.Behaviour{Body: "whole"}),
			f.engine(fmt.Sprintf("e%d", i), backend.Behaviour{Events: cutEvents, Gap: cutGap}))
	}
	for i := range cutHosts {
		f.hosts = append(f.hosts, f.start(f.settings(fmt.Sprintf("h%d", i))))
	}
	for _, h := range f.hosts {
		f.ready(h)
		f.eventually(h.name+" knows the others", func() bool { return len(h.fleet.TunnelHosts(h.targets.RegionOf)) == cutHosts-1 })
	}
	return f
}

// each calls do for the links of a host.
func (f *cutFleet) each(h *host, do func(g *gate.Gate)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for key, g := range f.gates {
		if key[0] == h.name {
			do(g)
		}
	}
}

// expectServed sends requests of all kinds to a host at the same time and expects whole responses.
func (f *cutFleet) expectServed(h *host) {
	f.t.Helper()
	var all sync.WaitGroup
	for i := range cutRequests {
		all.Go(func() {
			for _, path := range []string{"/r/", "/u/"} {
				got := f.call(h, fmt.Sprintf("%s%d", path, i), "")
				if got.status != http.StatusOK || got.body != "whole" {
					f.t.Errorf("%s got %d %q: %v", path, got.status, got.body, got.err)
				}
			}
			f.expectStream(h)
		})
	}
	all.Wait()
}

// expectStream expects a stream with all events, each once.
func (f *cutFleet) expectStream(h *host) {
	got := f.call(h, "/e/", "")
	want := 0
	for i := 1; i <= cutEvents; i++ {
		want += len(backend.Event(got.id, i))
	}
	if got.status != http.StatusOK || got.err != nil || len(got.body) != want {
		f.t.Errorf("stream of %s got %d and %d of %d bytes: %v", got.id, got.status, len(got.body), want, got.err)
	}
}

// Incident: hosts without links to the targets refused their callers, ejected the targets, counted them as exited and
// themselves as overloaded. Here the links refuse connections, or nothing responds to new ones at all.
func TestCutHostServesThroughOthers(t *testing.T) {
	for _, c := range []struct {
		name string
		cut  func(g *gate.Gate)
	}{
		{"refused and reset", (*gate.Gate).Shut},
		{"new ones refused", (*gate.Gate).ShutNew},
		{"new ones hang", (*gate.Gate).StallNew},
		{"all hang", func(g *gate.Gate) {
			g.StallNew()
			g.Freeze()
		}},
		{"all silent", (*gate.Gate).Freeze},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := newCutFleet(t)
			h := f.hosts[0]
			f.expectServed(h)
			var running sync.WaitGroup
			for range cutRunning { // streams that run as the links are lost
				running.Go(func() { f.expectStream(h) })
			}
			time.Sleep(500 * time.Millisecond)
			f.each(h, c.cut)
			// A few requests show the host what has happened, and may be the price of it.
			for end := time.Now().Add(cutDetection); time.Now().Before(end); time.Sleep(detectionPause) {
				go f.call(h, "/r/", "")
				go f.call(h, "/e/", "")
			}
			running.Wait()
			f.expectServed(h)
			f.is.True(h.Ready())
			for _, b := range f.backends {
				if h.targets.Ejected(b.ID, time.Now()) {
					t.Errorf("%s is ejected", b.ID)
				}
			}
			f.is.Equal(h.guard.Len(), 0)
			f.expectRunOnce()
			f.each(h, (*gate.Gate).Restore)
			deadline := time.Now().Add(cutReturn)
			for h.reach.CutServices() > 0 && time.Now().Before(deadline) {
				f.call(h, "/r/", "")
				f.expectStream(h)
			}
			f.is.Equal(h.reach.CutServices(), 0)
			f.expectServed(h)
		})
	}
}

// expectRunOnce expects that no request that must not be repeated has run twice.
func (f *cutFleet) expectRunOnce() {
	runs := map[string]int{}
	for _, b := range f.backends {
		for _, run := range b.Runs() {
			if run.URI[:3] == "/u/" {
				runs[run.ID]++
			}
		}
	}
	for id, n := range runs {
		if n > 1 {
			f.t.Errorf("%s ran %d times", id, n)
		}
	}
}

// Targets that are gone for all hosts are refused at once, and one that comes up is used at once.
func TestTargetsThatAreGoneForAll(t *testing.T) {
	f := newCutFleet(t)
	h := f.hosts[0]
	f.expectServed(h)
	for _, b := range f.backends {
		b.Close()
	}
	f.each(h, (*gate.Gate).Shut)
	for _, other := range f.hosts[1:] {
		f.each(other, (*gate.Gate).Shut)
	}
	for range 20 {
		began := time.Now()
		got := f.call(h, "/u/", "")
		f.is.True(got.status == http.StatusServiceUnavailable || got.status == http.StatusBadGateway)
		f.is.True(time.Since(began) < time.Second)
	}
	time.Sleep(cutDetection)
	f.backend("new", backend.Behaviour{Body: "whole"})
	began := time.Now()
	for f.call(h, "/r/", "").status != http.StatusOK && time.Since(began) < cutReturn {
		time.Sleep(20 * time.Millisecond)
	}
	f.is.True(time.Since(began) < time.Second)
	for range 50 {
		f.is.Equal(f.call(h, "/r/", "").status, http.StatusOK)
	}
}
