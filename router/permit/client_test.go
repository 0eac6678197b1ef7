package permit

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"maststage.dev/standin/until"
)

const key = "secret"

// schedulers are hosts that schedule permits.
type schedulers struct {
	t       *testing.T
	is      *is.I
	servers []*Server
	https   []*httptest.Server
	hosts   []Host
}

func newSchedulers(t *testing.T, n int) *schedulers {
	s := &schedulers{t: t, is: is.New(t)}
	for i := range n {
		server := NewServer(key)
		mux := http.NewServeMux()
		mux.Handle("POST "+Path, server)
		http := httptest.NewServer(mux)
		t.Cleanup(http.Close)
		t.Cleanup(server.Close)
		s.servers, s.https = append(s.servers, server), append(s.https, http)
		s.hosts = append(s.hosts, Host{Name: string(rune('a' + i)), Address: strings.TrimPrefix(http.URL, "http://"), Key: key})
	}
	return s
}

// client returns a host without schedulers of its own.
func (s *schedulers) client(name string) *Client {
	return NewClient(Options{Self: name, Server: NewServer(key), Schedulers: func(string) ([]Host, int) { return s.hosts, -1 }})
}

var oneSlot = Request{Service: "s", Targets: []Target{{ID: "t", Slots: 1, Tolerance: 3}}, MaxWait: 2 * time.Second}

func (s *schedulers) ask(c *Client) *Permit {
	s.t.Helper()
	p, err := c.Ask(context.Background(), oneSlot)
	s.is.NoErr(err)
	s.is.Equal(p.Target(), "t")
	return p
}

func TestHostsShareThePlaces(t *testing.T) {
	s := newSchedulers(t, 1)
	one, other := s.client("one"), s.client("other")
	p := s.ask(one)
	granted := make(chan *Permit)
	go func() { granted <- s.ask(other) }()
	select {
	case <-granted:
		t.Fatal("two permits for one place")
	case <-time.After(300 * time.Millisecond):
	}
	p.End(Ended)
	(<-granted).End(Ended)
	until.True(t, "all places are free", func() bool { return s.servers[0].InUse() == 0 })
}

func TestOwnSchedulerNeedsNoConnection(t *testing.T) {
	s := &schedulers{t: t, is: is.New(t)}
	server := NewServer(key)
	c := NewClient(Options{Self: "h", Server: server, Schedulers: func(string) ([]Host, int) { return []Host{{Name: "h"}}, 0 }})
	p := s.ask(c)
	_, err := c.Ask(context.Background(), Request{Service: "s", Targets: oneSlot.Targets, MaxWait: 50 * time.Millisecond})
	var refusal *RefusalError
	s.is.True(errors.As(err, &refusal))
	s.is.True(refusal.RetryAfter > 0)
	p.End(Ended)
	s.ask(c).End(Ended)
}

func TestSessionsAreForHostsOnly(t *testing.T) {
	s := newSchedulers(t, 1)
	for _, forged := range []string{"", "wrong"} {
		s.hosts[0].Key = forged
		_, err := s.client("h").Ask(context.Background(), oneSlot)
		s.is.True(errors.Is(err, ErrNoScheduler))
	}
}

// A caller that leaves gives up its place in the queue, and the place that it may just have got.
func TestCallerThatLeavesHoldsNoPlace(t *testing.T) {
	s := newSchedulers(t, 1)
	c := s.client("h")
	p := s.ask(c)
	for range 5 {
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
		_, err := c.Ask(ctx, oneSlot)
		s.is.True(errors.Is(err, context.DeadlineExceeded))
		cancel()
	}
	p.End(Ended)
	s.ask(c).End(Ended)
	until.True(t, "all places are free", func() bool { return s.servers[0].InUse() == 0 })
}

// When the scheduler dies the next one is told which places are in use, and those that wait ask it.
func TestNextSchedulerKnowsPermitsInUse(t *testing.T) {
	s := newSchedulers(t, 2)
	one, other := s.client("one"), s.client("other")
	p := s.ask(one)
	granted := make(chan *Permit)
	go func() { granted <- s.ask(other) }()
	until.True(t, "the other waits", func() bool {
		s.servers[0].mu.Lock()
		defer s.servers[0].mu.Unlock()
		return len(s.servers[0].services["s"].queue) == 1
	})
	s.https[0].Listener.Close()
	s.servers[0].Close()
	until.True(t, "the next scheduler knows", func() bool { return s.servers[1].InUse() == 1 })
	select {
	case <-granted:
		t.Fatal("two permits for one place")
	case <-time.After(settleTime + 200*time.Millisecond):
	}
	p.End(Ended)
	(<-granted).End(Ended)
}

// The places of a host that dies come free.
func TestPlacesOfADeadHostComeFree(t *testing.T) {
	s := newSchedulers(t, 1)
	var died atomic.Bool
	dead := NewClient(Options{Self: "dead", Server: NewServer(key), Schedulers: func(string) ([]Host, int) {
		if died.Load() {
			return nil, -1
		}
		return s.hosts, -1
	}})
	s.ask(dead)
	died.Store(true)
	time.Sleep(2 * rankingMaxAge)
	dead.mu.Lock()
	session := dead.sessions[s.hosts[0].Address]
	dead.mu.Unlock()
	session.drop()
	s.ask(s.client("other")).End(Ended)
}

// A scheduler that is frozen is passed over.
func TestFrozenSchedulerIsPassedOver(t *testing.T) {
	s := newSchedulers(t, 1)
	frozen, err := net.Listen("tcp", "127.0.0.1:0") // connects and says nothing
	s.is.NoErr(err)
	t.Cleanup(func() { _ = frozen.Close() })
	s.hosts = append([]Host{{Name: "frozen", Address: frozen.Addr().String(), Key: key}}, s.hosts...)
	began := time.Now()
	s.ask(s.client("h")).End(Ended)
	s.is.True(time.Since(began) < connectTimeout+settleTime+500*time.Millisecond)
}

func TestNoSchedulerIsReached(t *testing.T) {
	s := newSchedulers(t, 1)
	s.https[0].Close()
	_, err := s.client("h").Ask(context.Background(), oneSlot)
	s.is.True(errors.Is(err, ErrNoScheduler))
}
