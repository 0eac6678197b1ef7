package prepaid

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestApply(t *testing.T) {
	cases := []struct {
		name    string
		account Account
		change  Change
		taken   int64
		granted int64
		ok      bool
	}{
		{"take", Account{Granted: 10, Limit: 100}, Change{Take: 20}, 20, 30, true},
		{"take what is left", Account{Granted: 90, Limit: 100}, Change{Take: 20}, 10, 100, true},
		{"too little is left", Account{Granted: 90, Limit: 100}, Change{Take: 20, MinTake: 15}, 0, 90, false},
		{"nothing is left", Account{Granted: 100, Limit: 100}, Change{Take: 20}, 0, 100, false},
		{"limit was lowered", Account{Granted: 100, Limit: 50}, Change{Take: 20}, 0, 100, false},
		{"give back", Account{Granted: 100, Limit: 50}, Change{Return: 30}, 0, 70, true},
		{"nothing", Account{Granted: 1, Limit: 50}, Change{}, 0, 1, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			next, taken, ok := c.account.Apply(c.change)
			is.Equal(ok, c.ok)
			is.Equal(taken, c.taken)
			is.Equal(next.Granted, c.granted)
		})
	}
}

// Where few of many hosts obtain allocations, an idle one returns everything, and a busy one may
// hold as much as all hosts together may.
func TestAllocationSizeInLargeFleet(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	al := &allocation{limit: 1000000, version: 1, known: true, account: Account{Granted: 1000}, free: 1000}
	is.Equal(al.change(DefaultSizing, 12, true, now), Change{Return: 1000})
	al.recordDemand(10000, now)
	c := al.change(DefaultSizing, 12, true, now)
	is.True(c.Take > 20000) // covers seconds of its own demand, more than an even share
	is.True(c.Take <= int64(DefaultSizing.MostPart*1000000))
}

// Near a budget's end even a hundredth of the unspent tokens is returned: otherwise all hosts
// together would hold much of the budget and lose it if all of them died.
func TestIdleAllocationIsReturnedNearBudgetEnd(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	al := &allocation{limit: 1000000, version: 1, known: true, account: Account{Granted: 910000}, free: 1000}
	al.drawRate.add(0, now.Add(-10*time.Second))
	al.drawRate.add(910000, now) // the rest lasts one second
	is.Equal(al.change(DefaultSizing, 6, false, now).Return, int64(818))
}

func TestNewerLimitApplies(t *testing.T) {
	is := is.New(t)
	a := Account{Granted: 10, Limit: 100, Version: 5}
	is.Equal(a.WithLimit(50, 6).Limit, int64(50))
	is.Equal(a.WithLimit(500, 4).Limit, int64(100)) // an older configuration has no effect
	decoded, err := DecodeAccount(a.Encode())
	is.NoErr(err)
	is.Equal(decoded, a)
	_, err = DecodeAccount([]byte("x"))
	is.True(err != nil)
}

// Whatever the demand, a change never takes more than remains, and a single host does not exceed
// its share while no request waits.
func TestChangeIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(100, 0)
		al := &allocation{
			limit: rapid.Int64Range(0, 1e7).Draw(t, "limit"), version: 1, known: true,
			account:  Account{Granted: rapid.Int64Range(0, 1e7).Draw(t, "granted")},
			free:     rapid.Int64Range(0, 1e6).Draw(t, "free"),
			waiting:  rapid.SliceOfN(rapid.Int64Range(1, 1e5), 0, 3).Draw(t, "waiting"),
			demand:   rapid.Float64Range(0, 1e6).Draw(t, "demand"),
			demandAt: now,
		}
		al.free = min(al.free, al.account.Granted)
		hosts := rapid.IntRange(1, 50).Draw(t, "hosts")
		c := al.change(DefaultSizing, hosts, false, now)
		if c.Return > al.free {
			t.Fatalf("returns %d of %d", c.Return, al.free)
		}
		if c.Take > 0 && c.Return > 0 {
			t.Fatal("takes and returns at once")
		}
		next, taken, ok := al.currentAccount().Apply(c)
		if ok && taken > 0 && next.Granted > al.limit {
			t.Fatalf("granted %d of %d", next.Granted, al.limit)
		}
		unspent := float64(max(al.currentAccount().Remaining(), 0) + al.free)
		most := DefaultSizing.MostPart * DefaultSizing.MostShares * unspent / float64(hosts)
		if len(al.waiting) == 0 && taken > 0 && float64(al.free+taken) > most+1 {
			t.Fatalf("holds %d, at most %.0f", al.free+taken, most)
		}
	})
}
