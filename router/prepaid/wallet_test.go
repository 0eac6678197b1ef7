package prepaid

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// An outage finds a keeper's slice anywhere above the mark at which it is filled up, and more
// is wanted in it than before: arrivals come in waves and clumps.
func TestKeeperSliceLastsThroughAnOutage(t *testing.T) {
	const (
		outage = 8.0 // seconds
		wave   = 1.5 // times the demand before
		demand = 1000.0
	)
	is := is.New(t)
	w := &wallet{account: Account{Limit: 1_000_000, Granted: 100_000}, known: true, limit: 1_000_000}
	now := time.Now()
	w.demand, w.demandAt, w.used = demand, now, now
	full := w.changeOfKeeper(DefaultSizing, 900_000, 0, now).Take
	w.free = int64(refillBelow * float64(full))
	is.Equal(w.changeOfKeeper(DefaultSizing, 900_000, 0, now), Change{}) // it is not filled up yet
	is.True(float64(w.free) >= outage*wave*demand)
}

// Near its end a budget is not held for a whole outage: what is held dies with all hosts.
func TestKeeperLeavesMostOfWhatIsUnspent(t *testing.T) {
	is := is.New(t)
	w := &wallet{account: Account{Limit: 100_000, Granted: 90_000}, known: true, limit: 100_000}
	now := time.Now()
	w.demand, w.demandAt, w.used = 1000, now, now
	is.True(w.changeOfKeeper(DefaultSizing, 10_000, 1000, now).Take <= 4_000)
}
