package soak

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"maststage.dev/standin/faultlink"
)

// cutWay is what happens to the connections of a host that loses its links to the targets.
type cutWay string

const (
	cutHangs   cutWay = "hang"       // connections pass nothing, new ones neither
	cutResets  cutWay = "reset"      // connections are reset, new ones too
	cutRefuses cutWay = "refuse new" // connections live on, new ones are reset
	cutOneWay  cutWay = "one way"    // nothing comes from the targets
	cutFlaps   cutWay = "on and off" // connections hang, and pass everything, by turns
	flapTime          = 700 * time.Millisecond
)

// cut cuts hosts off from all targets. The returned function ends the cut.
func (w *world) cut(way cutWay, hosts []*host) (heal func()) {
	var from []string
	for _, h := range hosts {
		from = append(from, h.dialIP())
	}
	fault := faultlink.Fault{From: from}
	switch way {
	case cutHangs, cutFlaps:
		fault.DropUp, fault.DropDown = true, true
	case cutOneWay:
		fault.DropDown = true
	case cutResets, cutRefuses:
		fault.Refuse = true
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	number := w.nextCut
	w.nextCut++
	w.cuts[number] = fault
	for _, s := range w.targets {
		s.cuts[number] = s.link.Inject(fault)
		if way == cutResets {
			s.link.ResetOpen(from)
		}
	}
	return func() { w.healCut(number) }
}

// healCut ends a cut, also at targets that were added meanwhile.
func (w *world) healCut(number int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.cuts, number)
	for _, s := range w.targets {
		s.cuts[number]()
	}
}

// foreignIP belongs to no machine (RFC 5737), so that no connection can be made from it.
const foreignIP = "192.0.2.1"

// dialIP is the local IP of the host's connections to targets.
func (h *host) dialIP() string {
	if h.cutOff {
		return foreignIP
	}
	ip, _, _ := net.SplitHostPort(h.world.address(dialPart, h.number))
	return ip
}

// cutKind is the kind of events that cut hosts off from all targets. It is not in strikes, so that the other events of a
// seed stay the same.
const cutKind = "cut from targets"

// Figures of cuts in a seed.
const (
	cutEvery      = 3 // one seed in this many has them
	maxCuts       = 3
	minCutLength  = time.Second
	cutLengthSpan = 6 * time.Second
)

// hasCuts reports whether hosts of a seed are cut off from all targets.
func hasCuts(seed uint64) bool { return len(cuts(seed)) > 0 }

// cuts draws the events of a seed in which hosts are cut off from all targets.
func cuts(seed uint64) []event {
	return drawInSome(seed, 13, cutEvery, cutKind, maxCuts, minCutLength, cutLengthSpan)
}

var cutWays = []cutWay{cutHangs, cutResets, cutRefuses, cutOneWay, cutFlaps}

// cutFromTargets cuts a failure domain, or up to half of the hosts, off from all targets.
func cutFromTargets(w *world, e event) {
	var list []*host
	if e.pick%2 == 0 {
		zone := w.hosts[e.pick%len(w.hosts)].zone
		for _, h := range w.hosts {
			if h.zone == zone {
				list = append(list, h)
			}
		}
	} else {
		e.part /= 2
		for _, i := range pickIndices(len(w.hosts), e) {
			list = append(list, w.hosts[i])
		}
	}
	begin := time.Now()
	w.playCut(cutWays[e.pick%len(cutWays)], list, e.length)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.playedCuts = append(w.playedCuts, playedCut{hosts: list, begin: begin, end: time.Now()})
}

// playedCut is a cut that is over.
type playedCut struct {
	hosts      []*host
	begin, end time.Time
}

// checkCuts checks the cuts of a seed during which there was no other fault.
func (w *world) checkCuts() {
	w.mu.Lock()
	list := w.playedCuts
	w.mu.Unlock()
	for _, c := range list {
		if c.end.Sub(c.begin) > cutContact && w.watch.soleFault(c.begin, c.end) {
			w.checkCut(func(h *host) bool { return slices.Contains(c.hosts, h) }, c.begin, c.end)
		}
	}
	w.t.Logf("%d cuts from all targets", len(list))
}

// soleFault reports whether there was one fault, and no graceful shutdown, in a span and within settleTime before it.
func (w *watch) soleFault(begin, end time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, f := range append(slices.Clone(w.faults), w.stops...) {
		if f.overlaps(begin.Add(-settleTime), end) {
			n++
		}
	}
	return n == 1
}

// Figures of the tests of cuts.
const (
	cutWarmUp  = 2 * time.Second
	cutTime    = 8 * time.Second
	cutContact = 3 * time.Second // after this time hosts that are cut off serve as the others do
	cutReturn  = 3 * time.Second // after the end of a cut, until all hosts serve
	// cutPause is the time between two requests of all callers together.
	cutPause = 10 * time.Millisecond
	// minCutShare is the least share of first attempts that cut hosts serve, as a part of that of the others.
	minCutShare = 2.0 / 3
	// Of all first attempts cutSlack and one in cutSlackPer may fail at cut hosts.
	cutSlack    = 10
	cutSlackPer = 50
	// cutSilence is how long all targets are silent in one of the tests, which is no cut.
	cutSilence = 1200 * time.Millisecond
)

// tally counts first attempts of callers.
type tally struct{ sent, served int }

func (t tally) share() float64 { return float64(t.served) / float64(max(t.sent, 1)) }

func (t *tally) add(c call) {
	t.sent++
	if c.status == http.StatusOK && c.err == nil && c.body != "" {
		t.served++
	}
}

