// Package thinlink stands in for the slow link of a host: a TCP proxy all of whose
// connections share one rate towards the host. What the host sends is not held up.
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
	queue     time.Duration // that bytes wait in beside their time on the link

	mu   sync.Mutex
	free time.Time // when the bytes that were granted so far have crossed
	sent int64     // bytes so far
}

// New makes a link that carries so many bytes a second.
func New(bytesPerSecond float64) *Link { return &Link{perSecond: bytesPerSecond} }

// Queued makes a link on which other traffic holds each byte up for so long.
func Queued(bytesPerSecond float64, queue time.Duration) *Link {
	return &Link{perSecond: bytesPerSecond, queue: queue}
}

// Sent counts the bytes that crossed the link so far.
func (l *Link) Sent() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sent
}

// To gives an address at which another one is reached over the link, until the test ends.
func (l *Link) To(t testing.TB, address string) string {
	t.Helper()
	return faultlink.Open(t, faultlink.Options{Listen: "127.0.0.1:0", To: address, Arrive: l.send}).Address()
}

// send counts bytes and says when they arrive, behind those before them.
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
