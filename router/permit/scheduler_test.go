package permit

import (
	"fmt"
	"io"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	log "github.com/sirupsen/logrus"
)

func TestMain(m *testing.M) {
	log.SetOutput(io.Discard)
	m.Run()
}

// simulation is a scheduler in virtual time.
type simulation struct {
	*scheduler
	is      *is.I
	now     time.Time
	nextID  uint64
	granted map[permitKey]string
	refused map[permitKey]time.Duration
}

func newSimulation(t *testing.T) *simulation {
	now := time.Unix(1000, 0)
	b := &simulation{scheduler: newScheduler(now), is: is.New(t), now: now, granted: map[permitKey]string{}, refused: map[permitKey]time.Duration{}}
	b.pass(settleTime)
	return b
}

// pass lets time pass.
func (b *simulation) pass(d time.Duration) {
	end := b.now.Add(d)
	for {
		at, ok := b.next(b.now)
		if !ok || at.After(end) {
			break
		}
		b.now = at
		b.advance(b.now)
	}
	b.now = end
	b.advance(b.now)
}

func targets(n, slots int) (list []Target) {
	for i := range n {
		list = append(list, Target{ID: fmt.Sprintf("t%d", i), Slots: slots, Tolerance: 3})
	}
	return list
}

func (b *simulation) askFor(host string, r Request) permitKey {
	b.nextID++
	key := permitKey{host, b.nextID}
	b.ask(key, r, b.now, func(reply Reply) {
		if reply.Target == "" {
			b.refused[key] = reply.RetryAfter
		} else {
			b.granted[key] = reply.Target
		}
	})
	return key
}

func TestNoMorePermitsThanPlaces(t *testing.T) {
	b := newSimulation(t)
	for range 20 {
		b.askFor("h", Request{Targets: targets(2, 4), MaxWait: time.Second})
	}
	b.is.Equal(len(b.granted), 8)
	b.is.Equal(b.places["t0"].used, 4)
	b.is.Equal(b.places["t1"].used, 4)
}

func TestMoreUrgentRequestsComeFirst(t *testing.T) {
	b := newSimulation(t)
	first := b.askFor("h", Request{Targets: targets(1, 1), MaxWait: time.Minute})
	later := b.askFor("h", Request{Targets: targets(1, 1), Priority: 2, MaxWait: time.Minute})
	urgent := b.askFor("h", Request{Targets: targets(1, 1), Priority: 1, MaxWait: time.Minute})
	again := b.askFor("h", Request{Targets: targets(1, 1), Priority: 1, MaxWait: time.Minute})
	for i, key := range []permitKey{first, urgent, again, later} {
		b.is.Equal(len(b.granted), i+1)
		b.is.True(b.granted[key] != "")
		b.pass(defaultHold)
		b.end(key, Ended, b.now)
		b.pass(maxGuard)
	}
}

// What can't have a place in time is refused at once, the others when their time has run out.
func TestRequestsAreRefusedInTime(t *testing.T) {
	b := newSimulation(t)
	b.askFor("h", Request{Targets: targets(1, 1), MaxWait: time.Minute})
	patient := b.askFor("h", Request{Targets: targets(1, 1), MaxWait: time.Second})
	b.askFor("h", Request{Targets: targets(1, 1), MaxWait: time.Second})
	hopeless := b.askFor("h", Request{Targets: targets(1, 1), Priority: 1, MaxWait: defaultHold})
	b.is.True(b.refused[hopeless] >= minRetryAfter/2)
	b.is.Equal(b.refused[patient], time.Duration(0))
	b.pass(time.Second)
	b.is.Equal(len(b.refused), 3)
	b.is.Equal(len(b.queue), 0)
}

// A place that came free is used after a moment, as its target may take one to free it; longer after a refusal.
func TestPlacesRestBetweenRequests(t *testing.T) {
	b := newSimulation(t)
	first := b.askFor("h", Request{Targets: targets(1, 1), MaxWait: time.Minute})
	second := b.askFor("h", Request{Targets: targets(1, 1), MaxWait: time.Minute})
	b.end(first, Ended, b.now)
	b.is.Equal(b.granted[second], "")
	b.pass(minGuard)
	b.is.True(b.granted[second] != "")
	third := b.askFor("h", Request{Targets: targets(1, 1), MaxWait: time.Minute})
	b.end(second, Refused, b.now)
	b.pass(refusalWindow - time.Millisecond)
	b.is.Equal(b.granted[third], "")
	b.pass(time.Millisecond)
	b.is.True(b.granted[third] != "")
}

