package prepaid

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"maststage.dev/standin/until"
)

// Guards against refusing the rest of streams, whose first part is paid for, in favour of new requests after the loss of all
// hosts.
func TestRestOfAStreamIsNotShed(t *testing.T) {
	is := is.New(t)
	g := newHostGroup(t, 1)
	alloc, _ := g.startWith(Options{
		Log: g.log.Host("h0"), Topic: "b", Partitions: 2, Host: "h0", Sizing: DefaultSizing,
		Timeout: 50 * time.Millisecond, RefreshInterval: 20 * time.Millisecond, MaxWait: 100 * time.Millisecond,
		Hosts: func() int { return 1 }, AllHostsLost: func() bool { return true },
	})
	alloc.Configure(1, []Budget{{Organisation: "org", Limit: 20_000}}, false)
	large := Request{Organisation: "org", Tokens: 4000}
	until.True(t, "large requests are shed", func() bool {
		spend(alloc, "org", 10, 20)
		got, err := alloc.ReserveFor(context.Background(), large)
		if got != nil {
			got.Settle(0)
		}
		return errors.Is(err, ErrShed)
	})
	large.TakesUp = true
	for range 3 {
		got, err := alloc.ReserveFor(context.Background(), large)
		is.NoErr(err)
		got.Settle(0)
	}
}
