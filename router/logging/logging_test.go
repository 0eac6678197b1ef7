package logging

import (
	"bytes"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// blockedWriter is a writer that blocks until release is closed.
type blockedWriter struct {
	mu      sync.Mutex
	text    bytes.Buffer
	release chan struct{}
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(p)
}

func TestWriterNeverBlocks(t *testing.T) {
	is := is.New(t)
	out := &blockedWriter{release: make(chan struct{})}
	w := NewWriter(out, 10)
	for range 100 {
		_, err := w.Write([]byte("line\n"))
		is.NoErr(err)
	}
	is.True(w.Dropped() >= 89) // ten are buffered, one may be in the blocked write
	is.True(w.Dropped() <= 90)
	close(out.release)
	w.Flush()
	time.Sleep(10 * time.Millisecond)
	out.mu.Lock()
	defer out.mu.Unlock()
	is.Equal(out.text.Len(), int(100-w.Dropped())*len("line\n"))
}

// Flush must also wait for the line that is being written: the last line before the process exits
// gives the reason for the exit.
func TestFlushWaitsForTheLineBeingWritten(t *testing.T) {
	is := is.New(t)
	out := &blockedWriter{release: make(chan struct{})}
	w := NewWriter(out, 10)
	_, err := w.Write([]byte("the reason\n"))
	is.NoErr(err)
	for len(w.lines) > 0 {
		time.Sleep(time.Millisecond) // until the writer has taken the line
	}
	time.AfterFunc(20*time.Millisecond, func() { close(out.release) })
	w.Flush()
	out.mu.Lock()
	defer out.mu.Unlock()
	is.Equal(out.text.String(), "the reason\n")
}

func TestLimiterReportsSkippedLines(t *testing.T) {
	is := is.New(t)
	l := NewLimiter(10)
	now := time.Unix(1, 0)
	allowed := 0
	for range 100 {
		if ok, _ := l.Allow(now); ok {
			allowed++
		}
	}
	is.Equal(allowed, 10)
	ok, skipped := l.Allow(now.Add(time.Second))
	is.True(ok)
	is.Equal(skipped, uint64(90))
	_, skipped = l.Allow(now.Add(2 * time.Second))
	is.Equal(skipped, uint64(0))
}
