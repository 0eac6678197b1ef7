// Package toggle holds the named switches of a stand-in, which are set over HTTP by
// /switch?NAME=NUMBER.
package toggle

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
)

// Set holds the switches of one stand-in, initially all 0.
type Set struct {
	mu     sync.Mutex
	values map[string]int
}

// New returns a set of switches with these names.
func New(names ...string) *Set {
	s := &Set{values: map[string]int{}}
	for _, n := range names {
		s.values[n] = 0
	}
	return s
}

// Get returns the value of a switch.
func (s *Set) Get(name string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.values[name]
}

// Take decrements a switch that is above 0 and reports whether it was.
func (s *Set) Take(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.values[name] <= 0 {
		return false
	}
	s.values[name]--
	return true
}

// ServeHTTP sets the switches named in the query.
func (s *Set) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, values := range r.URL.Query() {
		if _, ok := s.values[name]; !ok {
			http.Error(w, fmt.Sprintf("no switch %q", name), http.StatusBadRequest)
			return
		}
		n, err := strconv.Atoi(values[0])
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.values[name] = n
	}
}
