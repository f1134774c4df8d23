// Package logging writes a process's structured log without blocking the code
// that logs. Lines pass through a bounded buffer to a single writer, and lines
// about requests are rate-limited by kind. Dropped lines are counted and
// reported.
package logging

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"baobabladder.example/baobabladder/internal/base/clock"
)

// bufferedLines is the capacity of the buffer between loggers and a slow
// output, in lines.
const bufferedLines = 4096

// Writer forwards lines to another writer in the background. It drops and
// counts lines while its buffer is full. Create it with NewWriter.
type Writer struct {
	lines chan []byte
	// closing is closed when Close begins, done when the buffered lines are written.
	closing, done chan struct{}
	dropped       atomic.Int64
}

// NewWriter returns a Writer that writes to out until Close is called.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{lines: make(chan []byte, bufferedLines), closing: make(chan struct{}), done: make(chan struct{})}
	go w.run(out)
	return w
}

// run writes lines until Close is called, and then those that are buffered.
func (w *Writer) run(out io.Writer) {
	defer close(w.done)
	for {
		select {
		case line := <-w.lines:
			// A failure to write the log cannot be logged.
			_, _ = out.Write(line)
		case <-w.closing:
			w.drain(out)
			return
		}
	}
}

func (w *Writer) drain(out io.Writer) {
	for range len(w.lines) {
		_, _ = out.Write(<-w.lines)
	}
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

// TakeDropped returns the number of lines dropped since the last call.
func (w *Writer) TakeDropped() int64 { return w.dropped.Swap(0) }

// Close flushes the buffer, waiting no longer than wait. Lines that are written
// afterwards are lost.
func (w *Writer) Close(wait clock.Millis) {
	close(w.closing)
	timer := time.NewTimer(wait.Duration())
	defer timer.Stop()
	select {
	case <-w.done:
	case <-timer.C:
	}
}

// New returns a logger that writes JSON lines with timestamps in milliseconds.
func New(out io.Writer, level logrus.Level) *logrus.Logger {
	log := logrus.New()
	log.SetOutput(out)
	log.SetFormatter(formatter{})
	log.SetLevel(level)
	return log
}
