package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	log "github.com/sirupsen/logrus"

	"maststage.dev/router/eventlog"
	"maststage.dev/router/keeper"
	"maststage.dev/router/prepaid"
	"maststage.dev/router/replica"
	"maststage.dev/standin/memlog"
	"maststage.dev/standin/until"
)

func TestMain(m *testing.M) {
	log.SetOutput(io.Discard)
	m.Run()
}

func newFleet(self Host) *Fleet {
	return New(Options{Self: self, CallTimeout: time.Second})
}

// announceHosts applies announcements of hosts to a fleet.
func announceHosts(f *Fleet, hosts ...Host) {
	var changes []replica.Change
	for _, h := range hosts {
		value, err := json.Marshal(h)
		if err != nil {
			panic(err)
		}
		changes = append(changes, replica.Change{Record: eventlog.Record{Key: h.Name, Value: value}})
	}
	f.HandleChanges(changes)
}

// makeHosts returns n hosts, spread over failure domains.
func makeHosts(n, domains int) []Host {
	var list []Host
	for i := range n {
		list = append(list, Host{Name: fmt.Sprintf("h%d", i), Domain: fmt.Sprintf("z%d", i%domains), Address: fmt.Sprintf("10.0.0.%d:1", i)})
	}
	return list
}

func TestSizeFollowsAnnouncements(t *testing.T) {
	is := is.New(t)
	f := newFleet(Host{Name: "h0", Domain: "z0"})
	is.Equal(f.Size(), 1)
	announceHosts(f, makeHosts(6, 3)...)
	is.Equal(f.Size(), 6) // this host is counted once
	f.HandleChanges([]replica.Change{{Record: eventlog.Record{Key: "h1"}}})
	is.Equal(f.Size(), 5)
	f.HandleChanges([]replica.Change{{Record: eventlog.Record{Key: "h2", Value: []byte("not JSON")}}})
	is.Equal(f.Size(), 5)
}

func TestEveryHostOfASmallFleetIsAKeeper(t *testing.T) {
	is := is.New(t)
	all := makeHosts(keeper.SmallFleet, 3)
	for _, self := range all {
		f := newFleet(self)
		announceHosts(f, all...)
		count, own := f.Keepers("org")
		is.Equal(count, keeper.SmallFleet)
		is.True(own)
		is.Equal(f.lenders("org"), nil)
	}
}

// All hosts of a large fleet agree on the keepers, whose number grows with the organisation's share
// of all tokens. Each host that is no keeper asks all of them before any other host.
func TestHostsOfALargeFleetAgreeOnKeepers(t *testing.T) {
	is := is.New(t)
	all := makeHosts(87, 3)
	for share, wanted := range map[float64]int{0: 1, 0.01: 1, 0.3: 3, 1: 8} {
		keepers := map[string]bool{}
		asked := map[string]bool{}
		for _, self := range all {
			f := newFleet(self)
			announceHosts(f, all...)
			f.SetBudgetShares(map[string]float64{"org": share})
			count, own := f.Keepers("org")
			is.Equal(count, wanted)
			if own {
				keepers[self.Address] = true
				continue
			}
			for _, address := range f.lenders("org")[:count] {
				asked[address] = true
			}
		}
		is.Equal(len(keepers), wanted)
		is.Equal(asked, keepers)
	}
}

func TestSilentKeeperIsAskedLast(t *testing.T) {
	is := is.New(t)
	f := newFleet(Host{Name: "other", Domain: "z0"})
	announceHosts(f, makeHosts(40, 1)...)
	list := f.lenders("org")
	f.recordCallResult(list[0], io.EOF)
	is.Equal(f.lenders("org")[len(list)-1], list[0])
	f.recordCallResult(list[0], nil)
	is.Equal(f.lenders("org")[0], list[0])
}

// In a large fleet a few hosts of each failure domain read a topic, and the others relay from
// exactly those; in a small one all read it.
func TestFewHostsOfALargeFleetReadATopic(t *testing.T) {
	is := is.New(t)
	small := newFleet(Host{Name: "h0", Domain: "z0"})
	announceHosts(small, makeHosts(keeper.SmallFleet, 3)...)
	is.Equal(len(small.relays("list", 0)), 0)
	all := makeHosts(87, 3)
	readers := map[string]bool{}
	asked := map[string]bool{}
	for _, self := range all {
		f := newFleet(self)
		announceHosts(f, all...)
		list := f.relays("list", 0)
		if len(list) == 0 {
			readers[self.Address] = true
		}
		for _, address := range list {
			asked[address] = true
		}
	}
	is.Equal(len(readers), 3*3) // 29 hosts in each failure domain
	is.Equal(asked, readers)
}

