// Package store holds a host's copy of the replicated state and notifies subscribers of its events.
package store

import (
	"maps"
	"sync"

	"maststage.dev/fold"
	"maststage.dev/fold/budget"
	"maststage.dev/fold/fact"
	"maststage.dev/fold/view"
	"maststage.dev/lib/declare"
)

// Sink receives each event in log order, on the goroutine that applies the log. It must
// not block.
type Sink interface{ Event(fold.Event) }

// Store is the replicated state, safe for concurrent use.
type Store struct {
	mu    sync.RWMutex
	state *fold.State
	sinks []Sink
	past  []pastView // oldest first

	notify chan struct{} // closed and replaced at each change
}

// New returns a store to which no record has been applied.
func New() *Store {
	return &Store{state: fold.New(), notify: make(chan struct{})}
}

// Subscribe adds a sink for the events of later entries.
func (s *Store) Subscribe(sink Sink) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sinks = append(s.sinks, sink)
}

// Unsubscribe removes a sink; events being delivered may still reach it.
func (s *Store) Unsubscribe(sink Sink) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var kept []Sink
	for _, k := range s.sinks {
		if k != sink {
			kept = append(kept, k)
		}
	}
	s.sinks = kept
}

// Apply applies a log entry and passes its events to the sinks.
func (s *Store) Apply(offset uint64, data []byte) {
	s.mu.Lock()
	before := s.state.View
	events := s.state.Apply(offset, data)
	s.rememberView(before)
	sinks := s.sinks
	close(s.notify)
	s.notify = make(chan struct{})
	s.mu.Unlock()
	for _, e := range events {
		for _, k := range sinks {
			k.Event(e)
		}
	}
}

// Replace installs a copied state and reports whether it is newer than the current one. Sinks get no events.
func (s *Store) Replace(state *fold.State) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state.Offset <= s.state.Offset {
		return false
	}
	before := s.state.View
	s.state = state
	s.rememberView(before)
	close(s.notify)
	s.notify = make(chan struct{})
	return true
}

// Changed returns a channel that is closed at the next change.
func (s *Store) Changed() <-chan struct{} {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.notify
}

// Encode encodes the state for a snapshot or another host.
func (s *Store) Encode() ([]byte, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.state.Encode()
}

// Offset returns the offset of the last applied entry and that of the last snapshot.
func (s *Store) Offset() (offset, snap uint64) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.state.Offset, s.state.Snap
}

// Epoch returns the number of the view.
func (s *Store) Epoch() uint64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.state.View.Epoch
}

// Members returns the members of the view. The slice is shared and must not be modified.
func (s *Store) Members() []view.Member {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.state.View.Members
}

// Member returns the member of the view with the given incarnation.
func (s *Store) Member(inc string) (view.Member, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.state.View.Member(inc)
}

// Replicas returns the replicas of an id, the epoch of the view, and whether they know all
// claims that were held on it.
func (s *Store) Replicas(id, region string) (ms []view.Member, epoch uint64, settled bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	v := &s.state.View
	return v.Replicas(id, region), v.Epoch, v.Settled(id, region)
}

// Fact returns what the log records of an id.
func (s *Store) Fact(id string) (fact.Fact, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.state.Facts.Get(id)
}

// Config returns the configuration in force.
func (s *Store) Config() (version uint64, set *declare.Set) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.state.Config.Version, s.state.Config.Set
}

// ConfigText returns the declarations in force as published.
func (s *Store) ConfigText() (version uint64, text string) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.state.Config.Version, s.state.Config.Text
}

// Left returns what a budget can still grant; ok is false if there is no such budget.
func (s *Store) Left(name string) (left int64, ok bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	a := s.state.Budgets[name]
	if a == nil {
		return 0, false
	}
	return a.Left(), true
}

// Sharers returns the number of hosts that may draw on a budget: the members of the view.
func (s *Store) Sharers() int { return len(s.Members()) }

// Total returns the size of a budget; ok is false if there is no such budget.
func (s *Store) Total(name string) (total uint64, ok bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	a := s.state.Budgets[name]
	if a == nil {
		return 0, false
	}
	return a.Total, true
}

// Budgets returns a deep copy of the accounts.
func (s *Store) Budgets() map[string]budget.Account {
	s.mu.RLock()
	defer s.mu.RUnlock()
	all := make(map[string]budget.Account, len(s.state.Budgets))
	for name, a := range s.state.Budgets {
		c := *a
		c.Held = maps.Clone(a.Held)
		c.Stranded = maps.Clone(a.Stranded)
		all[name] = c
	}
	return all
}
