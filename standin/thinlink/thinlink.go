// Package thinlink stands in for the slow link of a host: a TCP proxy all of whose
// connections share one rate towards the host. What the host sends is not held up.
package thinlink

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"
)

// chunk is how many bytes cross the link at a time: small, so that connections share it
// evenly.
const chunk = 4 << 10

// Link is one host's link.
type Link struct {
	perSecond float64 // bytes

	mu   sync.Mutex
	free time.Time // when the bytes that were granted so far have crossed
	sent int64     // bytes so far
}

// New makes a link that carries so many bytes a second.
func New(bytesPerSecond float64) *Link { return &Link{perSecond: bytesPerSecond} }

// Sent counts the bytes that crossed the link so far.
func (l *Link) Sent() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sent
}

// To gives an address at which another one is reached over the link, until the test ends.
func (l *Link) To(t testing.TB, address string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go l.carry(conn, address)
		}
	}()
	return listener.Addr().String()
}

// carry joins a connection of the host with one to the other side.
func (l *Link) carry(host net.Conn, address string) {
	defer host.Close()
	other, err := net.Dial("tcp", address)
	if err != nil {
		return
	}
	defer other.Close()
	go func() {
		_, _ = io.Copy(other, host)
		_ = other.Close()
	}()
	buffer := make([]byte, chunk)
	for {
		n, err := other.Read(buffer)
		l.wait(n)
		if _, failed := host.Write(buffer[:n]); err != nil || failed != nil {
			return
		}
	}
}

// wait holds bytes until they have crossed the link behind those before them.
func (l *Link) wait(bytes int) {
	l.mu.Lock()
	now := time.Now()
	if l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(time.Duration(float64(bytes) / l.perSecond * float64(time.Second)))
	l.sent += int64(bytes)
	pause := l.free.Sub(now)
	l.mu.Unlock()
	time.Sleep(pause)
}
