// Package suspend notices that the host was suspended: a virtual machine that was paused or
// moved, a laptop that slept. The steady clock, by which all else here measures time, does not
// count such a time, so that what a host believes for so many seconds looks younger than it is.
//
// Pattern: one watch for all. It compares the steady clock with the one that counts since
// boot, suspended or not, and tells the node, which asks anew for what may have changed and
// takes nothing until it has answers. The other way is a clock of its own under every belief,
// some 130 readings in 36 files; it would say that beliefs are old, but not make them
// new, which takes the same questions.
package suspend

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"maststage.dev/lib/wait"
)

// Figures of the watch.
const (
	// MinSuspension is the shortest suspension that is told. Shorter ones are within what beliefs
	// may be late anyhow, and two clocks are not read at the same instant.
	MinSuspension = 300 * time.Millisecond
	// lookEvery is the pause between two looks, in running time: a host that wakes
	// notices it so soon, or with its first request.
	lookEvery = 200 * time.Millisecond
)

// Clocks are the clocks that are compared.
type Clocks struct {
	Monotonic func() time.Duration // does not count a suspension
	Boot      func() time.Duration // counts it
}

// SystemClocks gives the system's clocks.
func SystemClocks() Clocks {
	start := time.Now()
	return Clocks{Monotonic: func() time.Duration { return time.Since(start) }, Boot: sinceBoot}
}

// sinceBoot reads the clock since boot, 0 if there is none.
func sinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0
	}
	return time.Duration(ts.Nano())
}

// Detector notices suspensions.
type Detector struct {
	clocks Clocks
	onWake func(lost time.Duration)
	start  time.Time

	mu   sync.Mutex
	last time.Duration // boot clock less steady clock
	lost time.Duration // suspended in all
	// wallAhead is how far the time of day was ahead of the steady clock, counted from the
	// start, as the newest request came.
	wallAhead time.Duration
}

// New makes a watch that calls onWake after each suspension, before whoever noticed it goes on.
func New(clocks Clocks, onWake func(lost time.Duration)) *Detector {
	return &Detector{clocks: clocks, onWake: onWake, start: time.Now(), last: clocks.Boot() - clocks.Monotonic()}
}

// Run looks until ctx ends.
func (w *Detector) Run(ctx context.Context) {
	for ctx.Err() == nil {
		w.Check()
		wait.For(ctx, lookEvery)
	}
}

// Check compares the clocks.
func (w *Detector) Check() {
	w.mu.Lock()
	steady := w.clocks.Monotonic()
	ahead := w.clocks.Boot() - steady
	lost := ahead - w.last
	if lost < MinSuspension {
		w.mu.Unlock()
		return
	}
	w.last = ahead
	w.lost += lost
	w.mu.Unlock()
	w.onWake(lost)
}

// RequestArrived looks if a request's time suggests a suspension since the one before: the time of
// day went on further than the steady clock. That costs no call to the system, and a time of
// day that was set is told from a suspension by the look.
func (w *Detector) RequestArrived(now time.Time) {
	steady := now.Sub(w.start)
	w.arrived(now.Round(0).Sub(w.start.Round(0)) - steady)
}

// arrived is Arrived with how far the time of day is ahead of the steady clock.
func (w *Detector) arrived(ahead time.Duration) {
	w.mu.Lock()
	jump := ahead - w.wallAhead
	w.wallAhead = ahead
	w.mu.Unlock()
	if jump >= MinSuspension {
		w.Check()
	}
}

// Total is how long the host was suspended in all.
func (w *Detector) Total() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lost
}
