package forward

import (
	"io"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"maststage.dev/router/capacity"
	"maststage.dev/standin/backend"
)

// fillLink lets requests of an organisation arrive for some seconds that want more than the link carries.
func (f *fixture) fillLink(organisation string) {
	f.t.Helper()
	f.capacity.Responded("flood", 1e6)
	flood := capacity.Request{Organisation: organisation, Route: "flood"}
	now := time.Now().Add(-3 * time.Second)
	for now.Before(time.Now()) {
		now = now.Add(50 * time.Millisecond)
		f.capacity.Arrived(flood, now)
		f.capacity.Arrived(flood, now)
		f.capacity.Decide(now)
	}
}

// watchedBody is a request's body that notes whether it was read.
type watchedBody struct {
	io.Reader
	read bool
}

func (b *watchedBody) Read(p []byte) (int, error) {
	b.read = true
	return b.Reader.Read(p)
}

// Guards against a full host that runs requests which it refuses, or reads their bodies before it refuses them, and
// against the flood of another organisation costing a caller its requests.
func TestFullLinkRefusesTheFloodOnly(t *testing.T) {
	f := newFixture(t)
	f.add("p1", "plain", backend.Behaviour{Body: "x"})
	f.fillLink("another")
	for range 20 {
		f.is.Equal(f.do(f.request("GET", "/safe/x", "")).status, 200)
	}
	f.fillLink("org")
	runs, refused := f.runCount(), 0
	for range 40 {
		req := f.request("POST", "/safe/x", "body")
		body := &watchedBody{Reader: strings.NewReader("body")}
		req.Body, req.RequestURI = io.NopCloser(body), "/safe/x"
		response := httptest.NewRecorder()
		f.serveHTTP(response, req)
		if response.Code != 503 {
			continue
		}
		refused++
		f.is.True(!body.read)
		wait, err := strconv.ParseFloat(response.Header().Get("Retry-After"), 64)
		f.is.NoErr(err)
		f.is.True(wait > 0)
	}
	f.is.True(refused > 10)
	f.is.Equal(f.runCount()-runs, 40-refused)
}

// Guards against the bytes of requests and responses that aren't counted as use of the link.
func TestRelayedBytesCountAsUse(t *testing.T) {
	f := newFixture(t)
	f.add("p1", "plain", backend.Behaviour{Body: strings.Repeat("x", 50_000)})
	f.is.Equal(f.do(f.request("POST", "/safe/x", strings.Repeat("y", 50_000))).status, 200)
	f.eventually("use", func() bool { return f.capacity.Use(time.Now()) > 0 })
	const capacityBytes = testLinkMbps * 1e6 / 8
	use := f.capacity.Use(time.Now()) * capacityBytes
	f.is.True(use > 100_000 && use < 120_000)
}
