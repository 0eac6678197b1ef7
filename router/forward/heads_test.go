package forward

import (
	"net/http"
	"testing"

	"maststage.dev/router/target"
	"maststage.dev/standin/rawtarget"
)

// forbiddenLines are lines of a head with which it is no response.
var forbiddenLines = map[string]string{
	"blank in a name":           "X Bad: x\r\n",
	"blank behind a name":       "X-Bad : x\r\n",
	"length under another name": "Content Length: 3\r\n",
	"length before a blank":     "Content-Length : 3\r\n",
	"chunks before a blank":     "Transfer-Encoding : chunked\r\n",
	"control byte in a name":    "X\x01Bad: x\r\n",
}

// Guards against a head that HTTP forbids and that reaches the caller, with the line or with a body that is not the target's:
// for all kinds of requests, in the final head and in an interim one before it.
func TestForbiddenHeadReachesNoCaller(t *testing.T) {
	const sound = "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Stamp: t1\r\n"
	for _, kind := range []struct{ path, service, body string }{
		{"/safe/", "plain", "abc"}, {"/unsafe/", "plain", "abc"}, {"/once/", "engine", "id: 1\ndata: x\n\n"}, {"/stream/", "engine", "id: 1\ndata: x\n\n"},
	} {
		heads := map[string]string{
			"status 000": "HTTP/1.1 000 None\r\nX-Id: r1\r\nX-Stamp: t1\r\n\r\n", "status 099": "HTTP/1.1 099 None\r\nX-Id: r1\r\nX-Stamp: t1\r\n\r\n",
		}
		for name, line := range forbiddenLines {
			heads[name] = sound + line + "\r\n"
			heads["interim: "+name] = "HTTP/1.1 103 Early Hints\r\n" + line + "\r\n" + sound + "\r\n"
		}
		for name, head := range heads {
			t.Run(kind.path+name, func(t *testing.T) {
				t.Parallel()
				f := newFixture(t)
				raw, err := rawtarget.Start(func(*http.Request) rawtarget.Reply {
					return rawtarget.Reply{Text: head + kind.body, Ending: rawtarget.Close}
				})
				f.is.NoErr(err)
				t.Cleanup(raw.Close)
				f.targets.Put(target.Entry{ID: "t1", Service: kind.service, Address: raw.Address(), Domain: "z1", Slots: 4})
				got := f.do(f.request("POST", kind.path+"x", "p"))
				f.is.True(got.status != http.StatusOK)
			})
		}
	}
}
