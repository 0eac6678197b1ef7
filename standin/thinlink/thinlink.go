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
	arriving := make(chan arrival, maxQueued)
	go l.read(other, arriving)
	for a := range arriving {
		time.Sleep(time.Until(a.at))
		if _, err := host.Write(a.data); err != nil {
			break
		}
	}
	// The reader ends with its connection; what it still sends is dropped.
	_ = other.Close()
	for range arriving {
	}
}

// maxQueued is how many chunks of a connection may be on their way, 256 KB.
const maxQueued = 64

// arrival is bytes on their way.
type arrival struct {
	data []byte
	at   time.Time
}

// read puts what the other side sends on the link.
func (l *Link) read(other net.Conn, arriving chan<- arrival) {
	defer close(arriving)
	for {
		data := make([]byte, chunk)
		n, err := other.Read(data)
		if err != nil {
			return
		}
		arriving <- arrival{data: data[:n], at: l.send(n)}
	}
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
