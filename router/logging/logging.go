// Package logging writes structured log lines without blocking requests: when the buffer is full,
// lines are dropped and counted.
package logging

import (
	"io"
	"sync/atomic"
	"time"

	log "github.com/sirupsen/logrus"

	"maststage.dev/lib/guard"
)

// Writer writes lines asynchronously through a bounded buffer. It implements io.Writer.
type Writer struct {
	lines   chan []byte
	dropped atomic.Uint64
	pending atomic.Int64 // lines accepted but not yet written, including the one being written
	done    chan struct{}
}

// NewWriter starts a Writer to out that buffers up to the given number of lines, at least one.
func NewWriter(out io.Writer, buffer int) *Writer {
	w := &Writer{lines: make(chan []byte, max(buffer, 1)), done: make(chan struct{})}
	guard.Go("log writer", func() {
		defer close(w.done)
		for line := range w.lines {
			// There is no other place to report a write error to.
			_, _ = out.Write(line)
			w.pending.Add(-1)
		}
	})
	return w
}

// Write queues a copy of one line. It never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.pending.Add(1)
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.pending.Add(-1)
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped because the buffer was full.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

const flushTimeout = 200 * time.Millisecond

// Flush waits until the lines accepted so far are written, for flushTimeout at most.
func (w *Writer) Flush() {
	deadline := time.Now().Add(flushTimeout)
	for w.pending.Load() > 0 && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
}

// Setup makes logrus write to w at the given level, with the name of the host in each line.
func Setup(w *Writer, level, host string) error {
	parsed, err := log.ParseLevel(level)
	if err != nil {
		return err
	}
	log.SetLevel(parsed)
	log.SetOutput(w)
	log.SetFormatter(&log.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: "15:04:05.000"})
	log.AddHook(hostHook(host))
	return nil
}

// hostHook adds the field host to each line.
type hostHook string

// Levels implements log.Hook.
func (hostHook) Levels() []log.Level { return log.AllLevels }

// Fire implements log.Hook.
func (h hostHook) Fire(e *log.Entry) error {
	e.Data["host"] = string(h)
	return nil
}
