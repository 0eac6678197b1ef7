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

// Where few hosts of many take slices, an idle one gives all back, and a busy one
// may hold what all together may.
func TestSlicesInALargeFleet(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	w := &wallet{limit: 1000000, version: 1, known: true, account: Account{Granted: 1000}, free: 1000}
	is.Equal(w.change(DefaultSizing, 12, true, now), Change{Return: 1000})
	w.note(10000, now)
	c := w.change(DefaultSizing, 12, true, now)
	is.True(c.Take > 20000) // seconds of its own demand, though an even share is less
	is.True(c.Take <= int64(DefaultSizing.MostPart*1000000))
}

// Near a budget's end a hundredth of what is unspent is given back, since all hosts
// together would else hold much of it, and lose it when all of them die.
func TestSmallIdleSliceIsGivenBack(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	w := &wallet{limit: 1000000, version: 1, known: true, account: Account{Granted: 910000}, free: 1000}
	w.flow.add(0, now.Add(-10*time.Second))
	w.flow.add(910000, now) // it lasts for a second
	is.Equal(w.change(DefaultSizing, 6, false, now).Return, int64(818))
}

func TestNewerLimitCounts(t *testing.T) {
	is := is.New(t)
	a := Account{Granted: 10, Limit: 100, Version: 5}
	is.Equal(a.WithLimit(50, 6).Limit, int64(50))
	is.Equal(a.WithLimit(500, 4).Limit, int64(100)) // an older configuration changes nothing
	decoded, err := DecodeAccount(a.Encode())
	is.NoErr(err)
	is.Equal(decoded, a)
	_, err = DecodeAccount([]byte("x"))
	is.True(err != nil)
}

// Whatever the demand, a change never takes more than is left, and a host alone
// does not hold more than its part when nobody waits.
func TestChangeIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(100, 0)
		w := &wallet{
			limit: rapid.Int64Range(0, 1e7).Draw(t, "limit"), version: 1, known: true,
			account:  Account{Granted: rapid.Int64Range(0, 1e7).Draw(t, "granted")},
			free:     rapid.Int64Range(0, 1e6).Draw(t, "free"),
			waiting:  rapid.SliceOfN(rapid.Int64Range(1, 1e5), 0, 3).Draw(t, "waiting"),
			demand:   rapid.Float64Range(0, 1e6).Draw(t, "demand"),
			demandAt: now,
		}
		w.free = min(w.free, w.account.Granted)
		hosts := rapid.IntRange(1, 50).Draw(t, "hosts")
		c := w.change(DefaultSizing, hosts, false, now)
		if c.Return > w.free {
			t.Fatalf("gives back %d of %d", c.Return, w.free)
		}
		if c.Take > 0 && c.Return > 0 {
			t.Fatal("takes and gives back")
		}
		next, taken, ok := w.current().Apply(c)
		if ok && taken > 0 && next.Granted > w.limit {
			t.Fatalf("granted %d of %d", next.Granted, w.limit)
		}
		unspent := float64(max(w.current().Remaining(), 0) + w.free)
		most := DefaultSizing.MostPart * DefaultSizing.MostShares * unspent / float64(hosts)
		if len(w.waiting) == 0 && taken > 0 && float64(w.free+taken) > most+1 {
			t.Fatalf("holds %d, at most %.0f", w.free+taken, most)
		}
	})
}
