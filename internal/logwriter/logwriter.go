// Package logwriter writes log lines without ever making their author wait.
package logwriter

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// queueLength is how many lines may wait to be written.
const queueLength = 4096

// Writer hands lines to a goroutine that writes them. While the queue is full,
// lines are dropped and counted; a line that says how many follows as soon as
// there is room.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	closing sync.Once
}

// New returns a writer to out that works until Close.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, queueLength), done: make(chan struct{})}
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

// Dropped returns how many lines were dropped since the last line that said so.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

func (w *Writer) run() {
	defer close(w.done)
	for line := range w.lines {
		if line == nil {
			return
		}
		if n := w.dropped.Swap(0); n > 0 {
			w.put([]byte(fmt.Sprintf("\"log_lines_dropped\" count=%d reason=\"the output did not take them\"\n", n)))
		}
		w.put(line)
	}
}

// put writes a line. When the output fails there is nowhere left to say so.
func (w *Writer) put(line []byte) { _, _ = w.out.Write(line) }

// Close writes the lines that wait, for at most the given time.
func (w *Writer) Close(limit time.Duration) {
	w.closing.Do(func() {
		timer := time.NewTimer(limit)
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
