// Package logging writes structured lines without ever holding a request up: a
// line that finds the buffer full is dropped and counted.
package logging

import (
	"io"
	"sync/atomic"
	"time"

	log "github.com/sirupsen/logrus"

	"maststage.dev/lib/guard"
)

// Writer passes lines on through a bounded buffer. It implements io.Writer.
type Writer struct {
	lines   chan []byte
	dropped atomic.Uint64
	pending atomic.Int64 // lines taken and not written yet, the one being written included
	done    chan struct{}
}

// NewWriter starts a writer to out that keeps at most buffer lines waiting.
func NewWriter(out io.Writer, buffer int) *Writer {
	w := &Writer{lines: make(chan []byte, max(buffer, 1)), done: make(chan struct{})}
	guard.Go("log writer", func() {
		defer close(w.done)
		for line := range w.lines {
			// There is nowhere to tell of a failure to write.
			_, _ = out.Write(line)
			w.pending.Add(-1)
		}
	})
	return w
}

// Write takes one line; it never blocks.
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

// Dropped counts the lines that found the buffer full.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// flushWait bounds Flush.
const flushWait = 200 * time.Millisecond

// Flush waits a moment until the lines so far are written.
func (w *Writer) Flush() {
	deadline := time.Now().Add(flushWait)
	for w.pending.Load() > 0 && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
}

// Setup makes logrus write to w.
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

// hostHook adds the host's name to each line.
type hostHook string

// Levels are all.
func (hostHook) Levels() []log.Level { return log.AllLevels }

// Fire adds the field.
func (h hostHook) Fire(e *log.Entry) error {
	e.Data["host"] = string(h)
	return nil
}
