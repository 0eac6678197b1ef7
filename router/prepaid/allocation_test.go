package prepaid

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// An outage may start while a keeper's allocation is anywhere above the refill mark, and demand may
// be higher during it than before, since arrivals are bursty.
func TestKeeperAllocationLastsThroughOutage(t *testing.T) {
	const (
		outage = 8.0 // seconds
		wave   = 1.5 // times the demand before
		demand = 1000.0
	)
	is := is.New(t)
	al := &allocation{account: Account{Limit: 1_000_000, Granted: 100_000}, known: true, limit: 1_000_000}
	now := time.Now()
	al.demand, al.demandAt, al.lastRequestAt = demand, now, now
	full := al.changeOfKeeper(DefaultSizing, 900_000, 0, now).Take
	al.free = int64(refillBelow * float64(full))
	is.Equal(al.changeOfKeeper(DefaultSizing, 900_000, 0, now), Change{}) // not refilled yet
	is.True(float64(al.free) >= outage*wave*demand)
}

// Near its end a budget is not held for a whole outage, since what is held is lost if all hosts
// die.
func TestKeeperHoldsLittleNearBudgetEnd(t *testing.T) {
	is := is.New(t)
	al := &allocation{account: Account{Limit: 100_000, Granted: 90_000}, known: true, limit: 100_000}
	now := time.Now()
	al.demand, al.demandAt, al.lastRequestAt = 1000, now, now
	is.True(al.changeOfKeeper(DefaultSizing, 10_000, 1000, now).Take <= 4_000)
}
