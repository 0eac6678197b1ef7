package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

// Figures of the case "back": those of the sheet, with its six machines and the model service's longest kind of request.
const (
	backHosts     = 6
	backTraffic   = 9 * time.Second  // until all processes are killed
	backDown      = time.Second      // until the machine that is not lost is started again
	backDark      = 5 * time.Second  // until the machines without power are back
	recoveryTime  = 12 * time.Second // RecoveryS
	backAfter     = 10 * time.Second // of traffic that is judged
	backPerSecond = 6
	backTenants   = 10
	// backPrepaid is 1.3 times what a tenant's traffic of all this time may use.
	backPrepaid = 13 * backPerSecond * int64((backTraffic+backDown+recoveryTime+backAfter)/time.Second) * (longIn + longOut) / 10 / backTenants
)

// sentRequest is a request of a client, with its retry.
type sentRequest struct {
	at     time.Time
	served bool
}

// caseBack: all machines go down at the same moment, and all but one of them are lost for good (RECOVER).
func caseBack(w *world) (bool, error) {
	s, err := startEngines(w)
	if err != nil {
		return false, err
	}
	w.putConfig(backTenants, backPrepaid)
	if err := w.startRouters(backHosts); err != nil {
		return false, err
	}
	time.Sleep(lead)
	var mu sync.Mutex
	var requests []sentRequest
	var all sync.WaitGroup
	stop := make(chan struct{})
	all.Go(func() {
		tick := time.NewTicker(time.Second / backPerSecond)
		defer tick.Stop()
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-tick.C:
			}
			all.Go(func() {
				at := time.Now()
				served := w.request(n)
				mu.Lock()
				defer mu.Unlock()
				requests = append(requests, sentRequest{at, served})
			})
		}
	})
	time.Sleep(backTraffic)
	fault := time.Now()
	if w.trouble {
		for _, r := range w.routers {
			r.up.Store(false)
			r.signal(w, syscall.SIGKILL)
		}
		for _, r := range w.routers {
			<-r.ended
		}
		time.Sleep(backDown)
		if err := w.routers[0].start(w); err != nil {
			return false, err
		}
	}
	back := time.Now()
	w.rec.logf("the machine that is left is back")
	time.Sleep(recoveryTime + backAfter)
	close(stop)
	all.Wait()
	before, servedBefore, after, servedAfter := 0, 0, 0, 0
	for _, r := range requests {
		switch {
		case r.at.Before(fault):
			before++
			servedBefore += count(r.served)
		case r.at.After(back.Add(recoveryTime)):
			after++
			servedAfter += count(r.served)
		}
	}
	text := fmt.Sprintf("served %d of %d requests before the fault, %d of %d later than %v after it; tokens in and handed out: %d of %d", servedBefore, before, servedAfter, after, recoveryTime, s.tokens.Load(), backTenants*backPrepaid)
	w.rec.logf("%s", text)
	fmt.Println(text)
	if 4*servedBefore < before {
		return false, fmt.Errorf("less than a quarter was served before the fault")
	}
	return 4*servedAfter < after, nil
}

func count(b bool) int {
	if b {
		return 1
	}
	return 0
}

// request sends a request and, if it is refused, once more after the time that it is told, up to a third of the time left.
func (w *world) request(n int) bool {
	const deadline = 15 * time.Second
	until := time.Now().Add(deadline)
	for attempt := range 2 {
		q := stream(n%backTenants, ownerChat, longIn, longOut, fmt.Sprintf("91bd3f06:5382,%x:6610", 0x10000+n))
		q.deadline = time.Until(until)
		to := w.upRouter(n + attempt)
		if to == nil {
			return false
		}
		r := once(to.listen, q)
		w.rec.logf("client sent %s to %s and got %v", q.id, to.name, r)
		if r.status == 200 && r.err == nil {
			return true
		}
		if r.status != 503 && r.status != 0 {
			return false
		}
		var seconds float64
		_, _ = fmt.Sscan(r.header.Get("Retry-After"), &seconds)
		pause := min(time.Duration(seconds*float64(time.Second)), time.Until(until)/3)
		time.Sleep(pause + rand.N(50*time.Millisecond))
	}
	return false
}

// upRouter returns one of the routers that are up, nil if there is none.
func (w *world) upRouter(n int) *router {
	var up []*router
	for _, r := range w.routers {
		if r.up.Load() {
			up = append(up, r)
		}
	}
	if len(up) == 0 {
		return nil
	}
	return up[n%len(up)]
}
