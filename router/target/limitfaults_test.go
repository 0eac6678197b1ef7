package target_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against shares that are used twice when hosts start, exit, freeze, join or lose the log, in sequence and at the
// same time, while targets advertise, change and withdraw limits.
func TestLimitsHoldThroughFaults(t *testing.T) {
	for _, hostCount := range []int{3, 8, 30} {
		t.Run(fmt.Sprint(hostCount), func(t *testing.T) {
			for seed := range 5 * *limitSeeds {
				synctest.Test(t, func(t *testing.T) { runFaults(t, seed, hostCount) })
			}
		})
	}
}

func runFaults(t *testing.T, seed uint64, hostCount int) {
	is := is.New(t)
	f := newLimitFleet(t, seed, hostCount, 4, 12)
	for range 30 {
		if f.random.IntN(2) == 0 {
			f.fault()
		}
		f.change(f.targets[f.random.IntN(3)])
		f.announceAll()
		f.run(time.Duration(f.random.Float64() * float64(4*time.Second)))
	}
	for _, limited := range f.targets {
		part, sends, _ := limited.maxUse()
		t.Logf("seed %d, %s: %d in %s, %.2f of what is allowed, %d limits", seed, limited.id, sends, limitSpan, part, len(limited.windows))
		is.True(part <= 1)
	}
	is.Equal(len(f.refused), 0) // the last target advertises no limit
}

// change lets a target advertise a limit, change it or withdraw it, or leaves it as it is.
func (f *limitFleet) change(t *limitedTarget) {
	switch f.random.IntN(4) {
	case 0:
		f.advertise(t, 0.3+f.random.Float64())
	case 1:
		f.advertise(t, 10*f.random.Float64())
	case 2:
		f.withdraw(t)
	}
}

// fault injects a fault into a random host or ends it.
func (f *limitFleet) fault() {
	i := f.random.IntN(len(f.hosts))
	h := f.hosts[i]
	switch f.random.IntN(4) {
	case 0:
		f.hosts[i] = f.newHost(h.name) // killed and restarted
	case 1:
		h.logCut = !h.logCut
		h.since = time.Now()
	case 2:
		h.down = !h.down
		h.since = time.Now()
	case 3:
		f.hosts = append(f.hosts, f.newHost(fmt.Sprintf("front-%d", len(f.hosts))))
	}
}
