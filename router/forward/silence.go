package forward

import (
	"sync"
	"time"

	"maststage.dev/router/httpconn"
	"maststage.dev/router/routing"
)

// A target is abandoned for another one when it is silent for a multiple of the route's
// latency objective, or of its gap objective once a stream has begun, but not before the minimum.
const (
	streamSilenceFactor   = 2.0
	responseSilenceFactor = 2.5
	gapSilenceFactor      = 3.0
	minSilence            = 300 * time.Millisecond
	minGapSilence         = 800 * time.Millisecond
	defaultLatencyMs      = 1000
)

// firstByteTimeout returns how long a target may take to begin its response.
func (q *request) firstByteTimeout() time.Duration {
	objectiveMs := q.route.TargetLatencyMs
	if objectiveMs <= 0 {
		objectiveMs = defaultLatencyMs
	}
	factor := responseSilenceFactor
	if q.route.Kind == routing.Streaming {
		factor = streamSilenceFactor
	}
	return max(routing.Milliseconds(objectiveMs*factor), minSilence)
}

// silenceTimeout returns how long a target may be silent; ok is false if the stream has
// begun and the route has no gap objective.
func (q *request) silenceTimeout() (d time.Duration, ok bool) {
	if q.stream == nil || !q.headSent {
		return q.firstByteTimeout(), true
	}
	if q.route.GapTargetMs <= 0 {
		return 0, false
	}
	return max(routing.Milliseconds(q.route.GapTargetMs*gapSilenceFactor), minGapSilence), true
}

// silenceTimer aborts the connection to a silent target, but only if the request may then
// go to another one: silence alone ends no response.
type silenceTimer struct {
	request *request
	conn    *httpconn.Conn
	claim   func() bool // claims a retry, see request.claimRetry
	timer   *time.Timer
	// judge reports whether the target's service is out of reach; early calls it when a response on a connection of this
	// host's own has not begun for Registry.LinkSilence. Both are nil on other connections.
	judge func() bool
	early *time.Timer
	// outOfReach reports whether this host's own links to the service fail, and the connection uses them; nil: they don't.
	outOfReach func() bool

	mu        sync.Mutex
	startedAt time.Time     // of the current timeout
	timeout   time.Duration // current timeout
	stalled   bool          // this host stalled, so the timeout was extended once
	paused    bool          // the caller has not read what arrived
	left      time.Duration // of the timeout as the timer was paused
	stopped   bool
	aborted   bool
}

func (q *request) startSilenceTimer(a *attempt) *silenceTimer {
	s := &silenceTimer{request: q, conn: a.conn, startedAt: time.Now(), timeout: q.firstByteTimeout()}
	s.claim = func() bool { return q.claimRetry(a.target.ID) }
	s.outOfReach = a.path.Cut
	s.timer = time.AfterFunc(s.timeout, s.expire)
	if a.path != nil {
		targets := q.handler.opts.Targets
		limit := targets.LinkSilence(a.target)
		s.judge = func() bool { return targets.JudgeSilence(a.target, limit) }
		s.early = time.AfterFunc(limit, s.judgeEarly)
	}
	return s
}

// judgeEarly abandons the target early if its service is out of reach.
func (s *silenceTimer) judgeEarly() {
	if s.judge() {
		s.expire()
	}
}

// minStall is the delay of the timer from which this host counts as stalled: it may then not have
// read the target's response yet. Timers of a busy host are not as late.
const minStall = 250 * time.Millisecond

// expire abandons the target if another one may be attempted.
func (s *silenceTimer) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.aborted {
		return
	}
	now := time.Now()
	if late := now.Sub(s.startedAt) - s.timeout; !s.stopped && !s.paused && !s.stalled && late > minStall {
		s.stalled, s.startedAt = true, now
		s.timer.Reset(s.timeout)
		return
	}
	if s.stopped || s.paused {
		return
	}
	if s.claim() {
		s.aborted = true
		s.conn.Abort()
		return
	}
	if s.outOfReach != nil && s.outOfReach() {
		// Nothing more will arrive here, and a retry may be granted later.
		s.startedAt = now
		s.timer.Reset(s.timeout)
	}
}

// claimRetry claims a retry as the timer does when it expires.
func (s *silenceTimer) claimRetry() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.claim()
}

// pause stops the timer until restart or resume.
func (s *silenceTimer) pause() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.paused = true
	s.left = max(s.timeout-time.Since(s.startedAt), 0)
	s.timer.Stop()
}

// resume lets a paused timer run on, if a timeout still applies.
func (s *silenceTimer) resume() {
	if _, ok := s.request.silenceTimeout(); !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.startedAt, s.timeout, s.paused = time.Now(), s.left, false
	s.timer.Reset(s.left)
}

// restart restarts the timer with the timeout that now applies.
func (s *silenceTimer) restart() {
	d, ok := s.request.silenceTimeout()
	if !ok {
		s.timer.Stop()
		return
	}
	s.mu.Lock()
	s.startedAt, s.timeout, s.stalled, s.paused = time.Now(), d, false, false
	s.stopEarly()
	s.mu.Unlock()
	s.timer.Reset(d)
}

// stop stops the timer for good.
func (s *silenceTimer) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	s.timer.Stop()
	s.stopEarly()
}

// stopEarly stops the early judgement: something has arrived. The lock is held.
func (s *silenceTimer) stopEarly() {
	if s.early != nil {
		s.early.Stop()
	}
}

// result returns silent if the timer aborted the connection, else res.
func (s *silenceTimer) result(res result) result {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.aborted {
		return silent
	}
	return res
}
