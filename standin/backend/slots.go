package backend

import (
	"sync"
	"time"
)

// Slots bounds the requests that a backend runs at a time and those that wait for a place. Others are refused.
type Slots struct {
	OnRefuse func(now time.Time) // called for each refusal; nil: nobody is

	mu      sync.Mutex
	free    int
	queue   int // requests that may wait
	waiting []chan struct{}
	busy    int
	since   time.Time     // of the current number of busy places
	used    time.Duration // time that places were busy, added up
}

// NewSlots returns places for running and waiting requests.
func NewSlots(running, waiting int) *Slots {
	return &Slots{free: running, queue: waiting, since: time.Now()}
}

// SetQueue changes how many requests may wait. Those that wait go on waiting.
func (s *Slots) SetQueue(waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue = waiting
}

// Used returns the time that places have been busy, added up over the places.
func (s *Slots) Used() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.count(0)
	return s.used
}

// count adds up the busy time and changes the number of busy places. The lock is held.
func (s *Slots) count(change int) {
	now := time.Now()
	s.used += time.Duration(s.busy) * now.Sub(s.since)
	s.since = now
	s.busy += change
}

// enter waits for a place and reports whether there is one; leave has to follow.
func (s *Slots) enter() bool {
	if s == nil {
		return true
	}
	s.mu.Lock()
	if s.free > 0 {
		s.free--
		s.count(1)
		s.mu.Unlock()
		return true
	}
	if len(s.waiting) >= s.queue {
		s.mu.Unlock()
		if s.OnRefuse != nil {
			s.OnRefuse(time.Now())
		}
		return false
	}
	turn := make(chan struct{})
	s.waiting = append(s.waiting, turn)
	s.mu.Unlock()
	<-turn
	return true
}

// leave passes the place on, or frees it.
func (s *Slots) leave() {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.waiting) > 0 {
		close(s.waiting[0])
		s.waiting = s.waiting[1:]
		return
	}
	s.free++
	s.count(-1)
}
