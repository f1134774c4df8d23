// Package logging writes a process's structured log without ever blocking what
// is logged: lines go through a bounded buffer to one writer, each kind of line
// has a budget a second, and what is dropped is counted and told.
package logging

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"baobabladder.example/baobabladder/internal/base/clock"
)

// bufferedLines is how many lines wait for a slow reader at most.
const bufferedLines = 4096

// Writer passes lines on to another writer in the background. A line that finds
// the buffer full is dropped and counted. Make it with NewWriter.
type Writer struct {
	lines   chan []byte
	done    chan struct{}
	dropped atomic.Int64
}

// NewWriter returns a Writer that writes to out until Close.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{lines: make(chan []byte, bufferedLines), done: make(chan struct{})}
	go func() {
		defer close(w.done)
		for line := range w.lines {
			// An error here has no log to go to.
			_, _ = out.Write(line)
		}
	}()
	return w
}

// Write implements io.Writer. It never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// TakeDropped returns how many lines were dropped since the last call.
func (w *Writer) TakeDropped() int64 { return w.dropped.Swap(0) }

// Close writes what waits, for at most the given time. No Write may follow.
func (w *Writer) Close(wait clock.Millis) {
	close(w.lines)
	timer := time.NewTimer(wait.Duration())
	defer timer.Stop()
	select {
	case <-w.done:
	case <-timer.C:
	}
}

// New returns a logger of JSON lines with times of a millisecond's resolution.
func New(out io.Writer, level logrus.Level) *logrus.Logger {
	log := logrus.New()
	log.SetOutput(out)
	log.SetFormatter(formatter{})
	log.SetLevel(level)
	return log
}
