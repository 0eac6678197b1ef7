package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"maststage.dev/router/eventlog"
)

// sum is an aggregate: the sum of a number at each host.
type sum struct {
	mu      sync.Mutex
	own     int
	offers  map[string]int
	applied int
}

func newSum(own int) *sum { return &sum{own: own, offers: map[string]int{}} }

func (s *sum) Offer(time.Time) json.RawMessage { return encodeNumber(s.own) }

func (s *sum) Collect(host string, offer json.RawMessage, _ time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	n, err := decodeNumber(offer)
	if err == nil {
		s.offers[host] = n
	}
	return err
}

func (s *sum) Summary(time.Time) json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	total := 0
	for _, n := range s.offers {
		total += n
	}
	return encodeNumber(total)
}

func (s *sum) Apply(summary json.RawMessage, _ time.Time) error {
	n, err := decodeNumber(summary)
	if err == nil {
		s.applied = n
	}
	return err
}

func encodeNumber(n int) json.RawMessage {
	data, _ := json.Marshal(n)
	return data
}

func decodeNumber(data json.RawMessage) (n int, err error) {
	err = json.Unmarshal(data, &n)
	if err == nil && n < 0 {
		err = errors.New("negative")
	}
	return n, err
}

// relay calls Relay as often as exchanges are due in the given number of intervals.
func relay(f *Fleet, exchanges int) {
	for range exchanges {
		f.exchange.due = time.Time{}
		_, _ = f.Relay(context.Background(), "list", eventlog.Position{})
	}
}

// newDomain starts a failure domain of the given number of hosts, host i with the figure i.
func newDomain(t *testing.T, hosts int) ([]*Fleet, []*sum) {
	all := makeHosts(hosts, 1)
	fleets, sums := make([]*Fleet, hosts), make([]*sum, hosts)
	for i := range all {
		sums[i] = newSum(i)
		fleets[i] = New(Options{Self: all[i], CallTimeout: time.Second, Aggregates: map[string]Aggregate{"sum": sums[i]}})
		server := httptest.NewServer(fleets[i].Handler())
		t.Cleanup(server.Close)
		all[i].Address = server.Listener.Addr().String()
		fleets[i].opts.Self.Address = all[i].Address
	}
	for _, f := range fleets {
		announceHosts(f, all...)
	}
	return fleets, sums
}

// All hosts of a failure domain get the summary of all, though each tells its figures to one reader at a time.
func TestHostsOfADomainGetTheSummaryOfAll(t *testing.T) {
	is := is.New(t)
	const hosts = 24
	fleets, sums := newDomain(t, hosts)
	for range 4 {
		for _, f := range fleets {
			relay(f, 1)
		}
	}
	readers := 0
	for i, f := range fleets {
		if len(f.relays("list", 0)) == 0 {
			readers++
			continue
		}
		// A reader knows its own figure and those of the hosts that aren't readers.
		missing := hosts*(hosts-1)/2 - sums[i].applied
		if missing < 0 || missing >= hosts {
			t.Errorf("host %d knows a sum of %d", i, sums[i].applied)
		}
	}
	is.Equal(readers, 2)
}

// A call without offers, as earlier builds send it, gets an answer without summaries, and figures are exchanged
// once in an interval.
func TestFiguresAreExchangedOnceInAnInterval(t *testing.T) {
	is := is.New(t)
	f := New(Options{Self: Host{Name: "h0"}, Aggregates: map[string]Aggregate{"sum": newSum(1)}})
	now := time.Now()
	_, first := f.exchangeDue(now)
	_, second := f.exchangeDue(now.Add(exchangeInterval / 2))
	_, third := f.exchangeDue(now.Add(exchangeInterval))
	is.True(first && !second && third)
}

// Figures that can't be read change nothing, and those of a later build are passed over.
func TestUnreadableFiguresAreIgnored(t *testing.T) {
	is := is.New(t)
	s := newSum(5)
	e := exchanger{host: "h0", aggregates: map[string]Aggregate{"sum": s}}
	now := time.Now()
	e.collect("h1", figures{"sum": encodeNumber(7)}, now)
	e.collect("h1", figures{"sum": json.RawMessage(`{"a":`), "unknown": encodeNumber(1)}, now)
	e.collect("h1", figures{"sum": encodeNumber(-3)}, now)
	is.Equal(s.offers, map[string]int{"h1": 7})
	e.apply("h1", figures{"sum": encodeNumber(12)}, now)
	e.apply("h1", figures{"sum": json.RawMessage(`"x"`), "unknown": encodeNumber(1)}, now)
	is.Equal(s.applied, 12)
}
