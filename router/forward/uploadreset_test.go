package forward

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"maststage.dev/router/target"
)

// uploadBytes is more than the kernel holds of an upload whose target reads nothing.
const uploadBytes = 4 << 20

// earlyEnd is what a target does after it has answered an upload that it doesn't read.
type earlyEnd struct {
	protocol string
	after    time.Duration
	reset    bool // explicitly; otherwise the close of a connection with bytes unread resets it
}

// startTargetThatAnswersEarly starts a target that answers each request, once it has read its head, with an unframed 200 and
// a part of its body, and ends the connection.
func (f *fixture) startTargetThatAnswersEarly(id, service, body string, end earlyEnd) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	f.is.NoErr(err)
	f.t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				request, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				_, _ = fmt.Fprintf(c, "%s 200 OK\r\nX-Id: %s\r\nX-Stamp: %s\r\nConnection: close\r\n\r\n%s", end.protocol, request.Header.Get("X-Id"), id, body)
				time.Sleep(end.after)
				if end.reset {
					_ = c.(*net.TCPConn).SetLinger(0)
				}
			}()
		}
	}()
	f.targets.Put(target.Entry{ID: id, Service: service, Address: l.Addr().String(), Domain: "z1", Slots: 4})
}

// earlyEnds are the ways in which the targets of the tests break off.
var earlyEnds = map[string]earlyEnd{
	"at once":                     {protocol: "HTTP/1.1", reset: true},
	"after 5 ms":                  {protocol: "HTTP/1.1", after: 5 * time.Millisecond, reset: true},
	"after 100 ms":                {protocol: "HTTP/1.1", after: 100 * time.Millisecond, reset: true},
	"after 5 ms, HTTP/1.0":        {protocol: "HTTP/1.0", after: 5 * time.Millisecond, reset: true},
	"closed with bytes not read":  {protocol: "HTTP/1.1", after: 5 * time.Millisecond},
	"closed later, with the same": {protocol: "HTTP/1.1", after: 100 * time.Millisecond},
}

// Guards against a response without framing that is taken for whole, though its target reset the connection: the write of
// a long upload takes the error, and the read of the response sees an orderly end.
func TestUnframedResponseResetUnderAnUploadIsNotWhole(t *testing.T) {
	const requests = 20
	for _, kind := range []struct{ path, service, body string }{
		{"/safe/", "plain", "part"}, {"/unsafe/", "plain", "part"}, {"/once/", "engine", "id: 1\ndata: x\n\n"}, {"/stream/", "engine", "id: 1\ndata: x\n\n"},
	} {
		for name, end := range earlyEnds {
			t.Run(kind.path+name, func(t *testing.T) {
				t.Parallel()
				f := newFixture(t)
				f.configure(strings.Replace(testConfig, `"max_body_bytes":100000`, fmt.Sprintf(`"max_body_bytes":%d`, uploadBytes), 1))
				f.startTargetThatAnswersEarly("t1", kind.service, kind.body, end)
				upload, whole := strings.Repeat("u", uploadBytes), 0
				for range requests {
					if got := f.do(f.request("POST", kind.path+"x", upload)); got.err == nil && got.status == http.StatusOK {
						whole++
					}
				}
				if whole > 0 {
					t.Errorf("%d of %d callers take a part for the whole response", whole, requests)
				}
			})
		}
	}
}

// Guards against a target's whole response to an upload that it didn't read, and that is thrown away.
func TestFramedResponseBeforeTheEndOfAnUploadIsDelivered(t *testing.T) {
	f := newFixture(t)
	f.configure(strings.Replace(testConfig, `"max_body_bytes":100000`, fmt.Sprintf(`"max_body_bytes":%d`, uploadBytes), 1))
	f.startTargetThatAnswersEarly("t1", "plain", "", earlyEnd{protocol: "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Rest:", after: 50 * time.Millisecond})
	got := f.do(f.request("POST", "/unsafe/x", strings.Repeat("u", uploadBytes)))
	f.is.NoErr(got.err)
	f.is.Equal(got.status, http.StatusOK)
}