// The total rate of announcements in the log does not grow with the fleet.
func TestAnnouncementRateIsBoundedInALargeFleet(t *testing.T) {
	is := is.New(t)
	pause := func(n int) time.Duration {
		f := New(Options{Self: Host{Name: "h0", Domain: "z0"}, AnnounceInterval: 8 * time.Second})
		announceHosts(f, makeHosts(n, 5)...)
		return f.announceInterval()
	}
	is.Equal(pause(90), 8*time.Second)
	is.Equal(pause(1000), 16*time.Second)
	is.True(pause(2000)*3/2 < peerExpiry)
}

// Relay uses a reader's response only if it is fresh.
func TestRelayIgnoresStaleResponses(t *testing.T) {
	is := is.New(t)
	l := memlog.New()
	l.Put(eventlog.Partition{Topic: "list"}, "k", []byte("1"))
	copied := replica.New(replica.Options{Log: l.Host("reader"), Partition: eventlog.Partition{Topic: "list"}, ReadTimeout: time.Second})
	reader := New(Options{Replicas: map[string]*replica.Replica{"list": copied}})
	server := httptest.NewServer(reader.Handler())
	t.Cleanup(server.Close)

	all := makeHosts(9, 1)
	for i := range all {
		all[i].Address = server.Listener.Addr().String()
	}
	f := newFleet(Host{Name: "another", Domain: "z0"})
	announceHosts(f, all...)
	if len(f.relays("list", 0)) == 0 {
		t.Fatal("the host is a reader itself")
	}
	_, ok := f.Relay(context.Background(), "list", eventlog.Position{})
	is.True(!ok) // the reader has read nothing yet

	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		copied.Run(ctx)
	}()
	until.True(t, "a fresh response", func() bool {
		part, ok := f.Relay(context.Background(), "list", eventlog.Position{})
		return ok && len(part.Records) == 1 && part.End == eventlog.Position{Offset: 1}
	})
	cancel()
	<-done
	until.True(t, "the response is too old", func() bool {
		_, ok := f.Relay(context.Background(), "list", eventlog.Position{})
		return !ok
	})
}

// peer is another host that lends tokens and accepts transfers.
type peer struct {
	server *httptest.Server
	asked  atomic.Int64
	given  atomic.Int64
}

func newPeer(t *testing.T, lends int64, keeper, accepts bool) *peer {
	p := &peer{}
	f := New(Options{
		Lend: func(_ context.Context, ask prepaid.LoanRequest) prepaid.Loan {
			p.asked.Add(1)
			return prepaid.Loan{Tokens: min(ask.Tokens, lends), Authoritative: keeper}
		},
		Credit: func(gift prepaid.Transfer) bool {
			if accepts {
				p.given.Add(gift.Tokens)
			}
			return accepts
		},
	})
	p.server = httptest.NewServer(f.Handler())
	t.Cleanup(p.server.Close)
	return p
}

func (p *peer) address() string { return p.server.Listener.Addr().String() }

func TestBorrowStopsOnceEnoughIsLent(t *testing.T) {
	is := is.New(t)
	peers := []*peer{newPeer(t, 30, true, true), newPeer(t, 30, true, true), newPeer(t, 30, true, true)}
	f := newFleet(Host{Name: "self"})
	for _, p := range peers {
		f.seeds = append(f.seeds, p.address())
	}
	loan := f.Borrow(context.Background(), "org", 50, prepaid.Request{})
	is.Equal(loan, prepaid.Loan{Tokens: 50, Authoritative: true})
	asked := int64(0)
	for _, p := range peers {
		asked += p.asked.Load()
	}
	is.Equal(asked, int64(2))
	is.Equal(f.Borrow(context.Background(), "org", 500, prepaid.Request{}).Tokens, int64(90))
}

func TestBorrowWithoutReachableLenders(t *testing.T) {
	is := is.New(t)
	f := newFleet(Host{Name: "self"})
	f.seeds = []string{"127.0.0.1:1"}
	is.Equal(f.Borrow(context.Background(), "org", 50, prepaid.Request{}), prepaid.Loan{})
}

// A loan whose response comes too late is not used, and is recalled until the lender acknowledges
// the recall.
func TestUnansweredLoanIsRecalled(t *testing.T) {
	is := is.New(t)
	var lent atomic.Value
	recalled := make(chan string, 1)
	var refused atomic.Bool
	lender := New(Options{
		Lend: func(ctx context.Context, ask prepaid.LoanRequest) prepaid.Loan {
			lent.Store(ask.ID)
			<-ctx.Done() // the borrower gave up
			return prepaid.Loan{Tokens: ask.Tokens, Authoritative: true}
		},
		Recall: func(id string) int64 {
			recalled <- id
			return 50
		},
	})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == pathRecall && !refused.Swap(true) {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		lender.Handler().ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	f := newFleet(Host{Name: "self", Incarnation: "1"})
	f.seeds = []string{server.Listener.Addr().String()}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go f.recalls.run(ctx)
	is.Equal(f.Borrow(ctx, "org", 50, prepaid.Request{}), prepaid.Loan{})
	id := <-recalled
	is.Equal(id, lent.Load())
	is.True(refused.Load())
}

// A transfer whose response is lost is retried until one arrives. The retries carry the same id, by
// which the receiver's allocator credits the tokens once.
func TestUnansweredTransferIsRetried(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	taken := map[string]int64{}
	receiver := New(Options{
		Self: Host{Incarnation: "7"},
		Credit: func(gift prepaid.Transfer) bool {
			mu.Lock()
			defer mu.Unlock()
			taken[gift.ID] = gift.Tokens
			return true
		},
	})
	var calls atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		receiver.Handler().ServeHTTP(w, r)
		if calls.Add(1) < 3 {
			panic(http.ErrAbortHandler) // the response is lost
		}
	}))
	t.Cleanup(server.Close)
	f := newFleet(Host{Name: "self"})
	list := []peerHost{{address: server.Listener.Addr().String(), incarnation: "7"}}
	is.Equal(f.transferTo(context.Background(), list, "org", 70), prepaid.TransferAccepted)
	mu.Lock()
	defer mu.Unlock()
	is.Equal(len(taken), 1)
	for _, tokens := range taken {
		is.Equal(tokens, int64(70))
	}
}

