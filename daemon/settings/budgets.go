package settings

import "time"

// Budgets configures how the allocations of budgets to hosts are sized. Counts are tokens.
type Budgets struct {
	SliceSeconds int           `ini:"slice_seconds" default:"60"`   // seconds of demand that an allocation covers
	MaxSlice     int           `ini:"max_slice" default:"1000000"`  // largest allocation
	LeftDivisor  int           `ini:"left_divisor" default:"2"`     // an allocation is at most a host's even share of the free budget, divided by this
	IdleAfter    time.Duration `ini:"idle_after" default:"10s"`     // time after which an unused allocation is returned
	Wait         time.Duration `ini:"wait" default:"2s"`            // longest wait of a request for tokens
	SettleEvery  time.Duration `ini:"settle_every" default:"500ms"` // interval between reports of usage
	Borrow       bool          `ini:"borrow" default:"true"`        // borrow from other hosts
	FixedShare   int           `ini:"fixed_share" default:"0"`      // percent of a budget that a host takes once, and no more; 0: allocate by demand
	Overrun      int           `ini:"overrun" default:"32"`         // tokens reserved for a target that exceeds its maximum output
}
