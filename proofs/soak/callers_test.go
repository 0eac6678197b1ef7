package soak

import (
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"maststage.dev/platform"
	"maststage.dev/standin/backend"
)

// Figures of callers and their requests.
const (
	tokensIn  = 40
	maxOut    = 30
	minOut    = 5
	callers   = 12
	thinkTime = 25 * time.Millisecond
)

// call is one request as its caller saw it.
type call struct {
	id, path, tenant string
	host             *host
	started, ended   time.Time
	sent             bool // the request was written
	status           int
	stamp            string
	limit            string    // sent with the response
	leaving          bool      // the response announced its target's exit
	retryAfter       string    // seconds
	headAt           time.Time // when the response header arrived
	body             string
	err              error
}

// wholeBody returns the complete response of a plain service to a request.
func wholeBody(id string) string { return "answer to " + id }

// eventsOf returns the number of events in an engine's response to a request.
func eventsOf(id string) int {
	h := fnv.New32a()
	_, _ = io.WriteString(h, id)
	return minOut + int(h.Sum32()%(maxOut-minOut+1))
}

// streamBody returns the complete response of an engine to a request.
func streamBody(id string) string {
	var b strings.Builder
	for n := 1; n <= eventsOf(id); n++ {
		b.WriteString(backend.Event(id, n))
	}
	return b.String()
}

// traffic sends requests until ctx ends.
func (w *world) traffic(ctx context.Context, seed uint64) {
	var all sync.WaitGroup
	for i := range callers {
		all.Go(func() { w.caller(ctx, rand.New(rand.NewPCG(seed, uint64(100+i)))) })
	}
	all.Wait()
}

// caller sends requests one after the other over persistent connections.
func (w *world) caller(ctx context.Context, random *rand.Rand) {
	client := newClient()
	for ctx.Err() == nil {
		h := w.hosts[random.IntN(len(w.hosts))]
		path := []string{streamPath, streamPath, safePath, unsafePath}[random.IntN(4)]
		tenant := []string{smallTenant, largeTenant, largeTenant, revokedTenant}[random.IntN(4)]
		w.watch.call(w.send(client, h, path, tenant, random))
		time.Sleep(time.Duration(random.Int64N(int64(2 * thinkTime))))
	}
}

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, DisableCompression: true}, Timeout: requestLimit + 2*time.Second}
}

var lastRequest atomic.Int64

// send sends one request and waits for the end of its response. Without a tenant the request carries
// no key.
func (w *world) send(client *http.Client, h *host, path, tenant string, random *rand.Rand) call {
	c := call{
		id: fmt.Sprintf("%s-%d", w.network, lastRequest.Add(1)), path: path, tenant: tenant, host: h, started: time.Now(),
	}
	var sent atomic.Bool
	ctx := httptrace.WithClientTrace(context.Background(), &httptrace.ClientTrace{
		WroteRequest: func(httptrace.WroteRequestInfo) { sent.Store(true) },
	})
	resp, err := client.Do(c.request(ctx, random))
	c.sent = sent.Load()
	if err == nil {
		c.read(resp)
	} else {
		c.err = err
	}
	c.ended = time.Now()
	return c
}

// request builds the HTTP request of a call.
func (c *call) request(ctx context.Context, random *rand.Rand) *http.Request {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.host.listen+c.uri(), strings.NewReader(c.content()))
	if err != nil {
		panic(err)
	}
	req.Host = callersHost
	names := platform.Headers
	req.Header.Set(names.RequestID, c.id)
	req.Header.Set(names.Deadline, fmt.Sprint(requestLimit.Milliseconds()))
	if c.tenant != "" {
		req.Header.Set(names.Key, keyOf(c.tenant))
	}
	if c.path == streamPath || isDeadly(c.path) {
		req.Header.Set(names.Usage, fmt.Sprintf("%d,%d", tokensIn, maxOut))
		req.Header.Set(names.PromptParts, fmt.Sprintf("a%d:30,%x:10", random.IntN(5), random.Uint32()))
	}
	return req
}

// uri returns the request URI, content the body. A deadly request has the same ones each time.
func (c *call) uri() string {
	if isDeadly(c.path) {
		return c.path
	}
	return c.path + c.id
}

func (c *call) content() string {
	if isDeadly(c.path) {
		return "the same"
	}
	return sentBody(c.id)
}

// sentBody returns the body of a request.
func sentBody(id string) string { return "body of " + id }

// read reads the response of a call to its end.
func (c *call) read(resp *http.Response) {
	defer resp.Body.Close()
	c.status, c.stamp = resp.StatusCode, resp.Header.Get(platform.Headers.Stamp)
	c.limit, c.headAt = resp.Header.Get(platform.Headers.Limit), time.Now()
	c.retryAfter = resp.Header.Get(platform.Headers.RetryAfter)
	c.leaving = resp.Header.Get(platform.Headers.Leaving) != ""
	data, err := io.ReadAll(resp.Body)
	c.body, c.err = string(data), err
}
