// Package suspend detects that the host was suspended: a virtual machine that was paused or
// migrated, a laptop that slept. The monotonic clock, by which the router measures time, does
// not advance meanwhile, so that cached state looks younger than it is.
//
// Pattern: one detector for the process. It compares the monotonic clock with the boot clock,
// which advances during a suspension, and notifies the node, which refreshes its cached state
// and accepts no requests until that is done. The alternative is to age every piece of cached
// state by the boot clock, some 130 readings in 36 files. That would mark state as stale, but
// refreshing it would take the same calls.
package suspend

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"maststage.dev/lib/wait"
)

const (
	// MinSuspension is the shortest suspension that is reported. Cached state may lag by as
	// much anyway, and the two clocks are not read at the same instant.
	MinSuspension = 300 * time.Millisecond
	// checkInterval bounds, in running time, how late a resumed host detects the suspension
	// if no request comes before.
	checkInterval = 200 * time.Millisecond
)

// Clocks are the two clocks that a Detector compares.
type Clocks struct {
	Monotonic func() time.Duration // stops during a suspension
	Boot      func() time.Duration // advances during a suspension
}

// SystemClocks returns the operating system's clocks.
func SystemClocks() Clocks {
	start := time.Now()
	return Clocks{Monotonic: func() time.Duration { return time.Since(start) }, Boot: sinceBoot}
}

// sinceBoot reads the boot clock, 0 if the system has none.
func sinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0
	}
	return time.Duration(ts.Nano())
}

// Detector detects suspensions of the host.
type Detector struct {
	clocks   Clocks
	onResume func(suspended time.Duration)
	start    time.Time

	mu         sync.Mutex
	lastOffset time.Duration // boot clock minus monotonic clock, at the last check
	total      time.Duration // length of all suspensions
	// wallOffset is the wall clock minus the monotonic clock, both counted from start, when
	// the last request arrived.
	wallOffset time.Duration
}

// New returns a detector that calls onResume after each suspension, before the call to Check or
// RequestArrived that detected it returns.
func New(clocks Clocks, onResume func(suspended time.Duration)) *Detector {
	return &Detector{clocks: clocks, onResume: onResume, start: time.Now(), lastOffset: clocks.Boot() - clocks.Monotonic()}
}

// Run checks the clocks until ctx ends.
func (d *Detector) Run(ctx context.Context) {
	for ctx.Err() == nil {
		d.Check()
		wait.For(ctx, checkInterval)
	}
}

// Check compares the clocks and reports a suspension since the last check.
func (d *Detector) Check() {
	d.mu.Lock()
	monotonic := d.clocks.Monotonic()
	offset := d.clocks.Boot() - monotonic
	suspended := offset - d.lastOffset
	if suspended < MinSuspension {
		d.mu.Unlock()
		return
	}
	d.lastOffset = offset
	d.total += suspended
	d.mu.Unlock()
	d.onResume(suspended)
}

// RequestArrived runs Check if the wall clock has advanced further than the monotonic clock since
// the last request, which suggests a suspension. The comparison costs no system call; Check tells
// a suspension from a wall clock that was set.
func (d *Detector) RequestArrived(now time.Time) {
	monotonic := now.Sub(d.start)
	d.checkWallOffset(now.Round(0).Sub(d.start.Round(0)) - monotonic)
}

// checkWallOffset is RequestArrived for a given offset of the wall clock from the monotonic clock.
func (d *Detector) checkWallOffset(offset time.Duration) {
	d.mu.Lock()
	advance := offset - d.wallOffset
	d.wallOffset = offset
	d.mu.Unlock()
	if advance >= MinSuspension {
		d.Check()
	}
}

// Total returns the length of all suspensions so far.
func (d *Detector) Total() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.total
}