// A target that turns requests away for a reason that the scheduler doesn't see gets so few that it doesn't fall over.
func TestRefusalsStayWithinTheTolerance(t *testing.T) {
	for _, tolerance := range []int{1, 2, 3, 10} {
		b := newSimulation(t)
		var refusals []time.Time
		for end := b.now.Add(20 * time.Second); b.now.Before(end); b.pass(time.Millisecond) {
			key := b.askFor("h", Request{Targets: []Target{{ID: "t", Slots: 4, Tolerance: tolerance}}, MaxWait: time.Millisecond})
			if b.granted[key] != "" {
				refusals = append(refusals, b.now)
				b.end(key, Refused, b.now)
			}
		}
		for i := range refusals {
			n := 0
			for _, at := range refusals[i:] {
				if at.Sub(refusals[i]) < time.Second {
					n++
				}
			}
			b.is.True(n <= tolerance)
		}
		b.is.True(len(refusals) > 0)
	}
}

// The permits of a host whose connection broke come free, unless it comes back in time.
func TestPermitsOfLostHosts(t *testing.T) {
	b := newSimulation(t)
	dead := b.askFor("dead", Request{Targets: targets(1, 2), MaxWait: time.Minute})
	back := b.askFor("back", Request{Targets: targets(1, 2), MaxWait: time.Minute})
	b.askFor("dead", Request{Targets: targets(1, 2), MaxWait: time.Minute})
	waits := b.askFor("h", Request{Targets: targets(1, 2), MaxWait: time.Minute})
	b.lost("dead", b.now)
	b.lost("back", b.now)
	b.pass(orphanTime / 2)
	b.keep(back, targets(1, 2)[0], b.now)
	b.is.Equal(b.granted[waits], "")
	b.pass(orphanTime / 2)
	b.is.True(b.granted[waits] != "")
	b.is.Equal(b.held[dead], nil)
	b.is.True(b.held[back] != nil)
	b.is.Equal(b.places["t0"].used, 2)
}

// A scheduler that takes over hands out nothing until hosts have told it what they use.
func TestNewSchedulerWaitsForPermitsInUse(t *testing.T) {
	now := time.Unix(1000, 0)
	b := &simulation{scheduler: newScheduler(now), is: is.New(t), now: now, granted: map[permitKey]string{}, refused: map[permitKey]time.Duration{}}
	asked := b.askFor("h", Request{Targets: targets(1, 1), MaxWait: time.Minute})
	b.pass(settleTime / 2)
	b.is.Equal(b.granted[asked], "")
	b.keep(permitKey{"other", 9}, targets(1, 1)[0], b.now)
	b.pass(settleTime)
	b.is.Equal(b.granted[asked], "")
	b.end(permitKey{"other", 9}, Ended, b.now)
	b.pass(maxGuard)
	b.is.True(b.granted[asked] != "")
}

func TestWithdrawnRequestsGetNothing(t *testing.T) {
	b := newSimulation(t)
	first := b.askFor("h", Request{Targets: targets(1, 1), MaxWait: time.Minute})
	gone := b.askFor("h", Request{Targets: targets(1, 1), MaxWait: time.Minute})
	b.end(gone, Ended, b.now)
	b.end(first, Ended, b.now)
	b.pass(time.Second)
	b.is.Equal(len(b.granted), 1)
	b.is.Equal(b.places["t0"].used, 0)
}

// Under more load than there is room for, all places but the rest between two requests are in use, whatever the number of
// hosts, and what a target gets fits into it.
func TestPlacesAreUsedUnderLoad(t *testing.T) {
	for _, hosts := range []int{2, 8, 87, 300, 1000} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			b := newSimulation(t)
			random := rand.New(rand.NewPCG(uint64(hosts), 1))
			const slots, work = 4, 100 * time.Millisecond
			list := targets(10, slots)
			ends := map[permitKey]time.Time{}
			used := 0
			const steps = 5000
			for range steps {
				for range 2 { // 2,000 a second, of which 400 fit
					random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
					b.askFor(fmt.Sprintf("h%d", random.IntN(hosts)), Request{Targets: list, Priority: random.IntN(3), MaxWait: time.Second})
				}
				for key := range b.granted {
					if ends[key].IsZero() {
						ends[key] = b.now.Add(work)
					}
				}
				for key, at := range ends {
					if !b.now.Before(at) {
						b.end(key, Ended, b.now)
						delete(ends, key)
						delete(b.granted, key)
					}
				}
				for _, p := range b.places {
					b.is.True(p.used <= slots)
					used += p.used
				}
				b.pass(time.Millisecond)
			}
			b.is.True(float64(used)/(steps*10*slots) > 0.9)
			b.is.True(len(b.queue) < 1000)
		})
	}
}
