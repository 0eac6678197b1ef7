// Package until lets tests wait for conditions that other goroutines bring about.
package until

import (
	"testing"
	"time"
)

// Poll interval and timeout.
const (
	pause = 5 * time.Millisecond
	limit = 10 * time.Second
)

// True polls until ok returns true, and fails the test if it doesn't within limit.
func True(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(pause) {
		if ok() {
			return
		}
	}
	t.Fatalf("condition not met within %v: %s", limit, what)
}