// Incident: hosts that had lost their links to all targets refused nearly all callers, as their own connection is the only
// way to a target that a host knew.
func TestHostsCutFromTargetsServe(t *testing.T) {
	inDomain := func(h *host) bool { return h.zone == "z0" }
	firstThree := func(h *host) bool { return h.number < 3 }
	cases := []struct {
		name    string
		hosts   int
		cut     func(h *host) bool
		way     cutWay
		silence bool // all targets are silent for a moment as the cut begins
	}{
		{"3 of 8 hang", 8, firstThree, cutHangs, false},
		{"3 of 8 reset", 8, firstThree, cutResets, false},
		{"3 of 8 refuse new", 8, firstThree, cutRefuses, false},
		{"3 of 8 one way", 8, firstThree, cutOneWay, false},
		{"3 of 8 on and off", 8, firstThree, cutFlaps, false},
		{"3 of 8 hang, targets silent", 8, firstThree, cutHangs, true},
		{"3 of 8 reset, targets silent", 8, firstThree, cutResets, true},
		{"domain of 9 hangs", 9, inDomain, cutHangs, false},
		{"domain of 9 resets", 9, inDomain, cutResets, false},
		{"domain of 9 refuses new", 9, inDomain, cutRefuses, false},
		{"domain of 24 hangs", 24, inDomain, cutHangs, false},
	}
	slots := make(chan struct{}, 2)
	for seed, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			w := newWorldWith(t, c.hosts, uint64(seed+1), worldOptions{ownDialIPs: true})
			ctx, stop := context.WithCancel(context.Background())
			var traffic sync.WaitGroup
			traffic.Go(func() { w.steadyTraffic(ctx, rand.New(rand.NewPCG(uint64(seed), 0))) })
			time.Sleep(cutWarmUp)
			var cut []*host
			for _, h := range w.hosts {
				if c.cut(h) {
					cut = append(cut, h)
				}
			}
			begin := time.Now()
			if c.silence {
				go w.silenceTargets(cutSilence)
			}
			w.playCut(c.way, cut, cutTime)
			end := time.Now()
			time.Sleep(cutReturn + 2*time.Second)
			stop()
			traffic.Wait()
			w.check()
			during, after := w.checkCut(c.cut, begin, end)
			if during[1].sent == 0 || after[1].sent == 0 {
				w.watch.violation("served when cut off", "nothing was sent to the hosts that were cut off")
			}
			w.report(uint64(seed+1), nil)
		})
	}
}

// playCut cuts hosts off for a time.
func (w *world) playCut(way cutWay, hosts []*host, length time.Duration) {
	defer w.watch.fault("cut: " + string(way))()
	end := time.Now().Add(length)
	if way != cutFlaps {
		heal := w.cut(way, hosts)
		time.Sleep(length)
		heal()
		return
	}
	for time.Now().Before(end) {
		heal := w.cut(way, hosts)
		time.Sleep(flapTime)
		heal()
		time.Sleep(flapTime)
	}
}

// silenceTargets makes all targets silent for a time.
func (w *world) silenceTargets(length time.Duration) {
	for _, s := range w.allTargets() {
		defer s.link.Inject(faultlink.Fault{Delay: length})()
	}
	time.Sleep(length)
}

// steadyTraffic sends requests to hosts drawn by lot at a steady rate, on kept connections, and tries each once.
func (w *world) steadyTraffic(ctx context.Context, random *rand.Rand) {
	client := newClient()
	var all sync.WaitGroup
	defer all.Wait()
	tick := time.NewTicker(cutPause)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		h := w.hosts[random.IntN(len(w.hosts))]
		path := []string{streamPath, streamPath, safePath, unsafePath}[random.IntN(4)]
		own := rand.New(rand.NewPCG(random.Uint64(), 0))
		all.Go(func() { w.watch.call(w.send(client, h, path, largeTenant, own)) })
	}
}

// checkCut: from cutContact after the beginning of a cut on, the hosts that are cut off serve first attempts at least
// minCutShare times as often as the others, and from cutReturn after its end on all serve alike.
// A few failures don't count, as in the platform's rule. It returns the first attempts at the others and at cut hosts.
func (w *world) checkCut(isCut func(h *host) bool, begin, end time.Time) (during, after [2]tally) {
	w.watch.mu.Lock()
	calls := w.watch.calls
	w.watch.mu.Unlock()
	byPath := map[string]tally{} // of cut hosts
	for _, c := range calls {
		if c.tenant != largeTenant || isDeadly(c.path) || isLarge(c.path) {
			continue // others are refused for reasons of their own
		}
		group := 0
		if isCut(c.host) {
			group = 1
		}
		switch {
		case c.started.After(begin.Add(cutContact)) && c.started.Before(end):
			during[group].add(c)
			if group == 1 {
				one := byPath[c.path]
				one.add(c)
				byPath[c.path] = one
			}
		case c.started.After(end.Add(cutReturn)):
			after[group].add(c)
		}
	}
	w.t.Logf("served of sent during the cut: cut off %v %v, others %v; afterwards %v, %v", during[1], byPath, during[0], after[1], after[0])
	for when, t := range map[string][2]tally{"during": during, "after": after} {
		failed, sent := t[1].sent-t[1].served, t[0].sent+t[1].sent
		if t[1].share() < minCutShare*t[0].share() && failed > cutSlack+sent/cutSlackPer {
			w.watch.violation("served when cut off", "%s the cut, cut hosts served %d of %d, the others %d of %d", when, t[1].served, t[1].sent, t[0].served, t[0].sent)
		}
	}
	return during, after
}
