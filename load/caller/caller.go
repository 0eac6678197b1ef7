// Package caller simulates a caller: it sends a request to one host, and retries it
// with the same id on another host if the first one asks for a retry, breaks the
// connection or stays silent.
package caller

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"connectrpc.com/connect"

	maststagev1 "maststage.dev/api/maststage/v1"
	"maststage.dev/api/maststage/v1/maststagev1connect"
	"maststage.dev/lib/failure"
)

// Request is one request of a caller and how long to try it.
type Request struct {
	Key, ID, Class string
	Input          []byte
	MaxTokens      uint32
	IdleTimeout    time.Duration // time without a message after which to retry on another host
	Timeout        time.Duration // for all attempts together
	Once           bool          // don't retry
	First          int           // index of the first host to try, modulo the number of hosts
}

// Outcome is the result of a request as the caller saw it.
type Outcome struct {
	Request    Request
	Data       []byte
	Chunks     uint32
	Whole      bool
	Billed     uint64
	Kind       string // kind of the last error
	Ran        string // "yes", "no" or "unknown", as reported to the caller
	Attempts   int
	Cut        int    // attempts that broke after the request was sent
	CutBy      string // host and error of the last of them
	Start      time.Time
	FirstToken time.Duration
	Gaps       []time.Duration
	Took       time.Duration
	Broken     string // what is wrong with the response itself; empty: nothing
}

// Kinds of outcome that the caller itself determines.
const (
	Lost  = "lost"  // the connection broke, or no message arrived in time
	Moved = "moved" // the host is shutting down and asked to retry elsewhere
)

var errMoved = errors.New("moved to another host")

// Caller sends requests to a fleet.
type Caller struct {
	clients []maststagev1connect.CallerClient
}

// New returns a caller of the hosts at these addresses (IP:port).
func New(hosts []string) *Caller {
	web := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024, DisableCompression: true}}
	c := &Caller{}
	for _, h := range hosts {
		c.clients = append(c.clients, maststagev1connect.NewCallerClient(web, "http://"+h))
	}
	return c
}

const (
	retryMin = 20 * time.Millisecond
	retryMax = 2 * time.Second
)

// Send sends a request, retrying it until it has an outcome or its time is up.
func (c *Caller) Send(ctx context.Context, r Request) Outcome {
	ctx, cancel := context.WithTimeout(ctx, r.Timeout)
	defer cancel()
	o := &Outcome{Request: r, Ran: "no", Start: time.Now()}
	c.retry(ctx, o)
	o.Took = time.Since(o.Start)
	return *o
}

// retry tries one host after another until the request has an outcome or ctx is done.
func (c *Caller) retry(ctx context.Context, o *Outcome) {
	r := o.Request
	for i := r.First; ; i++ {
		o.Attempts++
		err := c.attempt(ctx, c.clients[i%len(c.clients)], o)
		if o.Whole || o.Broken != "" {
			return
		}
		after, again := o.recordFailure(err, i%len(c.clients))
		if !again || r.Once {
			return
		}
		t := time.NewTimer(after)
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return
		}
	}
}

// recordFailure updates the outcome after a failed attempt and returns whether and when to retry.
func (o *Outcome) recordFailure(err error, host int) (after time.Duration, again bool) {
	kind, ran, after := classify(err)
	o.Kind = kind
	if ran != "no" {
		o.Ran = "unknown"
	}
	switch {
	case kind == Lost && ran != "no":
		o.Cut++
		o.CutBy = fmt.Sprintf("host %d: %v", host, err)
		return retryMin, true
	case kind == Lost || kind == Moved:
		return retryMin, true
	}
	if ran == "yes" {
		o.Ran = "yes"
	}
	if after == 0 {
		return 0, false
	}
	return min(max(after, retryMin), retryMax), true
}

// classify returns what a host's error reports, or Lost if no host sent it.
func classify(err error) (kind, ran string, after time.Duration) {
	if errors.Is(err, errMoved) {
		return Moved, "unknown", 0
	}
	if f := failure.Of(err); f != nil {
		return f.Kind, f.Ran, time.Duration(f.RetryAfterMs) * time.Millisecond
	}
	if dialFailed(err) {
		return Lost, "no", 0
	}
	return Lost, "unknown", 0
}

// attempt makes one attempt on a host. Chunks received before the stream broke are kept.
func (c *Caller) attempt(ctx context.Context, client maststagev1connect.CallerClient, o *Outcome) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silence := time.AfterFunc(o.Request.IdleTimeout, cancel)
	defer silence.Stop()
	attemptNumber := uint32(1)
	if o.Ran != "no" {
		attemptNumber = 2
	}
	r := o.Request
	req := connect.NewRequest(&maststagev1.RunRequest{
		RequestId: r.ID, Class: r.Class, Input: r.Input, MaxTokens: r.MaxTokens,
		Attempt: attemptNumber, ResumeFrom: o.Chunks,
	})
	req.Header().Set("Authorization", "Bearer "+r.Key)
	s, err := client.Run(ctx, req)
	if err != nil {
		return err
	}
	defer s.Close()
	last := time.Now()
	for s.Receive() {
		silence.Reset(r.IdleTimeout)
		if s.Msg().Moved {
			return errMoved
		}
		if done := o.message(s.Msg(), &last); done {
			return nil
		}
	}
	if err := s.Err(); err != nil {
		return err
	}
	return errors.New("the stream ended without an end mark")
}

func (o *Outcome) message(m *maststagev1.RunResponse, last *time.Time) (done bool) {
	switch {
	case m.RequestId != o.Request.ID:
		o.Broken = "answer to another request"
		return true
	case m.End != nil:
		o.Whole = m.End.Chunks == o.Chunks
		o.Billed = m.End.BilledTokens
		o.Ran = "yes"
		if !o.Whole {
			o.Broken = "end mark that counts other chunks"
		}
		return true
	case m.Index != o.Chunks:
		o.Broken = "chunk out of order"
		return true
	default:
		now := time.Now()
		if o.Chunks == 0 {
			o.FirstToken = now.Sub(o.Start)
		} else {
			o.Gaps = append(o.Gaps, now.Sub(*last))
		}
		*last = now
		o.Chunks++
		o.Data = append(o.Data, m.Data...)
	}
	return false
}
