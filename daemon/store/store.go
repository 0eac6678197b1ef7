// Package store holds the fold on a host and tells those concerned of events.
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

// Sink is told of each event in log order, on the goroutine that applies the
// log; it must not block.
type Sink interface{ Event(fold.Event) }

// Store is the fold, safe for concurrent use.
type Store struct {
	mu    sync.RWMutex
	state *fold.State
	sinks []Sink
	past  []pastView // oldest first

	notify chan struct{} // closed and replaced at each change
}

// New makes a store before the first record.
func New() *Store {
	return &Store{state: fold.New(), notify: make(chan struct{})}
}

// Subscribe adds a sink.
func (s *Store) Subscribe(sink Sink) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sinks = append(s.sinks, sink)
}

// Unsubscribe takes a sink out.
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

// Apply folds in an entry and tells the sinks.
func (s *Store) Apply(offset uint64, data []byte) {
	s.mu.Lock()
	before := s.state.View
	events := s.state.Apply(offset, data)
	s.remember(before)
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

// Replace takes over a copied state unless it is older than the present one.
func (s *Store) Replace(state *fold.State) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state.Offset <= s.state.Offset {
		return false
	}
	before := s.state.View
	s.state = state
	s.remember(before)
	close(s.notify)
	s.notify = make(chan struct{})
	return true
}

// Changed gives a channel that is closed at the next change.
func (s *Store) Changed() <-chan struct{} {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.notify
}

// Encode copies the state for another host.
func (s *Store) Encode() ([]byte, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.state.Encode()
}

// Offset is the last one applied; snap that of the last snapshot.
func (s *Store) Offset() (offset, snap uint64) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.state.Offset, s.state.Snap
}

// Epoch is the number of the view.
func (s *Store) Epoch() uint64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.state.View.Epoch
}

// Members lists the view; the slice is shared and must not be changed.
func (s *Store) Members() []view.Member {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.state.View.Members
}

// Member finds a member of the view.
func (s *Store) Member(inc string) (view.Member, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.state.View.Member(inc)
}

// Replicas says who answers for an id, in which epoch, and whether they know
// all that was held of it.
func (s *Store) Replicas(id, region string) (ms []view.Member, epoch uint64, settled bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	v := &s.state.View
	return v.Replicas(id, region), v.Epoch, v.Settled(id, region)
}

// Fact gives what the log says of an id.
func (s *Store) Fact(id string) (fact.Fact, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.state.Facts.Get(id)
}

// Config gives the configuration in force.
func (s *Store) Config() (version uint64, set *declare.Set) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.state.Config.Version, s.state.Config.Set
}

// ConfigText gives the declarations in force as published.
func (s *Store) ConfigText() (version uint64, text string) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.state.Config.Version, s.state.Config.Text
}

// Left is what a budget can still grant, and whether there is such a budget.
func (s *Store) Left(name string) (left int64, ok bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	a := s.state.Budgets[name]
	if a == nil {
		return 0, false
	}
	return a.Left(), true
}

// Sharers is how many hosts may draw on a budget: the members of the view.
func (s *Store) Sharers() int { return len(s.Members()) }

// Total is a whole budget, and whether there is such a one.
func (s *Store) Total(name string) (total uint64, ok bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	a := s.state.Budgets[name]
	if a == nil {
		return 0, false
	}
	return a.Total, true
}

// Budgets copies the accounts.
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
