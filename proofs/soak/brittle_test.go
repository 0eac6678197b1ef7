package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"maststage.dev/standin/backend"
)

// brittleHeader names how many requests a second a target can turn away without falling over.
const brittleHeader = "Server-Brittle"

// Figures of targets with few places.
const (
	roomPlaces     = 4
	roomQueue      = 4 // requests that may wait until brittleContact after the target became brittle; then none
	roomWork       = 100 * time.Millisecond
	brittleRefuses = 3 // more refusals in a second make a brittle target fall over
	brittleContact = 3 * time.Second
	fallTime       = 3 * time.Second // a target that fell over is back after this time
	// maxFalls and maxFallShare bound the falls while the targets of a service are brittle: a number, and a share of the
	// targets.
	maxFalls     = 2
	maxFallShare = 0.1
	// minRoomUse is the least share of the places that are in use while callers press.
	minRoomUse = 0.9
)

// room is the places of one target.
type room struct {
	slots *backend.Slots

	mu       sync.Mutex
	refusals []time.Time
	fell     bool
}

// brittleness is whether the plain targets of a cluster are brittle.
type brittleness struct {
	mu    sync.Mutex
	since time.Time // zero: they aren't
	falls []time.Time
}

func (w *world) newRoom(s *targetState) *room {
	r := &room{slots: backend.NewSlots(roomPlaces, roomQueue)}
	r.slots.OnRefuse = func(now time.Time) { w.turnAway(s, r, now) }
	w.brittle.mu.Lock()
	defer w.brittle.mu.Unlock()
	if !w.brittle.since.IsZero() && time.Since(w.brittle.since) > brittleContact {
		r.slots.SetQueue(0)
	}
	return r
}

// turnAway records a refusal, which may make a target fall over from brittleContact after it became brittle on.
func (w *world) turnAway(s *targetState, r *room, now time.Time) {
	w.brittle.mu.Lock()
	brittle := !w.brittle.since.IsZero() && now.Sub(w.brittle.since) > brittleContact
	w.brittle.mu.Unlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	if !brittle {
		return
	}
	r.refusals = append(r.refusals, now)
	if r.fell || within(r.refusals, now, time.Second) <= brittleRefuses {
		return
	}
	r.fell = true
	w.brittle.mu.Lock()
	w.brittle.falls = append(w.brittle.falls, now)
	w.brittle.mu.Unlock()
	go s.Close()
}

// downTime is how long a target that fell over is down, 0 for one that didn't.
func (r *room) downTime() time.Duration {
	if r == nil {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.fell {
		return fallTime
	}
	return 0
}

// slots is the number of places in the target's entry.
func (s *targetState) slots() int {
	if s.room != nil {
		return roomPlaces
	}
	return targetSlots
}

// addRoom gives a request at a target with few places one of them.
func (s *targetState) addRoom(b *backend.Behaviour) {
	if s.room == nil {
		return
	}
	b.Slots, b.Delay = s.room.slots, roomWork
	if s.brittle != nil {
		b.Brittle = s.brittle()
	}
}

// beginBrittle makes the plain targets brittle: they say so, and later let fewer requests wait.
func (w *world) beginBrittle() {
	w.brittle.mu.Lock()
	w.brittle.since = time.Now()
	w.brittle.mu.Unlock()
	time.AfterFunc(brittleContact, func() {
		for _, s := range w.readyTargets(plainService) {
			s.room.slots.SetQueue(0)
		}
	})
}

// brittleValue is what targets say in the header.
func (w *world) brittleValue() []string {
	w.brittle.mu.Lock()
	defer w.brittle.mu.Unlock()
	if w.brittle.since.IsZero() {
		return nil
	}
	return []string{strconv.Itoa(brittleRefuses)}
}

// used adds up the time that places of plain targets were busy.
func (w *world) used() (total time.Duration) {
	for _, s := range w.allTargets() {
		if s.room != nil {
			total += s.room.slots.Used()
		}
	}
	return total
}

// Brittle targets fell over again and again, as hosts sent what they had no place for.
func TestBrittleTargetsDoNotFallOver(t *testing.T) {
	for _, c := range []struct {
		name                    string
		hosts, targets, callers int
		disturb                 func(w *world)
	}{
		{"8 hosts", 8, 10, 60, nil},
		{"24 hosts", 24, 20, 120, nil},
		{"8 hosts, one killed and one frozen", 8, 10, 60, func(w *world) {
			time.Sleep(brittleContact + time.Second)
			go w.pause(w.hosts[1], event{length: 2 * time.Second})
			w.killAndStart(w.hosts[0], event{length: time.Second})
		}},
		{"8 hosts, three cut off", 8, 10, 60, func(w *world) {
			time.Sleep(brittleContact)
			w.playCut(cutHangs, w.hosts[:3], 5*time.Second)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newWorldWith(t, c.hosts, 1, worldOptions{brittle: c.targets, ownDialIPs: true})
			ctx, stop := context.WithCancel(context.Background())
			var traffic sync.WaitGroup
			for i := range c.callers {
				traffic.Go(func() { w.pressingCaller(ctx, rand.New(rand.NewPCG(1, uint64(i)))) })
			}
			time.Sleep(2 * time.Second)
			w.beginBrittle()
			if c.disturb != nil {
				go c.disturb(w)
			}
			time.Sleep(brittleContact + time.Second)
			used, began := w.used(), time.Now()
			time.Sleep(8 * time.Second)
			share := float64(w.used()-used) / float64(time.Since(began)) / float64(c.targets*roomPlaces)
			stop()
			traffic.Wait()
			w.endReplacing()
			w.check()
			w.checkBrittle(c.targets, share, c.disturb != nil)
			w.report(1, nil)
		})
	}
}

// pressingCaller sends plain requests to hosts drawn by lot, one after the other, and returns after a refusal when it is
// told to.
func (w *world) pressingCaller(ctx context.Context, random *rand.Rand) {
	client := newClient()
	for ctx.Err() == nil {
		h := w.hosts[random.IntN(len(w.hosts))]
		path := []string{safePath, unsafePath}[random.IntN(2)]
		c := w.send(client, h, path, largeTenant, random)
		w.watch.call(c)
		if c.status != http.StatusOK {
			seconds, _ := strconv.ParseFloat(c.retryAfter, 64)
			time.Sleep(time.Duration(min(max(seconds, 0.02), 1) * float64(time.Second)))
		}
	}
}

// checkBrittle: brittle targets fall over no more often than the platform allows, and their places are in use while
// callers press.
func (w *world) checkBrittle(targets int, used float64, disturbed bool) {
	w.brittle.mu.Lock()
	falls, since := slices.Clone(w.brittle.falls), w.brittle.since
	w.brittle.mu.Unlock()
	served, sent := 0, 0
	w.watch.mu.Lock()
	kinds := map[string]int{}
	for _, c := range w.watch.calls {
		if c.started.After(since) {
			sent++
			kinds[fmt.Sprint(c.status)]++
			if c.status == http.StatusOK && c.err == nil {
				served++
			}
		}
	}
	w.watch.mu.Unlock()
	allowed := maxFalls + maxFallShare*float64(targets)
	w.t.Logf("%d falls, %g allowed; served %d of %d %v; %.2f of the places used", len(falls), allowed, served, sent, kinds, used)
	if float64(len(falls)) > allowed {
		w.watch.violation("brittle targets", "%d fell over, the first %v after they became brittle", len(falls), falls[0].Sub(since).Round(time.Millisecond))
	}
	if used < minRoomUse && !disturbed {
		w.watch.violation("brittle targets", "only %.2f of their places were used", used)
	}
}
