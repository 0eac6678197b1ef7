package main

import (
	"fmt"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// workHeader tells the stand-in of a plain runner how many milliseconds a request takes.
const workHeader = "Work-Ms"

// orders is the stand-ins of the plain service's runners, and what they ran.
type orders struct {
	mu  sync.Mutex
	ran map[string]int // by Attempt-Id
}

// startOrders starts the runners of the plain service and one of the model service, whose streams are long.
func startOrders(w *world) (*orders, error) {
	o := &orders{ran: map[string]int{}}
	for i := range 3 {
		id := fmt.Sprintf("i-02d9e6b%d", i)
		r, err := startRunner(loopback+":0", id, func(e *exchange) bool {
			o.mu.Lock()
			o.ran[e.id]++
			o.mu.Unlock()
			ms, _ := strconv.Atoi(e.request.Header.Get(workHeader))
			w.rec.logf("runner %s runs %s for %d ms", e.runner.id, e.id, ms)
			if !e.sleep(time.Duration(ms) * time.Millisecond) {
				w.rec.logf("runner %s: the connection of %s closed", e.runner.id, e.id)
				return false
			}
			return e.answer("200 OK", []string{e.stamp()}, "confirmed") == nil
		})
		if err != nil {
			return nil, err
		}
		w.closers = append(w.closers, r.close)
		w.list(id, func() *entry {
			return &entry{Service: plainService, Address: r.address(), Zone: "colombo-a", Version: "v1", Slots: 6, State: "ready"}
		})
	}
	r, err := startRunner(loopback+":0", "i-7f3a91c2", func(e *exchange) bool {
		w.rec.logf("runner %s runs the stream %s", e.runner.id, e.id)
		if e.beginStream(true) != nil {
			return false
		}
		for piece := 1; piece <= longPieces; piece++ {
			if !e.sleep(longGap) || e.event(piece, true) != nil {
				return false
			}
		}
		return e.endChunks() == nil
	})
	if err != nil {
		return nil, err
	}
	w.closers = append(w.closers, r.close)
	w.list(r.id, func() *entry {
		return &entry{Service: modelService, Address: r.address(), Zone: "colombo-a", Version: "v1", Slots: 64, State: "ready"}
	})
	return o, nil
}

// A stream that keeps a host that stops from ending: some 12 s.
const (
	longPieces = 120
	longGap    = 100 * time.Millisecond
)

func (o *orders) runs(id string) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.ran[id]
}

func renewal(workMs int) call {
	return call{
		method: "POST", path: renew + "2f", id: newAttempt(), deadline: 4 * time.Second, body: "renewal",
		headers: []string{"Api-Key: " + keyOf(0), workHeader + ": " + strconv.Itoa(workMs)},
	}
}

// stopCase is a stop of the first of two hosts, to which clients hold connections.
type stopCase struct {
	graceBefore int           // grace time that the settings name at the start
	graceNow    int           // grace time that they name once they have changed
	sendAfter   time.Duration // when clients send their requests, since the stop began
	sendGap     time.Duration // between them
	workMs      int
	clients     int
	kills       bool // the platform kills the process after the grace time
}

// play stops the host and returns whether a request was lost.
func (s stopCase) play(w *world) (bool, error) {
	o, err := startOrders(w)
	if err != nil {
		return false, err
	}
	w.putConfig(1, 100_000_000)
	if err := w.startRouters(2); err != nil {
		return false, err
	}
	time.Sleep(lead)
	stopped := w.routers[0]
	if s.graceNow != s.graceBefore && w.trouble {
		if err := stopped.writeSettings(s.graceNow); err != nil {
			return false, err
		}
		w.rec.logf("the settings file says grace_s = %d", s.graceNow)
		stopped.signal(w, syscall.SIGHUP)
		time.Sleep(3 * time.Second)
	}
	var connections []*connection
	for range s.clients {
		c, err := dial(stopped.listen)
		if err != nil {
			return false, err
		}
		defer c.Close()
		q := renewal(60)
		if r := c.do(q); r.status != 200 || r.err != nil || c.closed {
			return false, fmt.Errorf("a renewal before the stop got %v", r)
		}
		connections = append(connections, c)
	}
	var all sync.WaitGroup
	all.Go(func() {
		q := call{
			method: "POST", path: dietPlan + "2f", id: newAttempt(), deadline: 15 * time.Second, body: "prompt",
			headers: []string{"Api-Key: " + keyOf(0), "Model: m", fmt.Sprintf("Token-Usage: 1460,%d", longPieces*stride), "Prompt-Prefix: 5c1e07a2:800,91bd3f06:660"},
		}
		w.rec.logf("client sends the stream %s", q.id)
		w.rec.logf("client got for the stream %s: %v", q.id, once(stopped.listen, q))
	})
	time.Sleep(500 * time.Millisecond)
	stop := time.Now()
	if w.trouble {
		stopped.signal(w, syscall.SIGTERM)
		if s.kills {
			time.AfterFunc(time.Duration(s.graceNow)*time.Second, func() { stopped.signal(w, syscall.SIGKILL) })
		}
	}
	var lost atomic.Int64
	for i, c := range connections {
		all.Go(func() {
			at := s.sendAfter + time.Duration(i)*s.sendGap
			time.Sleep(time.Until(stop.Add(at)))
			q := renewal(s.workMs)
			w.rec.logf("client sends %s, %.2f s after the stop began", q.id, time.Since(stop).Seconds())
			r := c.do(q)
			runs := o.runs(q.id)
			w.rec.logf("client got for %s after %.2f s: %v; runs: %d", q.id, r.elapsed.Seconds(), r, runs)
			if r.ended() && runs > 0 && r.elapsed < q.deadline-25*time.Millisecond {
				lost.Add(1)
				w.rec.logf("LOST: %s was passed on and its connection ended without a complete answer", q.id)
			}
		})
	}
	all.Wait()
	w.rec.logf("%d requests were lost", lost.Load())
	return lost.Load() > 0, nil
}

// caseLate: a host that stops takes a request that can't end within its grace time (LOST).
func caseLate(w *world) (bool, error) {
	return stopCase{
		graceBefore: graceS, graceNow: graceS, sendAfter: 4100 * time.Millisecond, sendGap: 100 * time.Millisecond, workMs: 3800, clients: 3, kills: true,
	}.play(w)
}

// caseGrace: the settings name a shorter grace time, and then the host is stopped (LOST).
func caseGrace(w *world) (bool, error) {
	return stopCase{
		graceBefore: graceS, graceNow: 4, sendAfter: 3600 * time.Millisecond, sendGap: 30 * time.Millisecond, workMs: 450, clients: 10, kills: true,
	}.play(w)
}
