package forward

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"maststage.dev/router/target"
	"maststage.dev/standin/backend"
	"maststage.dev/standin/faultlink"
)

// Connections to a target that go silent without a reset cost one request its time,
// however many there are.
func TestSilentTargetConnectionsCostOneRequest(t *testing.T) {
	b := newBench(t)
	e, err := backend.Start("t1", backendNames, func(backend.Run) backend.Behaviour {
		return backend.Behaviour{Body: "answer", Delay: 50 * time.Millisecond} // so that requests overlap
	})
	b.is.NoErr(err)
	t.Cleanup(e.Close)
	link := faultlink.Open(t, faultlink.Options{Listen: "127.0.0.1:0", To: e.Address()})
	b.targets.Put(target.Entry{ID: "t1", Service: "plain", Address: link.Address(), Domain: "z1", Slots: 4})
	var all sync.WaitGroup
	for range 4 {
		req := b.request("GET", "/safe/x", "")
		all.Go(func() { b.do(req) })
	}
	all.Wait()
	link.Hush()
	req := b.request("GET", "/safe/x", "")
	req.Header.Set("X-Deadline", "400")
	b.is.Equal(b.do(req).status, http.StatusGatewayTimeout) // on a silent connection
	b.is.Equal(b.do(b.request("GET", "/safe/x", "")).status, http.StatusOK)
}
