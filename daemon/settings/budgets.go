package settings

import "time"

// Budgets says how budget slices are sized. Counts are tokens.
type Budgets struct {
	SliceSeconds int           `ini:"slice_seconds" default:"60"`   // a slice covers so many seconds of demand
	MaxSlice     int           `ini:"max_slice" default:"1000000"`  // largest slice
	LeftDivisor  int           `ini:"left_divisor" default:"2"`     // a slice is at most this part of a host's even share of what is left
	IdleAfter    time.Duration `ini:"idle_after" default:"10s"`     // unused slices go back after this
	Wait         time.Duration `ini:"wait" default:"2s"`            // a request waits so long for tokens
	SettleEvery  time.Duration `ini:"settle_every" default:"500ms"` // between reports of use
	Borrow       bool          `ini:"borrow" default:"true"`        // borrow from other hosts
	FixedShare   int           `ini:"fixed_share" default:"0"`      // percent of a budget that a host takes once, and no more; 0: by demand
	Overrun      int           `ini:"overrun" default:"32"`         // tokens kept for a target that overruns its maximum
}
