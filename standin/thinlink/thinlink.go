// Package thinlink simulates the slow link of a host with a TCP proxy whose
// connections share one rate towards the host. Bytes from the host are not delayed.
package thinlink

import (
	"sync"
	"testing"
	"time"

	"maststage.dev/standin/faultlink"
)

// Link is one host's link.
type Link struct {
	perSecond float64       // bytes
	queue     time.Duration // delay of each byte in addition to its transmission time

	mu   sync.Mutex
	free time.Time // when the bytes scheduled so far have been transmitted
	sent int64     // bytes scheduled so far
}

// New returns a link with the given bandwidth.
func New(bytesPerSecond float64) *Link { return &Link{perSecond: bytesPerSecond} }

// Queued returns a link on which other traffic delays each byte by queue.
func Queued(bytesPerSecond float64, queue time.Duration) *Link {
	return &Link{perSecond: bytesPerSecond, queue: queue}
}

// Sent is the number of bytes sent towards the host so far.
func (l *Link) Sent() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sent
}

// To returns an address that forwards to the given one over the link until the test ends.
func (l *Link) To(t testing.TB, address string) string {
	t.Helper()
	return faultlink.Open(t, faultlink.Options{Listen: "127.0.0.1:0", To: address, Arrive: l.send}).Address()
}

// send schedules bytes behind those sent before and returns when they arrive.
func (l *Link) send(bytes int) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now(); l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(time.Duration(float64(bytes) / l.perSecond * float64(time.Second)))
	l.sent += int64(bytes)
	return l.free.Add(l.queue)
}
