package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of the model runners: those of the sheet of kpn-maststage.
const (
	stepTime           = 3790 * time.Microsecond
	firstTime          = 13 * time.Millisecond
	promptTokensPerMs  = 56.6
	modelRunners       = 5
	losingRunners      = 3 // of the runners lose answers: 0.6
	loseOf, loseWithin = 2, 5
	losingTime         = 4 * time.Second
)

// engines are the stand-ins of model runners, and the tokens that they handed out.
type engines struct {
	w      *world
	tokens atomic.Int64 // of prompts that were read, once for each request, and handed out
	runs   atomic.Int64
	losing atomic.Bool // some answers are lost

	mu      sync.Mutex
	counted map[string]bool // requests whose prompts were counted
}

func startEngines(w *world) (*engines, error) {
	s := &engines{w: w, counted: map[string]bool{}}
	for i := range modelRunners {
		id := fmt.Sprintf("i-7f3a91c%d", i)
		var arrivals atomic.Int64
		r, err := startRunner(loopback+":0", id, func(e *exchange) bool {
			lose := s.losing.Load() && i < losingRunners && arrivals.Add(1)%loseWithin < loseOf
			return s.run(e, lose)
		})
		if err != nil {
			return nil, err
		}
		w.closers = append(w.closers, r.close)
		w.list(id, func() *entry {
			return &entry{Service: modelService, Address: r.address(), Zone: "colombo-a", Version: "v1", Slots: 64, State: "ready"}
		})
	}
	return s, nil
}

// run runs a stream. Its answer is lost, that is, the connection is reset once the run has ended, if lose is set.
func (s *engines) run(e *exchange, lose bool) bool {
	in, out := tokenUsage(e.request.Header)
	if in > kvTokens || out > kvTokens || in+out > kvTokens {
		s.w.rec.logf("runner %s rejects %s: %d,%d tokens are more than its memory", e.runner.id, e.id, in, out)
		return e.answer("503 Service Unavailable", []string{"Not-Executed: 1"}, "") == nil
	}
	read := firstTime + time.Duration(float64(in)/promptTokensPerMs*float64(time.Millisecond))
	if !lose && e.beginStream(true) != nil || !e.sleep(read) {
		return false
	}
	s.mu.Lock()
	if !s.counted[e.id] {
		s.counted[e.id] = true
		s.tokens.Add(in)
	}
	s.mu.Unlock()
	s.runs.Add(1)
	s.w.rec.logf("runner %s runs %s: %d tokens in, %d out at most", e.runner.id, e.id, in, out)
	events := int(out+stride-1) / stride
	for piece := 1; piece <= events; piece++ {
		if !e.sleep(stride * stepTime) {
			s.w.rec.logf("runner %s: the caller of %s is gone after %d events", e.runner.id, e.id, piece-1)
			return false
		}
		s.tokens.Add(min(stride, out-int64(piece-1)*stride))
		if !lose && e.event(piece, true) != nil {
			return false
		}
	}
	if lose {
		s.w.rec.logf("runner %s ran %s, and its answer is lost", e.runner.id, e.id)
		resetConn(e.conn)
		return false
	}
	return e.endChunks() == nil
}

// stream returns the call of a stream of a tenant.
func stream(tenant int, path string, in, out int64, parts string) call {
	return call{
		method: "POST", path: path + "2f", id: newAttempt(), deadline: 15 * time.Second, body: "prompt",
		headers: []string{"Api-Key: " + keyOf(tenant), "Model: m", fmt.Sprintf("Token-Usage: %d,%d", in, out), "Prompt-Prefix: " + parts},
	}
}

// served sends a call until it is not refused, each time as an attempt of its own.
func (w *world) served(to *router, q call) (r reply) {
	for range 50 {
		q.id = newAttempt()
		r = once(to.listen, q)
		w.rec.logf("client sent %s to %s and got %v", q.id, to.name, r)
		if r.status != 503 {
			return r
		}
		time.Sleep(200 * time.Millisecond)
	}
	return r
}

// refusalsToEnd is how many refusals in a row end a client.
const refusalsToEnd = 12

