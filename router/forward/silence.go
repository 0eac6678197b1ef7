package forward

import (
	"sync"
	"time"

	"maststage.dev/router/exchange"
	"maststage.dev/router/routing"
)

// Factors of the route's objective after which a silent target is given up for
// another.
const (
	silentStream  = 2.0
	silentAnswer  = 2.5
	silentGap     = 3.0 // of the objective for gaps
	leastSilence  = 300 * time.Millisecond
	leastGap      = 800 * time.Millisecond
	fallbackAimMs = 1000
)

// beginPatience is how long a target may take to begin its answer.
func (q *request) beginPatience() time.Duration {
	aim := q.route.TargetLatencyMs
	if aim <= 0 {
		aim = fallbackAimMs
	}
	factor := silentAnswer
	if q.route.Kind == routing.Streaming {
		factor = silentStream
	}
	return max(routing.Milliseconds(aim*factor), leastSilence)
}

// gapPatience is how long a stream may say nothing; ok is false if the route has no
// objective for gaps.
func (q *request) gapPatience() (d time.Duration, ok bool) {
	if q.stream == nil || !q.stream.begun {
		return q.beginPatience(), true
	}
	if q.route.GapTargetMs <= 0 {
		return 0, false
	}
	return max(routing.Milliseconds(q.route.GapTargetMs*silentGap), leastGap), true
}

// silence watches a target that may say nothing. When its time is over, the target
// is given up, but only if the request may then go to another one: silence alone
// ends no answer.
type silence struct {
	request *request
	conn    *exchange.Conn
	target  string
	timer   *time.Timer

	mu      sync.Mutex
	stopped bool
	gaveUp  bool
}

func (q *request) watchSilence(conn *exchange.Conn, target string) *silence {
	s := &silence{request: q, conn: conn, target: target}
	s.timer = time.AfterFunc(q.beginPatience(), s.over)
	return s
}

// over gives the target up if another may be tried.
func (s *silence) over() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.stopped && s.request.claimTry(s.target) {
		s.gaveUp = true
		s.conn.Abort()
	}
}

// heard starts the time anew.
func (s *silence) heard() {
	if d, ok := s.request.gapPatience(); ok {
		s.timer.Reset(d)
	} else {
		s.timer.Stop()
	}
}

// stop ends the watch.
func (s *silence) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	s.timer.Stop()
}

// result turns a failure into silence if the target was given up.
func (s *silence) result(res result) result {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.gaveUp {
		return silent
	}
	return res
}
