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

// Guards against several idle connections that went silent without a reset each timing a request
// out: after the first timeout all of them must be closed.
func TestDeadConnectionsFailOnlyOneRequest(t *testing.T) {
	f := newFixture(t)
	e, err := backend.Start("t1", backendNames, func(backend.Run) backend.Behaviour {
		return backend.Behaviour{Body: "answer", Delay: 50 * time.Millisecond} // so that requests overlap
	})
	f.is.NoErr(err)
	t.Cleanup(e.Close)
	link := faultlink.Open(t, faultlink.Options{Listen: "127.0.0.1:0", To: e.Address()})
	f.targets.Put(target.Entry{ID: "t1", Service: "plain", Address: link.Address(), Domain: "z1", Slots: 4})
	var all sync.WaitGroup
	for range 4 {
		req := f.request("GET", "/safe/x", "")
		all.Go(func() { f.do(req) })
	}
	all.Wait()
	link.Silence()
	req := f.request("GET", "/safe/x", "")
	req.Header.Set("X-Deadline", "400")
	f.is.Equal(f.do(req).status, http.StatusGatewayTimeout) // on a silent connection
	f.is.Equal(f.do(f.request("GET", "/safe/x", "")).status, http.StatusOK)
}