// drain has clients send requests until the budget is used up: each client stops after some refusals in a row.
func (w *world) drain(clients int, most time.Duration, next func(n int64) call) {
	var all sync.WaitGroup
	var sent, served, refused atomic.Int64
	until := time.Now().Add(most)
	for i := range clients {
		all.Go(func() {
			for inRow := 0; inRow < refusalsToEnd && time.Now().Before(until); {
				q := next(sent.Add(1))
				r := once(w.routers[i%len(w.routers)].listen, q)
				w.rec.logf("client sent %s to %s and got %v", q.id, w.routers[i%len(w.routers)].name, r)
				switch {
				case r.status == 200 && r.err == nil:
					served.Add(1)
					inRow = 0
				case r.status == 503 || r.status == 402 || r.status == 429:
					refused.Add(1)
					inRow++
					time.Sleep(200 * time.Millisecond)
				default:
					inRow = 0
				}
			}
		})
	}
	all.Wait()
	w.rec.logf("sent %d, served %d, refused %d", sent.Load(), served.Load(), refused.Load())
}

// checkBudget reports whether the runners handed out more than the tenant's budget.
func (s *engines) checkBudget(prepaid int64) bool {
	total := s.tokens.Load()
	s.w.rec.logf("tokens in and handed out: %d in %d runs; Prepaid: %d", total, s.runs.Load(), prepaid)
	fmt.Printf("tokens in and handed out: %d; Prepaid: %d\n", total, prepaid)
	return total > prepaid
}

// caseUsage: a client names a number of tokens that no runner has room for (BUDGET).
func caseUsage(w *world) (bool, error) {
	const prepaid = 150_000
	s, err := startEngines(w)
	if err != nil {
		return false, err
	}
	w.putConfig(1, prepaid)
	if err := w.startRouters(2); err != nil {
		return false, err
	}
	time.Sleep(lead)
	next := func(n int64) call { return stream(0, ownerChat, 826, 30, fmt.Sprintf("5c1e07a2:198,%x:628", n)) }
	for n := range int64(4) {
		if r := w.served(w.routers[n%2], next(n)); r.status != 200 || r.err != nil {
			return false, fmt.Errorf("a first request got %v", r)
		}
	}
	if w.trouble {
		// Each number fits into 64 bits, their sum does not.
		q := stream(0, ownerChat, 9223372036854775807, 9223372036844775809, "5c1e07a2:198,ffff:628")
		w.rec.logf("client sent %s with %s and got %v", q.id, q.headers[2], once(w.routers[0].listen, q))
	}
	w.drain(8, 40*time.Second, next)
	return s.checkBudget(prepaid), nil
}

// Figures of the case "pace".
const (
	longIn, longOut   = 11992, 60 // the mean prompt of a diet plan, 12 events
	shortIn, shortOut = 826, 15   // the mean prompt of a chat, 3 events
	longStreams       = 24        // at each host
	paceHosts         = 2
	chatParts         = 8 // different shared parts of the chats' prompts
)

// casePace: answers of short streams are lost at a service whose other streams have long prompts (BUDGET).
func casePace(w *world) (bool, error) {
	const prepaid = paceHosts*longStreams*(longIn+longOut) + 1200*(shortIn+shortOut)
	s, err := startEngines(w)
	if err != nil {
		return false, err
	}
	w.putConfig(1, prepaid)
	if err := w.startRouters(paceHosts); err != nil {
		return false, err
	}
	time.Sleep(lead)
	var all sync.WaitGroup
	var failed atomic.Int64
	for _, to := range w.routers {
		all.Go(func() {
			for n := range longStreams {
				q := stream(0, dietPlan, longIn, longOut, fmt.Sprintf("91bd3f06:5382,%x:6610", n+1))
				if r := w.served(to, q); r.status != 200 || r.err != nil {
					failed.Add(1)
				}
			}
		})
	}
	all.Wait()
	if failed.Load() > 0 {
		return false, fmt.Errorf("%d diet plans failed", failed.Load())
	}
	if w.trouble {
		s.losing.Store(true)
		time.AfterFunc(losingTime, func() { s.losing.Store(false) })
	}
	w.drain(12, 60*time.Second, func(n int64) call {
		return stream(0, ownerChat, shortIn, shortOut, fmt.Sprintf("%x:198,%x:628", 0x5c1e07a0+n%chatParts, 0x10000+n))
	})
	return s.checkBudget(prepaid), nil
}
