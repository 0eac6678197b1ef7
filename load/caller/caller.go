// Package caller is a caller that behaves as the users' callers do: it sends a
// request through one host, and tries again with the same id through another
// when it is told to come back or hears nothing.
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

// Request is what a caller wants.
type Request struct {
	Key, ID, Class string
	Input          []byte
	MaxTokens      uint32
	Silence        time.Duration // without a message, after which it asks elsewhere
	Patience       time.Duration // in all
	Once           bool          // sends it once only
	First          int           // number of the first host to ask
}

// Outcome is what a caller ends up with.
type Outcome struct {
	Request    Request
	Data       []byte
	Chunks     uint32
	Whole      bool
	Billed     uint64
	Kind       string // of the last error
	Ran        string // "yes", "no" or "unknown", as far as the caller was told
	Tries      int
	Cut        int    // tries that broke after they were sent
	CutBy      string // what broke the last of them, and through which host
	Start      time.Time
	FirstToken time.Duration
	Gaps       []time.Duration
	Took       time.Duration
	Broken     string // what is wrong with the answer itself, empty: nothing
}

// Kinds of outcome that are not the fleet's.
const (
	Lost  = "lost"  // the connection broke, or nothing came in time
	Moved = "moved" // the host is stopping and said so
)

var errMoved = errors.New("moved to another host")

// Caller sends requests to a fleet.
type Caller struct {
	clients []maststagev1connect.CallerClient
}

// New makes a caller of hosts, given by IP:port.
func New(hosts []string) *Caller {
	web := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024, DisableCompression: true}}
	c := &Caller{}
	for _, h := range hosts {
		c.clients = append(c.clients, maststagev1connect.NewCallerClient(web, "http://"+h))
	}
	return c
}

const (
	againMin = 20 * time.Millisecond
	againMax = 2 * time.Second
)

// Send gets a request answered.
func (c *Caller) Send(ctx context.Context, r Request) Outcome {
	ctx, cancel := context.WithTimeout(ctx, r.Patience)
	defer cancel()
	o := &Outcome{Request: r, Ran: "no", Start: time.Now()}
	c.follow(ctx, o)
	o.Took = time.Since(o.Start)
	return *o
}

// follow asks one host after another until there is an answer or no patience.
func (c *Caller) follow(ctx context.Context, o *Outcome) {
	r := o.Request
	for i := r.First; ; i++ {
		o.Tries++
		err := c.try(ctx, c.clients[i%len(c.clients)], o)
		if o.Whole || o.Broken != "" {
			return
		}
		after, again := o.take(err, i%len(c.clients))
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

// take learns from a failure and says whether and when to try again.
func (o *Outcome) take(err error, host int) (after time.Duration, again bool) {
	kind, ran, after := told(err)
	o.Kind = kind
	if ran != "no" {
		o.Ran = "unknown"
	}
	switch {
	case kind == Lost && ran != "no":
		o.Cut++
		o.CutBy = fmt.Sprintf("host %d: %v", host, err)
		return againMin, true
	case kind == Lost || kind == Moved:
		return againMin, true
	}
	if ran == "yes" {
		o.Ran = "yes"
	}
	if after == 0 {
		return 0, false
	}
	return min(max(after, againMin), againMax), true
}

// told gives what a host's error says, or that none answered.
func told(err error) (kind, ran string, after time.Duration) {
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

// try asks one host; what came before the stream broke is kept.
func (c *Caller) try(ctx context.Context, client maststagev1connect.CallerClient, o *Outcome) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silence := time.AfterFunc(o.Request.Silence, cancel)
	defer silence.Stop()
	attempt := uint32(1)
	if o.Ran != "no" {
		attempt = 2
	}
	r := o.Request
	req := connect.NewRequest(&maststagev1.RunRequest{
		RequestId: r.ID, Class: r.Class, Input: r.Input, MaxTokens: r.MaxTokens,
		Attempt: attempt, ResumeFrom: o.Chunks,
	})
	req.Header().Set("Authorization", "Bearer "+r.Key)
	s, err := client.Run(ctx, req)
	if err != nil {
		return err
	}
	defer s.Close()
	last := time.Now()
	for s.Receive() {
		silence.Reset(r.Silence)
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
	return errors.New("the stream ended without its end")
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
