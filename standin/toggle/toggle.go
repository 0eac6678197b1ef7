// Package toggle holds the switches of a stand-in, set over HTTP with
// /switch?NAME=NUMBER.
package toggle

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
)

// Set is the switches of one stand-in, all 0 at first.
type Set struct {
	mu     sync.Mutex
	values map[string]int
}

// New makes switches with these names.
func New(names ...string) *Set {
	s := &Set{values: map[string]int{}}
	for _, n := range names {
		s.values[n] = 0
	}
	return s
}

// Get reads a switch.
func (s *Set) Get(name string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.values[name]
}

// Take counts a switch down and says whether it was above 0.
func (s *Set) Take(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.values[name] <= 0 {
		return false
	}
	s.values[name]--
	return true
}

// ServeHTTP sets the switches that the query names.
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
