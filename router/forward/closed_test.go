package forward

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"maststage.dev/standin/backend"
)

// Guards against a response that ends with its caller's connection and is taken for whole, as the host's grace time ended: its
// server closes all connections then.
func TestServerThatClosesEndsNoResponseAsWhole(t *testing.T) {
	stream := backend.Behaviour{Events: 40, Gap: 50 * time.Millisecond}
	unframed := stream
	unframed.NoLength = true
	long := backend.Behaviour{Body: strings.Repeat("x", 16<<20), NoLength: true}
	for _, c := range []struct {
		name, protocol, path, until string
		how                         backend.Behaviour
	}{
		{"stream, HTTP/1.1", "HTTP/1.1", "/once/x", "id: 3\n", stream},
		{"stream, HTTP/1.0", "HTTP/1.0", "/once/x", "id: 3\n", stream},
		{"stream without framing", "HTTP/1.1", "/once/x", "id: 3\n", unframed},
		{"long response without framing", "HTTP/1.1", "/safe/x", "xxx", long},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t)
			f.add("e1", "engine", c.how)
			f.add("p1", "plain", c.how)
			caller := f.call(c.protocol, c.path, "Content-Length: 1\r\n", "p")
			beginning := caller.readUntil(c.until)
			f.is.NoErr(f.server.Config.Close())
			got := caller.readAll()
			got.bytes = beginning + got.bytes
			if got.looksWhole() {
				t.Errorf("the caller takes this for a whole response: %.300q, reset: %t", got.bytes, got.reset)
			}
		})
	}
}

// Guards against a response without framing that is taken for whole though its target exited midway, as its caller stopped
// sending before the host knew that.
func TestResponseOfATargetThatExitedIsNotWholeForACallerThatStopsSending(t *testing.T) {
	for _, after := range []time.Duration{0, 10 * time.Millisecond, 30 * time.Millisecond, 50 * time.Millisecond} {
		for _, protocol := range []string{"HTTP/1.1", "HTTP/1.0"} {
			t.Run(fmt.Sprintf("%v, %s", after, protocol), func(t *testing.T) {
				t.Parallel()
				f := newFixture(t)
				f.add("e1", "engine", backend.Behaviour{Events: 10, CrashAfter: 3, NoLength: true})
				caller := f.call(protocol, "/once/x", "Content-Length: 1\r\n", "p")
				got := received{bytes: caller.readUntil("id: 3\n")}
				time.Sleep(after)
				caller.closeSending()
				rest := caller.readAll()
				got.bytes, got.reset = got.bytes+rest.bytes, rest.reset
				if got.looksWhole() {
					t.Errorf("the caller takes this for a whole response: %q", got.bytes)
				}
			})
		}
	}
}
