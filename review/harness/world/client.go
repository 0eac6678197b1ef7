package world

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"time"
)

// Answer is what a client got for one attempt.
type Answer struct {
	ID     string
	Status int
	Stamp  string
	LastID int  // of the last event
	Gap    bool // an event was missing or came twice
	Whole  bool // the answer ended as complete
	Err    error
	// RetryAfter is when the client may come back.
	RetryAfter time.Duration
	Bytes      int // of a whole answer
}

// Host and Key are those of the configuration's routes and tenant.
const (
	Host = "wuka97.example"
	Key  = "n2ctnfzs989anu6wsjnb"
)

// newRequest makes the request of one attempt.
func newRequest(ctx context.Context, method, front, id, uri string, deadline time.Duration, body io.Reader) *http.Request {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+front+uri, body)
	check(err)
	r.Host = Host
	r.Header.Set("Attempt-Id", id)
	r.Header.Set("Api-Key", Key)
	r.Header.Set("Deadline-Ms", strconv.Itoa(int(deadline.Milliseconds())))
	return r
}

// Stream sends one request for a stream of events on a connection of its own and reads the answer to its end.
func (w *World) Stream(front, id string, events, gapMs int, deadline time.Duration) Answer {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	a := Answer{ID: id}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}
	r := newRequest(ctx, http.MethodPost, front, id, fmt.Sprintf("/tile410/zi7/%s?events=%d&gap_ms=%d", id, events, gapMs), deadline, strings.NewReader("prompt"))
	r.Header.Set("Model", "m")
	r.Header.Set("Token-Usage", fmt.Sprintf("800,%d", 5*events))
	r.Header.Set("Prompt-Prefix", id[len(id)-4:]+"5c1e:600,"+id+":200")
	w.Note("client sends %s to %s", id, front)
	resp, err := client.Do(r)
	if err != nil {
		a.Err = err
		w.Note("client %s gets no answer: %v", id, err)
		return a
	}
	defer resp.Body.Close()
	a.Status, a.Stamp = resp.StatusCode, resp.Header.Get("Response-Stamp")
	seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	a.RetryAfter = time.Duration(seconds * float64(time.Second))
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		text, isID := strings.CutPrefix(lines.Text(), "id: ")
		if !isID {
			continue
		}
		n, _ := strconv.Atoi(text)
		a.Gap = a.Gap || n != a.LastID+1
		a.LastID = n
	}
	a.Err = lines.Err()
	a.Whole = a.Err == nil
	w.Note("client %s gets %d, stamp %q, events up to %d of %d, whole %t, error %v", id, a.Status, a.Stamp, a.LastID, events, a.Whole, a.Err)
	return a
}

// maxTries bounds the attempts of one client.
const maxTries = 4

// StreamWithRetries is Stream for a client that tries again, on a new connection, after a refusal that promises that the
// request has not run.
func (w *World) StreamWithRetries(front string, client, events, gapMs int, deadline time.Duration) (a Answer) {
	end := time.Now().Add(deadline)
	for try := range maxTries {
		a = w.Stream(front, fmt.Sprintf("9c41d07b%02x%06x", try, client), events, gapMs, time.Until(end))
		if a.Status != http.StatusServiceUnavailable && a.Status != http.StatusTooManyRequests {
			return a
		}
		time.Sleep(a.RetryAfter)
	}
	return a
}

// Client is a client that keeps its connection for many requests.
type Client struct {
	world *World
	front string
	name  string
	sent  int
	http  *http.Client
}

// NewClient returns a client of one router without a connection.
func (w *World) NewClient(front, name string) *Client {
	transport := &http.Transport{MaxConnsPerHost: 1, MaxIdleConnsPerHost: 1, DisableCompression: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	return &Client{world: w, front: front, name: name, http: &http.Client{Transport: transport}}
}

// Close closes the client's connection.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Post sends one request of the unsafe route, whose answer takes the runner the given time. kept reports whether it went
// on a connection that had carried others.
func (c *Client) Post(work, deadline time.Duration) (a Answer, kept bool) {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	a.ID = c.nextID()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { kept = info.Reused }})
	r := newRequest(ctx, http.MethodPost, c.front, a.ID, fmt.Sprintf("/puxa403/%s?work_ms=%d&bytes=800", a.ID, work.Milliseconds()), deadline, strings.NewReader("order"))
	a.finish(c, r, &kept)
	return a, kept
}

// Get sends one request of a safe route and reads the whole answer.
func (c *Client) Get(uri string, deadline time.Duration) (a Answer) {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	a.ID = c.nextID()
	kept := false
	a.finish(c, newRequest(ctx, http.MethodGet, c.front, a.ID, uri, deadline, nil), &kept)
	return a
}

// nextID returns the id of the client's next attempt.
func (c *Client) nextID() string {
	c.sent++
	return fmt.Sprintf("%s%06x", c.name, c.sent)
}

// finish sends a request and reads its answer.
func (a *Answer) finish(c *Client, r *http.Request, kept *bool) {
	c.world.Note("client sends %s %s to %s", a.ID, r.URL.Path, c.front)
	resp, err := c.http.Do(r)
	if err != nil {
		a.Err = err
		c.world.Note("client %s, kept connection %t, gets no answer: %v", a.ID, *kept, err)
		return
	}
	defer resp.Body.Close()
	a.Status, a.Stamp = resp.StatusCode, resp.Header.Get("Response-Stamp")
	var n int64
	n, a.Err = io.Copy(io.Discard, resp.Body)
	a.Bytes = int(n)
	a.Whole = a.Err == nil
	seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	a.RetryAfter = time.Duration(seconds * float64(time.Second))
	c.world.Note("client %s, kept connection %t, gets %d, stamp %q, whole %t, retry after %v", a.ID, *kept, a.Status, a.Stamp, a.Whole, a.RetryAfter)
}
