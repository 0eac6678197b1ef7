package forward

import (
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"maststage.dev/router/httpconn"
	"maststage.dev/router/rollout"
	"maststage.dev/standin/backend"
)

// Guards against a host that stalled and then abandons all targets as silent, though their responses
// may be there unread: the timeout is extended once, and once only.
func TestStalledHostDoesNotAbandonTargets(t *testing.T) {
	is := is.New(t)
	claims := 0
	claim := func() bool { claims++; return false }
	s := &silenceTimer{timeout: time.Hour, timer: time.AfterFunc(time.Hour, func() {}), claim: claim}
	defer s.timer.Stop()
	s.startedAt = time.Now().Add(-time.Hour - time.Minute) // the timer fires a minute late
	s.expire()
	is.Equal(claims, 0)
	is.True(s.stalled)
	s.startedAt = time.Now().Add(-time.Hour - time.Minute)
	s.expire()
	is.Equal(claims, 1)

	onTime := &silenceTimer{timeout: time.Hour, startedAt: time.Now().Add(-time.Hour), claim: claim}
	onTime.expire()
	is.Equal(claims, 2)
}

// blockingRollouts holds up one call of Rule.
type blockingRollouts struct {
	anyVersion
	calls          atomic.Int64
	blocked        int64 // number of the call
	began, release chan struct{}
}

func (b *blockingRollouts) Rule(r rollout.Request) rollout.Rule {
	if b.calls.Add(1) == b.blocked {
		close(b.began)
		<-b.release
	}
	return b.anyVersion.Rule(r)
}

// Guards against a target found silent as its response arrives: the abort must not strike the connection once it may carry
// another request.
func TestSilenceAbortsNoConnectionThatIsFreeAgain(t *testing.T) {
	f := newFixture(t)
	const choosing = 2 // calls to choose the first target
	rules := &blockingRollouts{blocked: choosing + 1, began: make(chan struct{}), release: make(chan struct{})}
	f.handler.opts.Rollouts = rules
	for _, id := range []string{"e1", "e2"} {
		f.add(id, "plain", backend.Behaviour{Body: "whole", Delay: 350 * time.Millisecond}) // silent for longer than the time-out
	}
	got := make(chan reply)
	req := f.request("GET", "/safe/x", "")
	go func() { got <- f.do(req) }()
	<-rules.began
	time.Sleep(200 * time.Millisecond) // the whole response has arrived
	used := f.targets.Take(f.running()[0].ID)
	conn, err := used.Pool.Get(t.Context(), time.Minute)
	f.is.NoErr(err)
	close(rules.release)
	first := <-got
	f.is.NoErr(first.err)
	f.is.Equal(first.body, "whole")
	head := "GET /safe/x HTTP/1.1\r\nHost: a.example\r\nX-Id: next\r\n\r\n"
	if f := conn.Send(t.Context(), httpconn.Request{Method: "GET", Head: []byte(head)}); f != nil {
		t.Fatalf("the connection was aborted: %v", f)
	}
	_, failed := conn.Receive()
	if failed != nil {
		t.Fatalf("the connection was aborted: %v", failed)
	}
	conn.Close()
}

// Guards against a long response that is begun for the caller though its target was found silent as the beginning arrived, so
// that it is cut off in place of being retried.
func TestLongResponseOfASilentTargetIsNotBegun(t *testing.T) {
	f := newFixture(t)
	const choosing = 2 // calls to choose the first target
	rules := &blockingRollouts{blocked: choosing + 1, began: make(chan struct{}), release: make(chan struct{})}
	f.handler.opts.Rollouts = rules
	long := strings.Repeat("x", 2*maxBuffered)
	for _, id := range []string{"p1", "p2"} {
		f.add(id, "plain", backend.Behaviour{}).SetBehaviour(func(backend.Run) backend.Behaviour {
			if rules.calls.Load() > choosing {
				return backend.Behaviour{Body: long}
			}
			return backend.Behaviour{Body: long, Delay: 350 * time.Millisecond} // silent for longer than the time-out
		})
	}
	got := make(chan reply)
	req := f.request("GET", "/safe/x", "")
	go func() { got <- f.do(req) }()
	<-rules.began
	time.Sleep(200 * time.Millisecond) // the beginning has arrived
	close(rules.release)
	whole := <-got
	f.is.NoErr(whole.err)
	f.is.True(whole.body == long)
}
