package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"maststage.dev/platform"
	"maststage.dev/standin/backend"
)

// partedPrefix begins the paths of requests whose prompts have several parts.
const partedPrefix = streamPath + "parts/"

// crashingPart is the part of prompts that crashes each target which begins to respond to it.
const crashingPart = "bad0"

// Figures of the tests of parts that crash targets.
const (
	partsWarmUp     = 4 * time.Second
	partsTime       = 13 * time.Second // in which requests with crashingPart come
	partsContact    = 3 * time.Second  // after the fifth crash, until hosts in touch may send few more of them
	partsDownTime   = 2 * time.Second  // of a target that crashed
	crashAfter      = 2                // events
	soundInterval   = 25 * time.Millisecond
	partEvents      = 30
	crashesToCount  = 5
	maxLatePartSent = 3   // sends later than partsContact after the fifth crash
	minSoundShare   = 0.5 // of the share before that sound requests begin at the first attempt
	// alternateParts is how many values a part has in sound requests that does not have to be shared.
	alternateParts = 7
)

func isParted(uri string) bool { return strings.HasPrefix(uri, partedPrefix) }

// partedBehaviour is a target's behaviour for requests whose prompts have several parts.
func (w *world) partedBehaviour(run backend.Run) backend.Behaviour {
	b := backend.Behaviour{Delay: engineDelay, Gap: eventGap, Events: partEvents, NoLength: w.options.unframed}
	if strings.Contains(run.Header.Get(platform.Headers.PromptParts), crashingPart) {
		w.watch.crashingArrived()
		b.CrashAfter = crashAfter
	}
	return b
}

// partsRun is one test of a part that crashes targets.
type partsRun struct {
	w        *world
	place    int           // of the part, from 0
	interval time.Duration // between two requests with it
	begin    time.Time     // of these requests

	mu    sync.Mutex
	calls []partedCall
	wrong int // requests with the part that looked complete to their callers
}

// partedCall is the first attempt of a sound request.
type partedCall struct {
	at    time.Time
	kin   bool // it shares all parts but the crashing one with the requests that crash targets
	begun bool
}

// prompt returns the parts of a prompt: two that are shared and, at the run's place, one more.
func (p *partsRun) prompt(more, group string, random *rand.Rand) string {
	parts := []string{"a" + group + ":30", "b" + group + ":20"}
	parts = append(parts[:p.place:p.place], append([]string{more + ":25"}, parts[p.place:]...)...)
	return strings.Join(parts, ",") + fmt.Sprintf(",%x:10", random.Uint32())
}

var lastParted atomic.Int64

// send sends one request to a random host and reports whether events arrived and whether it looked complete.
func (p *partsRun) send(random *rand.Rand, prompt string) (begun, whole bool) {
	w := p.w
	h := w.hosts[random.IntN(len(w.hosts))]
	number := lastParted.Add(1)
	ctx, cancel := context.WithTimeout(context.Background(), requestLimit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s%s%d", h.listen, partedPrefix, number), strings.NewReader(fmt.Sprint("prompt ", number)))
	if err != nil {
		panic(err)
	}
	names := platform.Headers
	req.Host = callersHost
	req.Header.Set(names.RequestID, fmt.Sprintf("%s-p%d", w.network, number))
	req.Header.Set(names.Deadline, strconv.Itoa(int(requestLimit.Milliseconds())))
	req.Header.Set(names.Key, keyOf(largeTenant))
	req.Header.Set(names.Usage, fmt.Sprintf("%d,%d", tokensIn, partEvents))
	req.Header.Set(names.PromptParts, prompt)
	resp, err := partsClient.Do(req)
	if err != nil {
		return false, false
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode == http.StatusOK && len(data) > 0, resp.StatusCode == http.StatusOK && err == nil
}

var partsClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}

// soundTraffic sends sound requests until ctx ends. Every second one shares the parts around the crashing one with the
// requests that crash targets; at its place it has another part.
func (p *partsRun) soundTraffic(ctx context.Context, random *rand.Rand) {
	var all sync.WaitGroup
	defer all.Wait()
	for ctx.Err() == nil {
		own := rand.New(rand.NewPCG(random.Uint64(), 0))
		group := []string{"1", "2"}[random.IntN(2)]
		prompt := p.prompt(fmt.Sprintf("c%d", random.IntN(alternateParts)), group, own)
		all.Go(func() {
			c := partedCall{at: time.Now(), kin: group == "1"}
			c.begun, _ = p.send(own, prompt)
			p.mu.Lock()
			defer p.mu.Unlock()
			p.calls = append(p.calls, c)
		})
		time.Sleep(soundInterval)
	}
}

// crashingTraffic sends requests with the crashing part, no two alike, until ctx ends.
func (p *partsRun) crashingTraffic(ctx context.Context, random *rand.Rand) {
	var all sync.WaitGroup
	defer all.Wait()
	for ctx.Err() == nil {
		own := rand.New(rand.NewPCG(random.Uint64(), 0))
		all.Go(func() {
			if _, whole := p.send(own, p.prompt(crashingPart, "1", own)); whole {
				p.mu.Lock()
				defer p.mu.Unlock()
				p.wrong++
			}
		})
		time.Sleep(p.interval)
	}
}

func (w *watch) crashingArrived() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.crashing = append(w.crashing, time.Now())
}

