package forward

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"maststage.dev/standin/backend"
)

// Guards against a request that is kept past its deadline, for as long as its caller keeps the connection, as its body stops short.
func TestBodyThatStopsShortIsRefusedAtTheDeadline(t *testing.T) {
	for name, framing := range map[string]string{
		"length": "Content-Length: 10\r\n", "chunks": "Transfer-Encoding: chunked\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := newFixture(t)
			target := f.add("p1", "plain", backend.Behaviour{Body: "whole"})
			body := "half"
			if name == "chunks" {
				body = "4\r\nhalf\r\n"
			}
			got := f.call("HTTP/1.1", "/unsafe/x", framing+"X-Deadline: 300\r\n", body).readAll()
			is.True(strings.HasPrefix(got.bytes, "HTTP/1.1 408 "))
			is.Equal(target.Arrivals(), 0)
			is.Equal(f.handler.InFlight(), int64(0))
		})
	}
}

// Guards against a deadline of the body's reads that ends the request once its body is there.
func TestBodyThatArrivesInTimeIsServedUntilTheDeadline(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.add("e1", "engine", backend.Behaviour{Events: 5, Gap: 20 * time.Millisecond})
	caller := f.call("HTTP/1.1", "/once/x", "Content-Length: 4\r\nX-Deadline: 2000\r\nConnection: close\r\n", "ha")
	_, err := fmt.Fprint(caller.conn, "lf")
	is.NoErr(err)
	got := caller.readAll()
	is.True(strings.HasPrefix(got.bytes, "HTTP/1.1 200 "))
	is.True(got.looksWhole())
}
