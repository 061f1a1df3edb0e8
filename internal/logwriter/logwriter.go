// Package logwriter writes log lines asynchronously, so that slow output never
// blocks the goroutine that logs.
package logwriter

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// queueLines is the capacity of the queue of a Writer, in lines.
const queueLines = 4096

// Writer queues lines for a goroutine that writes them. While the queue is full,
// lines are dropped and counted; the count is logged before the next line that is
// written.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	closing sync.Once
}

// New returns a Writer to out and starts its goroutine, which Close ends.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, queueLines), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues one line. It never fails and never blocks.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped since the count was last logged.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

func (w *Writer) run() {
	defer close(w.done)
	for line := range w.lines {
		if line == nil {
			return
		}
		if n := w.dropped.Swap(0); n > 0 {
			w.writeLine([]byte(fmt.Sprintf("\"log_lines_dropped\" count=%d reason=\"the output did not take them\"\n", n)))
		}
		w.writeLine(line)
	}
}

// writeLine writes a line. An error is ignored, because there is no other output
// to report it to.
func (w *Writer) writeLine(line []byte) { _, _ = w.out.Write(line) }

// Close writes the queued lines and waits for that until the timeout at most.
func (w *Writer) Close(timeout time.Duration) {
	w.closing.Do(func() {
		timer := time.NewTimer(timeout)
		defer timer.Stop()
		select {
		case w.lines <- nil:
		case <-timer.C:
			return
		}
		select {
		case <-w.done:
		case <-timer.C:
		}
	})
}