// Tokens that a previous incarnation may have accepted are not credited again by the next one.
func TestTransferIsForOneIncarnation(t *testing.T) {
	is := is.New(t)
	taken := atomic.Int64{}
	receiver := func(incarnation string) http.Handler {
		return New(Options{
			Self:   Host{Incarnation: incarnation},
			Credit: func(gift prepaid.Transfer) bool { taken.Add(gift.Tokens); return true },
		}).Handler()
	}
	before, after := receiver("1"), receiver("2")
	var calls atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if calls.Add(1) == 1 {
			before.ServeHTTP(w, r)
			panic(http.ErrAbortHandler)
		}
		after.ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	spare := newPeer(t, 0, false, true)
	f := newFleet(Host{Name: "self"})
	list := []peerHost{{address: server.Listener.Addr().String(), incarnation: "1"}, {address: spare.address()}}
	is.Equal(f.transferTo(context.Background(), list, "org", 70), prepaid.TransferUncertain)
	is.Equal(taken.Load(), int64(70))
	is.Equal(spare.given.Load(), int64(0))
}

// unknownIncarnations returns hosts of which only the address is known.
func unknownIncarnations(addresses []string) []peerHost {
	var list []peerHost
	for _, a := range addresses {
		list = append(list, peerHost{address: a})
	}
	return list
}

// Unreachable and refusing hosts are skipped, and exactly one host is credited.
func TestTransferGoesToOneHostOnly(t *testing.T) {
	is := is.New(t)
	refuses, accepts, spare := newPeer(t, 0, false, false), newPeer(t, 0, false, true), newPeer(t, 0, false, true)
	f := newFleet(Host{Name: "self"})
	list := []string{"127.0.0.1:1", refuses.address(), accepts.address(), spare.address()}
	is.Equal(f.transferTo(context.Background(), unknownIncarnations(list), "org", 70), prepaid.TransferAccepted)
	is.Equal(accepts.given.Load(), int64(70))
	is.Equal(spare.given.Load(), int64(0))
	is.Equal(f.transferTo(context.Background(), unknownIncarnations(list[:2]), "org", 70), prepaid.TransferDeclined)
	is.Equal(f.transferTo(context.Background(), nil, "org", 70), prepaid.TransferDeclined)
}

func TestAnnouncesAndLeaves(t *testing.T) {
	is := is.New(t)
	l := memlog.New()
	f := New(Options{
		Self: Host{Name: "self", Incarnation: "1", Address: "10.0.0.1:1", Domain: "z"}, Log: l.Host("self"), Topic: "hosts",
		AnnounceInterval: 20 * time.Millisecond, PullInterval: time.Hour, CallTimeout: time.Second,
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.Run(ctx)
	}()
	at := eventlog.Partition{Topic: "hosts"}
	sequence := func() int64 {
		rec, _ := l.Get(at, "self")
		var h Host
		_ = json.Unmarshal(rec.Value, &h)
		return h.Sequence
	}
	until.True(t, "three announcements", func() bool { return sequence() >= 3 })
	l.SetFault("self", memlog.Fault{Refuse: true})
	time.Sleep(30 * time.Millisecond)
	l.SetFault("self", memlog.Fault{})
	before := sequence()
	until.True(t, "announcements resume", func() bool { return sequence() > before })
	cancel()
	<-done
	is.NoErr(f.Leave(context.Background()))
	_, listed := l.Get(at, "self")
	is.True(!listed)
}

func TestMalformedCallsAreRejected(t *testing.T) {
	is := is.New(t)
	p := newPeer(t, 10, true, true)
	for _, path := range []string{pathPull, pathLend, pathRecall, pathTransfer} {
		resp, err := p.server.Client().Post(p.server.URL+path, "application/json", strings.NewReader("{"))
		is.NoErr(err)
		resp.Body.Close()
		is.Equal(resp.StatusCode, 400)
	}
}