// share returns how many of the sound requests that began in a span got events at the first attempt.
func (p *partsRun) share(kin bool, begin, end time.Time) (s shareOf) {
	for _, c := range p.calls {
		if c.kin == kin && c.at.After(begin) && c.at.Before(end) {
			s.sent++
			if c.begun {
				s.begun++
			}
		}
	}
	return s
}

// check checks the sends of the crashing part, and what it did to sound requests.
func (p *partsRun) check(end time.Time) {
	w := p.w
	w.watch.mu.Lock()
	sent := w.watch.crashing
	w.watch.mu.Unlock()
	var fifth time.Time
	late := 0
	if len(sent) >= crashesToCount {
		fifth = sent[crashesToCount-1]
		for _, at := range sent {
			if at.Sub(fifth) > partsContact {
				late++
			}
		}
	} else if len(sent) > 0 {
		fifth = sent[len(sent)-1]
	}
	before, after := p.share(true, p.begin.Add(-partsWarmUp), p.begin), p.share(true, fifth.Add(2*partsContact), end)
	others := p.share(false, fifth.Add(2*partsContact), end)
	w.t.Logf("%d sends of the crashing part, %d late, %d looked complete; sound requests begun before %d of %d, after %d of %d, with other parts %d of %d", len(sent), late, p.wrong, before.begun, before.sent, after.begun, after.sent, others.begun, others.sent)
	if late > maxLatePartSent {
		w.watch.violation("crashing part", "%d sends of the part later than %v after the fifth crash", late, partsContact)
	}
	if after.sent < 20 || after.value() < minSoundShare*before.value() {
		w.watch.violation("sound requests", "begun %d of %d, before the crashes %d of %d", after.begun, after.sent, before.begun, before.sent)
	}
	if p.wrong > 0 {
		w.watch.violation("whole answer", "%d responses that targets broke off by their exit looked complete", p.wrong)
	}
}

// Incident: requests of which no two were alike, but which shared a part of their prompts, crashed one target after the
// other, since only equal requests were counted together.
func TestPartThatCrashesTargetsIsStopped(t *testing.T) {
	cases := []struct {
		name           string
		hosts, engines int
		place          int
		interval       time.Duration
		unframed       bool
	}{
		{"6 hosts, second part", 6, 9, 1, 250 * time.Millisecond, false},
		{"6 hosts, first part", 6, 9, 0, 250 * time.Millisecond, false},
		{"24 hosts, third part", 24, 24, 2, 100 * time.Millisecond, false},
		{"answers without framing", 6, 9, 1, 250 * time.Millisecond, true},
	}
	slots := make(chan struct{}, 2)
	for seed, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			w := newWorldWith(t, c.hosts, uint64(seed+1), worldOptions{engines: c.engines, downTime: partsDownTime, unframed: c.unframed})
			p := &partsRun{w: w, place: c.place, interval: c.interval}
			time.Sleep(versionsSettle)
			ctx, stop := context.WithTimeout(context.Background(), partsWarmUp+partsTime)
			defer stop()
			var traffic sync.WaitGroup
			traffic.Go(func() { p.soundTraffic(ctx, rand.New(rand.NewPCG(uint64(seed), 30))) })
			time.Sleep(partsWarmUp)
			p.begin = time.Now()
			traffic.Go(func() { p.crashingTraffic(ctx, rand.New(rand.NewPCG(uint64(seed), 31))) })
			<-ctx.Done()
			end := time.Now().Add(-time.Second)
			traffic.Wait()
			w.endReplacing()
			p.check(end)
			w.report(uint64(seed+1), nil)
		})
	}
}
