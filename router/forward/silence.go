package forward

import (
	"sync"
	"time"

	"maststage.dev/router/httpconn"
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
	conn    *httpconn.Conn
	claim   func() bool // asks for another try
	timer   *time.Timer

	mu      sync.Mutex
	began   time.Time     // when the time that runs began
	span    time.Duration // and how long it is
	stood   bool          // this host stood still once meanwhile
	paused  bool          // the caller has yet to take what came
	stopped bool
	gaveUp  bool
}

func (q *request) watchSilence(conn *httpconn.Conn, target string) *silence {
	s := &silence{request: q, conn: conn, began: time.Now(), span: q.beginPatience()}
	s.claim = func() bool { return q.claimTry(target) }
	s.timer = time.AfterFunc(s.span, s.over)
	return s
}

// stoodStill is how much later than due the time is over where this host stood still, and may have
// the target's answer unread: no busy host's timers are as late.
const stoodStill = 250 * time.Millisecond

// over gives the target up if another may be tried.
func (s *silence) over() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if late := now.Sub(s.began) - s.span; !s.stopped && !s.paused && !s.stood && late > stoodStill {
		s.stood, s.began = true, now
		s.timer.Reset(s.span)
		return
	}
	if !s.stopped && !s.paused && s.claim() {
		s.gaveUp = true
		s.conn.Abort()
	}
}

// pause stops the time until the target is heard again.
func (s *silence) pause() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.paused = true
	s.timer.Stop()
}

// heard starts the time anew.
func (s *silence) heard() {
	d, ok := s.request.gapPatience()
	if !ok {
		s.timer.Stop()
		return
	}
	s.mu.Lock()
	s.began, s.span, s.stood, s.paused = time.Now(), d, false, false
	s.mu.Unlock()
	s.timer.Reset(d)
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
