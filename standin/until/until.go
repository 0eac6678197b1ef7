// Package until waits in tests for what happens on other goroutines.
package until

import (
	"testing"
	"time"
)

// Limits of a wait.
const (
	pause = 5 * time.Millisecond
	limit = 10 * time.Second
)

// True waits until a condition holds and fails the test if it does not in time.
func True(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(pause) {
		if ok() {
			return
		}
	}
	t.Fatalf("not so after %v: %s", limit, what)
}
