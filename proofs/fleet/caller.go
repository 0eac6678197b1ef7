package fleet

import (
	"context"
	"errors"
	"net/http"
	"time"

	"connectrpc.com/connect"

	maststagev1 "maststage.dev/api/maststage/v1"
	"maststage.dev/api/maststage/v1/maststagev1connect"
	"maststage.dev/lib/failure"
)

// Request is a caller's request.
type Request struct {
	Key, ID, Class string
	Input          []byte
	MaxTokens      uint32
	Attempt        uint32
	ResumeFrom     uint32
	Timeout        time.Duration // 0 means 20 s
}

// Response is the outcome of a request.
type Response struct {
	Data       []byte
	Chunks     uint32
	Whole      bool
	Moved      bool
	Billed     uint64
	Kind       string // of the error; empty without one, "lost" if no response came
	Ran        string // whether the request ran, according to the error
	RetryAfter time.Duration
	Err        error
}

const askTimeout = 20 * time.Second

// newClient returns a client with a connection pool of its own, not shared with other fleets.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
}

var client = newClient()

// Do sends a request to host i and collects the response stream.
func (f *Fleet) Do(i int, a Request) Response {
	timeout := a.Timeout
	if timeout == 0 {
		timeout = askTimeout
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return Stream(ctx, client, f.Hosts[i].Listen, a)
}

// Stream sends a request to an address and collects the response stream.
func Stream(ctx context.Context, c *http.Client, addr string, a Request) Response {
	req := connect.NewRequest(&maststagev1.RunRequest{
		RequestId: a.ID, Class: a.Class, Input: a.Input, MaxTokens: a.MaxTokens, Attempt: a.Attempt, ResumeFrom: a.ResumeFrom,
	})
	req.Header().Set("Authorization", "Bearer "+a.Key)
	s, err := maststagev1connect.NewCallerClient(c, "http://"+addr).Run(ctx, req)
	if err != nil {
		return failed(Response{}, err)
	}
	defer s.Close()
	ans := Response{Chunks: a.ResumeFrom}
	for s.Receive() {
		m := s.Msg()
		switch {
		case m.RequestId != a.ID:
			ans.Err = errors.New("received the response to another request")
			return ans
		case m.Moved:
			ans.Moved = true
		case m.End != nil:
			ans.Whole = m.End.Chunks == ans.Chunks
			ans.Billed = m.End.BilledTokens
		default:
			ans.Data = append(ans.Data, m.Data...)
			ans.Chunks++
		}
	}
	if err := s.Err(); err != nil {
		return failed(ans, err)
	}
	return ans
}

func failed(a Response, err error) Response {
	a.Err = err
	a.Kind = "lost"
	a.Ran = "unknown"
	if f := failure.Of(err); f != nil {
		a.Kind, a.Ran = f.Kind, f.Ran
		a.RetryAfter = time.Duration(f.RetryAfterMs) * time.Millisecond
	}
	return a
}
